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
