package router

// rules switches single rules off, so that a measurement shows the effect of
// each one. The zero value applies all of them.
type rules struct {
	// noOrder serves requests first-in first-out without classes.
	noOrder bool
	// noReservation lets long requests take every slot.
	noReservation bool
	// noRefusal queues requests that can't meet their deadline.
	noRefusal bool
	// oneChoice takes a random owner.
	oneChoice bool
	// noShares serves by deadline only.
	noShares bool
	// noLearning relies on declared run times.
	noLearning bool
	// noBudget retries without a budget.
	noBudget bool
}
