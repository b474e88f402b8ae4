// Package estimator estimates run times from past ones and classifies requests by
// them.
package estimator

import "time"

// Class is the class of a request by its run time.
type Class uint8

// Classes of requests, in the order in which they are served.
const (
	Short Class = iota
	Long
	// ClassCount is the number of classes.
	ClassCount
)

// String returns the class as it is written in records.
func (class Class) String() string {
	if class == Short {
		return "short"
	}
	return "long"
}

// Classify returns the class of a run time. A request whose run time is not
// known is short. It counts as long once it has run longer than the bound.
func Classify(runTime, shortBelow time.Duration) Class {
	if runTime < shortBelow {
		return Short
	}
	return Long
}
