package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// pendingAfter is visible_ms + 2 s: a node must count the jobs that were accepted so
	// long ago.
	pendingAfter  = 3*time.Second + 2*time.Second
	pendingJobs   = 40
	pendingPeriod = 500 * time.Millisecond
)

// playPendingCount lets clients send more jobs at once than fit, and asks each node how
// many of them wait.
func playPendingCount(root string, record *Record, trouble bool) error {
	route := &Route{Name: "season-draw", Prefix: "/draws/", Priority: 1, Attempts: 4}
	scene, err := NewScene(root, record, trouble, 6, route)
	defer scene.Close()
	if err != nil {
		return err
	}
	jobs := 5
	if trouble {
		jobs = pendingJobs
	}
	for range jobs {
		scene.Submit(route, &Step{Count: 1, CPU: 16000, GPU: 8, MemMB: 100, Work: 6 * time.Second})
	}
	record.Sayf("%d jobs are accepted", jobs)
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(pendingPeriod) {
		scene.checkPending(route)
	}
	return nil
}

// checkPending applies rule MIXED to the number of waiting jobs that a node gives: it must
// not be under half of the jobs that were accepted more than pendingAfter ago and have not
// begun.
func (scene *Scene) checkPending(route *Route) {
	askedAt := time.Now()
	status, answer := scene.call(http.MethodGet, &Job{Route: route}, "")
	var shown struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
		return
	}
	scene.pool.mutex.Lock()
	defer scene.pool.mutex.Unlock()
	begun, waiting := make(map[string]bool), 0
	for _, run := range scene.pool.history {
		begun[run.task[:16]] = true
	}
	for _, job := range scene.pool.jobs {
		if job.Route == route && !job.AcceptedAt.IsZero() && askedAt.Sub(job.AcceptedAt) > pendingAfter && !begun[job.ID] {
			waiting++
		}
	}
	scene.record.Logf("pending %d, %d jobs have waited longer than %s", shown.Pending, waiting, pendingAfter)
	if 2*shown.Pending < waiting {
		scene.record.Violatef("MIXED: %d jobs are said to wait; %d were accepted over %s ago and have not begun", shown.Pending, waiting, pendingAfter)
	}
}
