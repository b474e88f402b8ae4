package logserver

import "time"

// Mode is how the log service responds to requests.
type Mode string

// Modes of the log service.
const (
	// Up serves requests.
	Up Mode = "up"
	// Down aborts every connection.
	Down Mode = "down"
	// Unresponsive accepts requests and never responds.
	Unresponsive Mode = "silent"
)

// Faults are the faults of the log service. The zero value means none.
type Faults struct {
	Mode Mode
	// Delay passes before each request takes effect.
	Delay time.Duration
	// LostAnswers is the fraction of appends, 0 to 1, whose response is lost
	// after the append took effect.
	LostAnswers float64
}

// Inject replaces the faults.
func (log *Log) Inject(faults Faults) { log.faults = faults }

// Faults returns the faults in force.
func (log *Log) Faults() Faults { return log.faults }

// DrawLostAnswer decides at random whether the response to an append is lost, and
// counts the loss.
func (log *Log) DrawLostAnswer() bool {
	lost := log.random.Float64() < log.faults.LostAnswers
	if lost {
		log.counts.LostAnswers++
	}
	return lost
}
