// Package loader reads the settings of the stand-ins.
package loader

import (
	"bytes"
	"net/netip"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"corianderroad/identifier"
)

// Settings describes the external systems of one deployment.
type Settings struct {
	LogService netip.AddrPort `yaml:"log-service" validate:"required"`
	VMList     netip.AddrPort `yaml:"vm-list" validate:"required"`
	Control    netip.AddrPort `yaml:"control" validate:"required"`
	Seed       uint64         `yaml:"seed"`
	Log        Log            `yaml:"log" validate:"required"`
	VMListLag  time.Duration  `yaml:"vm-list-lag" validate:"min=0"`
	// UsageLag is the age of the usage that workers report.
	UsageLag time.Duration `yaml:"usage-lag" validate:"min=0"`
	// Lease is how long one task of a gang may run alone before it is reported.
	Lease   time.Duration `yaml:"lease" validate:"gt=0"`
	Tasks   Tasks         `yaml:"tasks" validate:"required"`
	Entries []Entry       `yaml:"entries" validate:"max=64,dive"`
	Minions []Minions     `yaml:"minions" validate:"max=64,dive"`
	Workers []Workers     `yaml:"workers" validate:"max=64,dive"`
}

// Log bounds the log service.
type Log struct {
	AppendsPerSecond float64       `yaml:"appends-per-second" validate:"gt=0"`
	Retention        time.Duration `yaml:"retention" validate:"gt=0"`
	RetainedAppends  int           `yaml:"retained-appends" validate:"gt=0"`
}

// Tasks relates the actual run times of tasks to the declared ones.
type Tasks struct {
	RunTimeFactor   float64 `yaml:"run-time-factor" validate:"gt=0"`
	Stragglers      float64 `yaml:"stragglers" validate:"min=0,max=1"`
	StragglerFactor float64 `yaml:"straggler-factor" validate:"min=1"`
}

// Entry is an entry VM. It appears in the VM list, but is not served by this
// program.
type Entry struct {
	Name          string                   `yaml:"name" validate:"required"`
	Address       netip.AddrPort           `yaml:"address" validate:"required"`
	Region        identifier.Region        `yaml:"region" validate:"required"`
	FailureDomain identifier.FailureDomain `yaml:"failure-domain" validate:"required"`
}

// Minions is a group of minions. Their names are prefix-0, prefix-1 and so on.
// The first has the given address, each further one the next port.
type Minions struct {
	Prefix        string                   `yaml:"prefix" validate:"required"`
	Count         int                      `yaml:"count" validate:"min=1,max=256"`
	Address       netip.AddrPort           `yaml:"address" validate:"required"`
	Service       identifier.Service       `yaml:"service" validate:"required"`
	Region        identifier.Region        `yaml:"region" validate:"required"`
	FailureDomain identifier.FailureDomain `yaml:"failure-domain" validate:"required"`
	Slots         int                      `yaml:"slots" validate:"min=1"`
	Connections   int                      `yaml:"connections" validate:"min=1"`
}

// Workers is the group of workers of one rack. Their names are the rack's name
// with the suffixes -0, -1 and so on. The first has the given address, each
// further one the next port.
type Workers struct {
	Rack          identifier.Rack          `yaml:"rack" validate:"required"`
	Count         int                      `yaml:"count" validate:"min=1,max=256"`
	Address       netip.AddrPort           `yaml:"address" validate:"required"`
	Region        identifier.Region        `yaml:"region" validate:"required"`
	FailureDomain identifier.FailureDomain `yaml:"failure-domain" validate:"required"`
	Accelerators  int                      `yaml:"accelerators" validate:"min=1"`
}

// Load reads a settings file. The error names the line of an unknown key or of
// a value out of bounds.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.WithStack(err)
	}
	settings, err := Parse(text)
	return settings, errors.WithMessage(err, path)
}

// Parse reads settings from their text.
func Parse(text []byte) (Settings, error) {
	var settings Settings
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.Validator(validator.New(validator.WithRequiredStructEnabled())))
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, errors.WithStack(err)
	}
	return settings, nil
}
