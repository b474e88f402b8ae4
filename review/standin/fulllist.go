package main

import "time"

// Load of the case full-list.
const (
	cutSpan        = 5500 * time.Millisecond // the longest cut of minions on the pages
	shortJobPeriod = 200 * time.Millisecond
	shortJobSpan   = 50 * time.Second
)

// playFullList cuts off one minion of six for 5.5 s while it works, and then lets clients
// send jobs of short tasks.
func playFullList(root string, record *Record, trouble bool) error {
	route := &Route{Name: "slot-swap", Prefix: "/swaps/", Attempts: 4}
	scene, err := NewScene(root, record, trouble, 6, route)
	defer scene.Close()
	if err != nil {
		return err
	}
	for range 6 {
		scene.Submit(route, &Step{Count: 8, CPU: 2000, MemMB: 100, Work: 3 * time.Second})
	}
	time.Sleep(time.Second)
	if trouble {
		scene.cutBusiest()
	}
	time.Sleep(cutSpan + 3*time.Second)
	for until := time.Now().Add(shortJobSpan); time.Now().Before(until); time.Sleep(shortJobPeriod) {
		go scene.Submit(route,
			&Step{Count: 12, CPU: 2000, MemMB: 100, Work: 100 * time.Millisecond},
			&Step{Count: 4, CPU: 2000, MemMB: 100, Work: 100 * time.Millisecond, DependsOn: []int{0}})
	}
	scene.CheckLost()
	scene.CheckTwice()
	scene.sayEnds()
	return nil
}

// cutBusiest cuts the minion with the most runs off for cutSpan.
func (scene *Scene) cutBusiest() {
	busiest := scene.busiest()
	scene.record.Sayf("%s is cut off for %s; it runs on", busiest.Name, cutSpan)
	busiest.proxy.Cut(cutSpan)
}

// busiest returns the minion with the most runs.
func (scene *Scene) busiest() *Minion {
	scene.pool.mutex.Lock()
	defer scene.pool.mutex.Unlock()
	busiest := scene.pool.minions[0]
	for _, minion := range scene.pool.minions {
		if len(minion.runs) > len(busiest.runs) {
			busiest = minion
		}
	}
	scene.record.Logf("%s has %d runs", busiest.Name, len(busiest.runs))
	return busiest
}

// sayEnds writes how many ends each minion has listed that were not taken note of.
func (scene *Scene) sayEnds() {
	scene.pool.mutex.Lock()
	defer scene.pool.mutex.Unlock()
	for _, minion := range scene.pool.minions {
		scene.record.Sayf("%s has ended %d runs, %d of the ends were never taken note of", minion.Name, minion.lastEnd, len(minion.ends))
	}
}
