package stager

// Lapse deletes the entry of a minion from the store. The minion itself goes on.
func (deployment *Deployment) Lapse(minion *Minion) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	if !minion.down {
		deployment.Store.Write("keyed.servers", minion.incarnation.Name, "")
	}
}

// Renew writes the entry of a minion to the store.
func (deployment *Deployment) Renew(minion *Minion) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	if !minion.down {
		deployment.register(minion)
	}
}

// Occupy takes accelerators of a minion away without a report of it.
func (deployment *Deployment) Occupy(minion *Minion, accelerators int) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	minion.incarnation.Occupy(accelerators)
}

// RefuseOverload lets the minions refuse a start that does not fit. Without it they accept the
// start, which is a violation.
func (deployment *Deployment) RefuseOverload() { deployment.pool.RefuseOverload() }
