package parser

// The schema of a service text. Optional values are pointers, so that an explicit
// zero is distinguished from an absent key.
type (
	textSchema struct {
		Organisation string            `yaml:"organisation" validate:"required,name"`
		TokenDigest  string            `yaml:"operator-token-digest" validate:"required,sha256"`
		Services     []serviceSchema   `yaml:"services" validate:"max=64,dive"`
		Workspaces   []workspaceSchema `yaml:"workspaces" validate:"max=256,dive"`
	}

	serviceSchema struct {
		Name        string         `yaml:"name" validate:"required,name"`
		DependsOn   []string       `yaml:"depends-on" validate:"max=32,dive,name"`
		Slots       *int           `yaml:"slots" validate:"omitempty,min=1,max=1024"`
		Connections *int           `yaml:"connections" validate:"omitempty,min=1,max=65536"`
		LongSlots   *int           `yaml:"long-slots" validate:"omitempty,min=0,max=1024"`
		ShortBelow  *string        `yaml:"short-below" validate:"omitempty,duration=1ms 1h"`
		Methods     []methodSchema `yaml:"methods" validate:"min=1,max=64,dive"`
	}

	methodSchema struct {
		Name       string  `yaml:"name" validate:"required,name"`
		Idempotent bool    `yaml:"idempotent"`
		RunTime    *string `yaml:"run-time" validate:"omitempty,duration=1ms 720h"`
		Timeout    *string `yaml:"timeout" validate:"omitempty,duration=1ms 720h"`
	}

	workspaceSchema struct {
		Name        string            `yaml:"name" validate:"required,name"`
		TokenDigest string            `yaml:"token-digest" validate:"required,sha256"`
		Weight      *int              `yaml:"weight" validate:"omitempty,min=1,max=1000"`
		Quota       *int              `yaml:"quota" validate:"omitempty,min=1,max=100000"`
		Guarantees  []guaranteeSchema `yaml:"guarantees" validate:"max=16,dive"`
	}

	guaranteeSchema struct {
		Region       string `yaml:"region" validate:"required,name"`
		Members      int    `yaml:"members" validate:"min=1,max=128"`
		Accelerators int    `yaml:"accelerators" validate:"min=1,max=64"`
		Adjacency    string `yaml:"adjacency" validate:"omitempty,oneof=any-rack same-rack"`
	}
)
