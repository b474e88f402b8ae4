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
	return firstError(
		specifier.CheckName("minion", string(report.Minion)),
		specifier.CheckName("service", string(report.Service)),
		specifier.CheckAddress(report.Address),
		specifier.CheckLabels(report.Labels),
		report.Capacity.Check(),
		specifier.CheckDuration("remaining time", report.Remaining, specifier.MaxDuration),
		specifier.CheckDuration("clock", report.Clock, specifier.MaxClock),
		specifier.CheckOptionalName("failure domain", string(report.FailureDomain)),
	)
}

// Check returns an error with code BadRequest if the entry is not that of a usable VM:
// a name, the address or a number is missing or out of range.
func (vm *VM) Check() error {
	if vm.Accelerators < 0 || vm.Accelerators > specifier.MaxAccelerators {
		return classifier.New(classifier.BadRequest, "%d accelerators, 0 to %d are allowed", vm.Accelerators, specifier.MaxAccelerators)
	}
	// The platform omits names that do not apply to the VM's role.
	return firstError(
		specifier.CheckName("VM", vm.Name),
		specifier.CheckAddress(vm.Address),
		specifier.CheckOptionalName("region", string(vm.Region)),
		specifier.CheckOptionalName("failure domain", string(vm.FailureDomain)),
		specifier.CheckOptionalName("rack", string(vm.Rack)),
		specifier.CheckOptionalName("service", string(vm.Service)),
	)
}

// Check returns an error with code BadRequest if a name in the report is invalid. The
// pool and the minion may be missing.
func (report *VMReport) Check() error {
	return firstError(
		specifier.CheckName("VM", string(report.VM)),
		specifier.CheckOptionalName("pool", string(report.Pool)),
		specifier.CheckOptionalName("minion", string(report.Minion)),
	)
}

// Check returns an error with code BadRequest if a value of the wave is missing or out
// of range.
func (wave *Wave) Check() error {
	if wave.Wave <= 0 || wave.MaxUnavailable < 0 || wave.MaxUnavailable > specifier.MaxWaveVMs || len(wave.VMs) > specifier.MaxWaveVMs {
		return classifier.New(classifier.BadRequest, "number %d, maximum %d or %d VMs out of range", wave.Wave, wave.MaxUnavailable, len(wave.VMs))
	}
	for _, vm := range wave.VMs {
		if err := specifier.CheckName("VM", string(vm)); err != nil {
			return err
		}
	}
	return specifier.CheckDuration("duration", wave.Duration, specifier.MaxDuration)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
