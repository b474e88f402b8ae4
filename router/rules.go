package router

// rules disables individual scheduling rules, so that a benchmark can measure the
// effect of each one. The zero value applies all of them.
type rules struct {
	// fifo serves requests in the order of arrival and without classes.
	fifo bool
	// noReservation lets long requests occupy every slot.
	noReservation bool
	// noEarlyRefusal queues requests that can't meet their deadline.
	noEarlyRefusal bool
	// randomOwner chooses one random owner instead of the less loaded of two.
	randomOwner bool
	// noFairShares orders requests by deadline only.
	noFairShares bool
	// noLearning uses only declared run times.
	noLearning bool
	// noRetryBudget does not limit retries by a budget.
	noRetryBudget bool
}
