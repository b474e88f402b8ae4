package messenger

import (
	"corianderroad/classifier"
	"corianderroad/specifier"
)

// Check returns an error with code BadRequest if the report is not that of a usable
// minion: a name, the address, the start or a number is missing or out of range.
func (report *MinionReport) Check() error {
	if report.Incarnation == 0 || report.Incarnation > specifier.MaxIncarnation {
		return classifier.New(classifier.BadRequest, "start time %d is not from 1 to %d", report.Incarnation, specifier.MaxIncarnation)
	}
	for _, err := range []error{
		specifier.CheckName("minion", string(report.Minion)),
		specifier.CheckName("service", string(report.Service)),
		specifier.CheckAddress(report.Address),
		specifier.CheckLabels(report.Labels),
		report.Capacity.Check(),
		specifier.CheckDuration("remaining time", report.Remaining, specifier.MaxDuration),
		specifier.CheckDuration("clock", report.Clock, specifier.MaxClock),
	} {
		if err != nil {
			return err
		}
	}
	if report.FailureDomain == "" {
		return nil // deployments without failure domains report none
	}
	return specifier.CheckName("failure domain", string(report.FailureDomain))
}

// Check returns an error with code BadRequest if the entry is not that of a usable VM:
// a name, the address or a number is missing or out of range.
func (vm *VM) Check() error {
	if vm.Accelerators < 0 || vm.Accelerators > specifier.MaxAccelerators {
		return classifier.New(classifier.BadRequest, "%d accelerators, 0 to %d are allowed", vm.Accelerators, specifier.MaxAccelerators)
	}
	for _, field := range []struct{ kind, name string }{
		{"region", string(vm.Region)},
		{"failure domain", string(vm.FailureDomain)},
		{"rack", string(vm.Rack)},
		{"service", string(vm.Service)},
	} {
		if field.name == "" {
			continue // the platform omits what does not apply to the VM's role
		}
		if err := specifier.CheckName(field.kind, field.name); err != nil {
			return err
		}
	}
	if err := specifier.CheckName("VM", vm.Name); err != nil {
		return err
	}
	return specifier.CheckAddress(vm.Address)
}
