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
	name   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	sha256 = regexp.MustCompile(`^[0-9a-f]{64}$`)
	rules  = newRules()
)

func newRules() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	register(rules, "name", func(field validator.FieldLevel) bool { return name.MatchString(field.Field().String()) })
	register(rules, "sha256", func(field validator.FieldLevel) bool { return sha256.MatchString(field.Field().String()) })
	register(rules, "duration", func(field validator.FieldLevel) bool {
		shortest, longest, _ := strings.Cut(field.Param(), " ")
		duration, err := time.ParseDuration(field.Field().String())
		return err == nil && duration >= mustDuration(shortest) && duration <= mustDuration(longest)
	})
	return rules
}

func register(rules *validator.Validate, tag string, rule validator.Func) {
	if err := rules.RegisterValidation(tag, rule); err != nil {
		panic(err)
	}
}

func mustDuration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return duration
}

// checker reports faults at the line of their key.
type checker struct{ root ast.Node }

// fault returns an InvalidText error about the value at path, for example
// "services[0].slots".
func (check checker) fault(path, format string, arguments ...any) error {
	return classifier.New(classifier.InvalidText, "line %d: %s: %s", check.line(path), path, fmt.Sprintf(format, arguments...))
}

// line returns the line of the value at path, or of the nearest enclosing value
// if the key is absent.
func (check checker) line(path string) int {
	for path != "" {
		if located, err := yaml.PathString("$." + path); err == nil {
			if node, err := located.FilterNode(check.root); err == nil && node != nil {
				return firstLine(node)
			}
		}
		if cut := strings.LastIndexAny(path, ".["); cut >= 0 {
			path = path[:cut]
			continue
		}
		break
	}
	return firstLine(check.root)
}

// firstLine returns the first line of a node. The token of a mapping is its
// first colon and that of a sequence its first dash, both on the first line.
func firstLine(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

// fields checks each value by itself.
func (check checker) fields(schema *textSchema) error {
	err := rules.Struct(schema)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	fault := faults[0]
	_, path, _ := strings.Cut(fault.Namespace(), ".")
	switch fault.Tag() {
	case "required":
		return check.fault(path, "is missing")
	case "name":
		return check.fault(path, "%.64q is not a name of 1 to 128 letters, digits, dots, hyphens and underscores", fault.Value())
	case "sha256":
		return check.fault(path, "is not a SHA-256 in 64 lower-case hexadecimal digits")
	case "duration":
		shortest, longest, _ := strings.Cut(fault.Param(), " ")
		return check.fault(path, "%.64q is not a duration with unit between %s and %s", fault.Value(), shortest, longest)
	case "oneof":
		return check.fault(path, "%.64q is not one of %s", fault.Value(), fault.Param())
	default:
		return check.fault(path, "must have %s %s", fault.Tag(), fault.Param())
	}
}

// text checks what several values say together.
func (check checker) text(schema *textSchema) error {
	services := map[string]int{}
	for i, service := range schema.Services {
		path := fmt.Sprintf("services[%d]", i)
		if _, twice := services[service.Name]; twice {
			return check.fault(path+".name", "service %q is defined twice", service.Name)
		}
		services[service.Name] = i
		if err := check.service(path, service); err != nil {
			return err
		}
	}
	if err := check.dependencies(schema.Services, services); err != nil {
		return err
	}
	return check.workspaces(schema.Workspaces)
}

func (check checker) service(path string, service serviceSchema) error {
	slots := valueOr(service.Slots, defaultSlots)
	if long := valueOr(service.LongSlots, min(defaultLongSlots, slots)); long > slots {
		return check.fault(path+".long-slots", "%d is above the %d slots", long, slots)
	}
	if connections := valueOr(service.Connections, max(defaultConnections, slots)); connections < slots {
		return check.fault(path+".connections", "%d is below the %d slots", connections, slots)
	}
	methods := map[string]bool{}
	for i, method := range service.Methods {
		if methods[method.Name] {
			return check.fault(fmt.Sprintf("%s.methods[%d].name", path, i), "method %q is defined twice", method.Name)
		}
		methods[method.Name] = true
		if method.RunTime == nil {
			continue
		}
		timeout := durationOr(method.Timeout, max(defaultTimeout, mustDuration(*method.RunTime)))
		if mustDuration(*method.RunTime) > timeout {
			return check.fault(fmt.Sprintf("%s.methods[%d].timeout", path, i), "%s is below the run time %s", timeout, *method.RunTime)
		}
	}
	return nil
}

// dependencies refuses names that the text does not define, repetitions and
// cycles.
func (check checker) dependencies(services []serviceSchema, index map[string]int) error {
	for i, service := range services {
		seen := map[string]bool{}
		for j, dependency := range service.DependsOn {
			path := fmt.Sprintf("services[%d].depends-on[%d]", i, j)
			if _, known := index[dependency]; !known {
				return check.fault(path, "service %q is not defined", dependency)
			}
			if seen[dependency] {
				return check.fault(path, "service %q is named twice", dependency)
			}
			seen[dependency] = true
		}
	}
	finished, open := map[int]bool{}, map[int]bool{}
	var visit func(i int) error
	visit = func(i int) error {
		open[i] = true
		for j, dependency := range services[i].DependsOn {
			next := index[dependency]
			if open[next] {
				return check.fault(fmt.Sprintf("services[%d].depends-on[%d]", i, j), "service %q depends on itself", dependency)
			}
			if !finished[next] {
				if err := visit(next); err != nil {
					return err
				}
			}
		}
		open[i], finished[i] = false, true
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

func (check checker) workspaces(workspaces []workspaceSchema) error {
	names, tokens := map[string]bool{}, map[string]bool{}
	for i, workspace := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if names[workspace.Name] {
			return check.fault(path+".name", "workspace %q is defined twice", workspace.Name)
		}
		if tokens[workspace.TokenDigest] {
			return check.fault(path+".token-digest", "another workspace has the same token")
		}
		names[workspace.Name], tokens[workspace.TokenDigest] = true, true
		guaranteed := 0
		for _, guarantee := range workspace.Guarantees {
			guaranteed += guarantee.Members * guarantee.Accelerators
		}
		if workspace.Quota != nil && guaranteed > *workspace.Quota {
			return check.fault(path+".quota", "%d is below the %d guaranteed accelerators", *workspace.Quota, guaranteed)
		}
	}
	return nil
}
