package logserver

import "time"

// Mode is how the log service treats every request.
type Mode string

// Modes of the log service.
const (
	// Up answers.
	Up Mode = "up"
	// Down breaks every connection.
	Down Mode = "down"
	// Silent accepts requests and never answers.
	Silent Mode = "silent"
)

// Faults is what is wrong with the log service. The zero value is healthy.
type Faults struct {
	Mode Mode
	// Delay passes before each request takes effect.
	Delay time.Duration
	// LostAnswers is the part of appends, 0 to 1, whose answer is lost after
	// the append took effect.
	LostAnswers float64
}

// Inject replaces the faults.
func (log *Log) Inject(faults Faults) { log.faults = faults }

// Faults returns the faults in force.
func (log *Log) Faults() Faults { return log.faults }

// LosesAnswer draws whether the answer of an append is lost.
func (log *Log) LosesAnswer() bool {
	lost := log.random.Float64() < log.faults.LostAnswers
	if lost {
		log.counts.LostAnswers++
	}
	return lost
}
