package loader

import (
	"bytes"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"corianderroad/classifier"
)

// maxSettingsBytes bounds the settings file, which lists at most 1,024 peers.
const maxSettingsBytes = 1 << 20

func defaultSettings() Settings {
	return Settings{Limits: Limits{
		OpenCalls:    4096,
		RingCapacity: 4096,
		MinionCalls:  512,
		WorkerCalls:  64,
		DrainTimeout: Duration{60 * time.Second},
	}}
}

// Load reads the settings file at path. The error has code InvalidSettings.
func Load(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, classifier.New(classifier.InvalidSettings, "%v", err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxSettingsBytes+1))
	if err != nil {
		return nil, classifier.New(classifier.InvalidSettings, "%v", err)
	}
	return Parse(text)
}

// Parse reads settings from YAML. The error has code InvalidSettings and contains
// the key and the line.
func Parse(text []byte) (*Settings, error) {
	if len(text) > maxSettingsBytes {
		return nil, classifier.New(classifier.InvalidSettings, "the settings exceed %d bytes", maxSettingsBytes)
	}
	settings := defaultSettings()
	if err := decode(text, &settings); err != nil {
		return nil, classifier.New(classifier.InvalidSettings, "%s", describeError(err))
	}
	if err := checkConsistency(&settings); err != nil {
		return nil, err
	}
	return &settings, nil
}

// decode decodes settings. The YAML library panics on some invalid texts, for example
// on "peers: !00 00".
func decode(text []byte, settings *Settings) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("the YAML can't be decoded: %v", cause)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.Validator(newValidator())).Decode(settings)
}

// newValidator returns a validator that names fields by their YAML keys.
func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("yaml"), ",")[0]
	})
	validate.RegisterCustomTypeFunc(func(field reflect.Value) any {
		switch value := field.Interface().(type) {
		case Address:
			if value.IsValid() {
				return value.String()
			}
		case Duration:
			return value.Duration
		}
		return nil
	}, Address{}, Duration{})
	return validate
}

// describeError returns one line with the key, the line number and the cause.
func describeError(err error) string {
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) {
		return err.Error()
	}
	message := strings.TrimSpace(yamlError.GetMessage())
	token := yamlError.GetToken()
	if token == nil || token.Position == nil {
		return message
	}
	key := token.Value
	if token.Prev != nil && token.Prev.Type.String() == "MappingValue" && token.Prev.Prev != nil {
		key = token.Prev.Prev.Value
	}
	return errors.Errorf("line %d, key %q: %s", token.Position.Line, key, message).Error()
}

func checkConsistency(settings *Settings) error {
	seen := map[string]bool{string(settings.Node): true}
	for _, peer := range settings.Peers {
		if seen[string(peer.Node)] {
			return classifier.New(classifier.InvalidSettings, "key \"peers\": node %q is listed twice", peer.Node)
		}
		seen[string(peer.Node)] = true
	}
	if settings.PeerAddress == settings.HTTPAddress {
		return classifier.New(classifier.InvalidSettings,
			"keys \"peer-address\" and \"http-address\" are both %s", settings.PeerAddress)
	}
	return nil
}
