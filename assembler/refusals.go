package assembler

import "corianderroad/messenger"

// refusalObserver counts and logs invalid entries in the answers of the VM list and
// the advice service.
type refusalObserver struct {
	assembler *Assembler
}

// ObserveRefusal implements platform.RefusalObserver.
func (observer refusalObserver) ObserveRefusal(err error) {
	observer.assembler.exporter.CountIO("service-entry", "refused")
	observer.assembler.decisionLog.logDecision(messenger.Decision{Subject: "services", Outcome: "record-ignored", Reason: err.Error()})
}
