package parser

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"

	"corianderroad/classifier"
)

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	sha256Pattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	schemaValidator = newValidator()
)

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	registerRule(validate, "name", func(field validator.FieldLevel) bool { return namePattern.MatchString(field.Field().String()) })
	registerRule(validate, "sha256", func(field validator.FieldLevel) bool { return sha256Pattern.MatchString(field.Field().String()) })
	registerRule(validate, "duration", func(field validator.FieldLevel) bool {
		minimum, maximum, _ := strings.Cut(field.Param(), " ")
		duration, err := time.ParseDuration(field.Field().String())
		return err == nil && duration >= mustParseDuration(minimum) && duration <= mustParseDuration(maximum)
	})
	return validate
}

func registerRule(validate *validator.Validate, tag string, rule validator.Func) {
	if err := validate.RegisterValidation(tag, rule); err != nil {
		panic(err)
	}
}

func mustParseDuration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return duration
}

// checker reports errors with the line of their key.
type checker struct{ root ast.Node }

// errorAt returns an InvalidText error about the value at path, for example
// "services[0].slots".
func (checker checker) errorAt(path, format string, arguments ...any) error {
	return classifier.New(classifier.InvalidText, "line %d: %s: %s", checker.lineOf(path), path, fmt.Sprintf(format, arguments...))
}

// lineOf returns the line of the value at path, or of the nearest enclosing value
// if the key is absent.
func (checker checker) lineOf(path string) int {
	for path != "" {
		if yamlPath, err := yaml.PathString("$." + path); err == nil {
			if node, err := yamlPath.FilterNode(checker.root); err == nil && node != nil {
				return firstLine(node)
			}
		}
		if cut := strings.LastIndexAny(path, ".["); cut >= 0 {
			path = path[:cut]
			continue
		}
		break
	}
	return firstLine(checker.root)
}

// firstLine returns the first line of a node. The token of a mapping is its
// first colon and that of a sequence its first dash, both on the first line.
func firstLine(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

// checkFields checks each value separately.
func (checker checker) checkFields(schema *textSchema) error {
	err := schemaValidator.Struct(schema)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return err
	}
	fieldError := fieldErrors[0]
	_, path, _ := strings.Cut(fieldError.Namespace(), ".")
	switch fieldError.Tag() {
	case "required":
		return checker.errorAt(path, "is missing")
	case "name":
		return checker.errorAt(path, "%.64q is not a name of 1 to 128 letters, digits, dots, hyphens and underscores", fieldError.Value())
	case "sha256":
		return checker.errorAt(path, "is not a SHA-256 digest of 64 lower-case hexadecimal digits")
	case "duration":
		minimum, maximum, _ := strings.Cut(fieldError.Param(), " ")
		return checker.errorAt(path, "%.64q is not a duration with a unit between %s and %s", fieldError.Value(), minimum, maximum)
	case "oneof":
		return checker.errorAt(path, "%.64q is not one of %s", fieldError.Value(), fieldError.Param())
	default:
		return checker.errorAt(path, "must satisfy %s=%s", fieldError.Tag(), fieldError.Param())
	}
}

// checkText checks the rules that relate several values.
func (checker checker) checkText(schema *textSchema) error {
	services := map[string]int{}
	for i, service := range schema.Services {
		path := fmt.Sprintf("services[%d]", i)
		if _, isDuplicate := services[service.Name]; isDuplicate {
			return checker.errorAt(path+".name", "service %q is defined twice", service.Name)
		}
		services[service.Name] = i
		if err := checker.checkService(path, service); err != nil {
			return err
		}
	}
	if err := checker.checkDependencies(schema.Services, services); err != nil {
		return err
	}
	return checker.checkWorkspaces(schema.Workspaces)
}

func (checker checker) checkService(path string, service serviceSchema) error {
	slots := valueOr(service.Slots, defaultSlots)
	if long := valueOr(service.LongSlots, min(defaultLongSlots, slots)); long > slots {
		return checker.errorAt(path+".long-slots", "%d exceeds the %d slots", long, slots)
	}
	if connections := valueOr(service.Connections, max(defaultConnections, slots)); connections < slots {
		return checker.errorAt(path+".connections", "%d is less than the %d slots", connections, slots)
	}
	methods := map[string]bool{}
	for i, method := range service.Methods {
		if methods[method.Name] {
			return checker.errorAt(fmt.Sprintf("%s.methods[%d].name", path, i), "method %q is defined twice", method.Name)
		}
		methods[method.Name] = true
		if method.RunTime == nil {
			continue
		}
		timeout := durationOr(method.Timeout, max(defaultTimeout, mustParseDuration(*method.RunTime)))
		if mustParseDuration(*method.RunTime) > timeout {
			return checker.errorAt(fmt.Sprintf("%s.methods[%d].timeout", path, i), "%s is less than the run time %s", timeout, *method.RunTime)
		}
	}
	return nil
}

// checkDependencies refuses dependencies on undefined services, duplicates and
// cycles.
func (checker checker) checkDependencies(services []serviceSchema, index map[string]int) error {
	for i, service := range services {
		seen := map[string]bool{}
		for j, dependency := range service.DependsOn {
			path := fmt.Sprintf("services[%d].depends-on[%d]", i, j)
			if _, isDefined := index[dependency]; !isDefined {
				return checker.errorAt(path, "service %q is not defined", dependency)
			}
			if seen[dependency] {
				return checker.errorAt(path, "service %q is listed twice", dependency)
			}
			seen[dependency] = true
		}
	}
	finished, inProgress := map[int]bool{}, map[int]bool{}
	var visit func(i int) error
	visit = func(i int) error {
		inProgress[i] = true
		for j, dependency := range services[i].DependsOn {
			target := index[dependency]
			if inProgress[target] {
				return checker.errorAt(fmt.Sprintf("services[%d].depends-on[%d]", i, j), "service %q depends on itself", dependency)
			}
			if !finished[target] {
				if err := visit(target); err != nil {
					return err
				}
			}
		}
		inProgress[i], finished[i] = false, true
		return nil
	}
	for i := range services {
		if finished[i] {
			continue
		}
		if err := visit(i); err != nil {
			return err
		}
	}
	return nil
}

func (checker checker) checkWorkspaces(workspaces []workspaceSchema) error {
	names, tokens := map[string]bool{}, map[string]bool{}
	for i, workspace := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if names[workspace.Name] {
			return checker.errorAt(path+".name", "workspace %q is defined twice", workspace.Name)
		}
		if tokens[workspace.TokenDigest] {
			return checker.errorAt(path+".token-digest", "another workspace has the same token")
		}
		names[workspace.Name], tokens[workspace.TokenDigest] = true, true
		guaranteed := 0
		for _, guarantee := range workspace.Guarantees {
			guaranteed += guarantee.Members * guarantee.Accelerators
		}
		if workspace.Quota != nil && guaranteed > *workspace.Quota {
			return checker.errorAt(path+".quota", "%d is less than the %d guaranteed accelerators", *workspace.Quota, guaranteed)
		}
	}
	return nil
}
