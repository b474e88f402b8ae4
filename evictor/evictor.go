// Package evictor decides which runs are stopped so that the least work is lost:
// for a step that needs room at once, and on a minion that leaves at notice. It is
// pure: the time and the state are arguments, and nothing is stopped here.
package evictor

import (
	"time"

	"corianderroad/specifier"
)

// Bounds are the times that a stop takes.
type Bounds struct {
	// StopTimeout bounds the time from the arrival of an order to stop until the end.
	StopTimeout time.Duration
	// OrderTime covers the order to stop and the poll that lists the end.
	OrderTime time.Duration
}

// Evictor makes the decisions within the bounds of a deployment.
type Evictor struct {
	bounds Bounds
}

// New returns an Evictor.
func New(bounds Bounds) *Evictor { return &Evictor{bounds: bounds} }

// stopTime returns the time from the decision to stop a run until its room is free.
func (evictor *Evictor) stopTime() time.Duration {
	return evictor.bounds.StopTimeout + evictor.bounds.OrderTime
}

// Cost of a stop.
const (
	// restartTime is what a run needs until it works again after a stop.
	restartTime = 500 * time.Millisecond
	// lostShareAtStop is the share of the work since the last known checkpoint that
	// counts as lost if the run gives a new checkpoint when it is stopped. The new one
	// can be lost on its way.
	lostShareAtStop = 0.25
	// repeatTime is the work that the first earlier stop of a task adds to the price of
	// the next one. Each further stop adds twice as much as the one before.
	repeatTime = 2 * time.Second
	// maxCountedStops bounds the growth of the price.
	maxCountedStops = 6
)

// Work is what a run, or all runs of a gang, would lose at a stop.
type Work struct {
	// Cores is the size of all runs that end together. An accelerator counts as 8.
	Cores float64
	// Unsaved is the time worked since the last known checkpoint, or since the start.
	Unsaved time.Duration
	// SavesAtStop means that a checkpoint of the run was seen, so that a stop gives one.
	SavesAtStop bool
	// Stops is the number of earlier stops of the task.
	Stops int
}

// Loss is the cost of stops in core-seconds.
type Loss struct {
	// Work is the work that is lost, with the restart.
	Work float64
	// Price is the work with the surcharge for tasks that were stopped before. Choices
	// compare prices.
	Price float64
}

// Loss returns the cost of stopping the work.
func (work Work) Loss() Loss {
	unsaved := work.Unsaved.Seconds()
	if work.SavesAtStop {
		unsaved *= lostShareAtStop
	}
	lost := work.Cores * (unsaved + restartTime.Seconds())
	surcharge := work.Cores * repeatTime.Seconds() * float64(int(1)<<min(work.Stops, maxCountedStops)-1)
	return Loss{Work: lost, Price: lost + surcharge}
}

func (loss Loss) add(other Loss) Loss {
	return Loss{Work: loss.Work + other.Work, Price: loss.Price + other.Price}
}

func (loss Loss) sub(other Loss) Loss {
	return Loss{Work: loss.Work - other.Work, Price: loss.Price - other.Price}
}

// Minion is the room for tasks of the step on one minion.
type Minion struct {
	Free specifier.Resources
	// MaxTasks is how many tasks of the step the minion may still take.
	MaxTasks int
}

// Share is what a victim occupies on one minion of the room.
type Share struct {
	// Minion is the index of the minion.
	Minion int
	Amount specifier.Resources
}

// Victim is a run, or all runs of a gang, that end together.
type Victim struct {
	Loss   Loss
	Shares []Share
	// EndsAt is the expected end, zero if it is unknown.
	EndsAt time.Time
}

// Room is where a step could run, with the victims that could be stopped for it.
type Room struct {
	Minions []Minion
	Victims []Victim
	// MustStart means that the tasks must start as soon as a stop would free room for them. An
	// expected end that does not come must then leave time for the stop.
	MustStart bool
	// Request is what one task occupies, Tasks the number of tasks.
	Request specifier.Resources
	Tasks   int
}

// Choice is where the tasks of a step run and what is stopped for them.
type Choice struct {
	// TasksOn is the number of tasks for each minion of the room.
	TasksOn []int
	// Stopped are the indexes of the victims to stop.
	Stopped []int
	// Awaits means that some of the room comes free by runs that end by themselves.
	Awaits bool
	// AwaitsUntil is when all such runs should have ended if nothing is stopped, the zero
	// time if there are none.
	AwaitsUntil time.Time
	Loss        Loss
}
