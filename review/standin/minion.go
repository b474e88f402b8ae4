package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Behaviour of minions, as in the settings of the example deployment.
const (
	maxHold            = 10 * time.Second
	stopTime           = 200 * time.Millisecond
	checkpointInterval = 2 * time.Second
	heartbeat          = 1500 * time.Millisecond
	missedBeats        = 3
	listedEnds         = 500
	minionCPU          = 32_000
	minionGPU          = 8
	minionMemory       = 131_072
)

// Pool holds the minions and all that they saw.
type Pool struct {
	mutex   sync.Mutex
	record  *Record
	store   *Store
	jobs    map[string]*Job
	minions []*Minion
	history []*run
}

// Minion is one minion behind a proxy.
type Minion struct {
	Name    string
	index   int // of its machine
	pool    *Pool
	proxy   *Proxy
	started time.Time

	token    uint64
	leaseEnd time.Duration
	runs     map[runKey]*run
	highest  map[string]uint64
	ends     []end
	lastEnd  int
	endAdded chan struct{}
	usedCPU  int
	usedGPU  int
	usedMB   int
	lastBeat time.Time
	listed   bool
	// down means that this life of the minion has ended.
	down bool
}

type runKey struct {
	task string
	run  uint64
}

type run struct {
	runKey
	minion     *Minion
	step       *Step
	checkpoint string
	resumed    time.Duration // the work that the checkpoint of its start covers
	orderedAt  time.Time
	endedAt    time.Time
	how        string
	noted      bool
}

type end struct {
	number int
	run    *run
	saved  string
}

// NewPool starts the given number of minions.
func NewPool(count int, store *Store, record *Record) (*Pool, error) {
	pool := &Pool{record: record, store: store, jobs: make(map[string]*Job)}
	for index := range count {
		if _, err := pool.newMinion(index, fmt.Sprintf("i-%d", index)); err != nil {
			return nil, err
		}
	}
	return pool, nil
}

// newMinion starts a minion on the machine with the given index.
func (pool *Pool) newMinion(index int, name string) (*Minion, error) {
	minion := &Minion{
		Name: name, index: index, pool: pool, started: time.Now(), endAdded: make(chan struct{}),
		runs: make(map[runKey]*run), highest: make(map[string]uint64),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: minion}
	go func() { _ = server.Serve(listener) }()
	if minion.proxy, err = NewProxy(listener.Addr().String()); err != nil {
		return nil, err
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.minions = append(pool.minions, minion)
	go minion.beat()
	return minion, nil
}

// crash ends a minion's life and all that runs on it. The lock of the pool is held.
func (minion *Minion) crash() {
	minion.down = true
	for _, run := range minion.sortedRuns() {
		minion.pool.end(run, "gone")
	}
	minion.pool.minions = slices.DeleteFunc(minion.pool.minions, func(other *Minion) bool { return other == minion })
	minion.proxy.Close()
}

// beat writes the minion's entry to the store at each heartbeat. The store removes the
// entry after three heartbeats of silence.
func (minion *Minion) beat() {
	for sequence := 1; ; sequence++ {
		minion.pool.mutex.Lock()
		clock, isDown := minion.clock().Milliseconds(), minion.down
		minion.pool.mutex.Unlock()
		if isDown {
			time.Sleep(missedBeats * heartbeat)
			minion.pool.store.Write("keyed.servers", minion.Name, "")
			return
		}
		if !minion.proxy.IsCut() {
			minion.pool.store.Write("keyed.servers", minion.Name, fmt.Sprintf(
				`{"service":%q,"address":%q,"zone":"gulf-a","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,`+
					`"capacity":{"cpu":%d,"memMb":%d,"gpu":%d},"labels":["a","r1-%d"],"clockMs":%d,"sequence":%d,"born":%d}`,
				serviceName, minion.proxy.Address(), minionCPU, minionMemory, minionGPU, minion.index/3, clock, sequence, minion.started.UnixMilli()))
			minion.lastBeat, minion.listed = time.Now(), true
		} else if minion.listed && time.Since(minion.lastBeat) >= missedBeats*heartbeat {
			minion.pool.store.Write("keyed.servers", minion.Name, "")
			minion.listed = false
			minion.pool.record.Logf("the entry of %s has expired", minion.Name)
		}
		wait := heartbeat
		if minion.proxy.IsCut() {
			wait = 50 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

func (minion *Minion) clock() time.Duration { return time.Since(minion.started) + time.Millisecond }

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"runId"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	DeadlineMS int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	LastSeen   int    `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (minion *Minion) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var order order
	if err := json.Unmarshal(body, &order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if request.Header.Get("X-Corianderroad-Expected-Instance") != minion.Name {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, reason := minion.apply(request.URL.Path, &order)
	isHold := request.URL.Path == "/api/hold"
	if isHold && status == http.StatusOK && order.WaitMS > 0 {
		minion.awaitEnd(request, time.Duration(order.WaitMS)*time.Millisecond)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, minion.encode(reason, isHold && status == http.StatusOK))
}

func (minion *Minion) apply(path string, order *order) (int, string) {
	pool := minion.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if minion.down {
		return http.StatusServiceUnavailable, ""
	}
	if order.Token < minion.token {
		return http.StatusConflict, "fence"
	}
	minion.token = order.Token
	switch path {
	case "/api/run-start":
		return minion.start(order)
	case "/api/run-stop":
		minion.highest[order.Task] = max(minion.highest[order.Task], order.Run)
		if run := minion.runs[runKey{order.Task, order.Run}]; run != nil {
			minion.after(stopTime, func() { pool.end(run, "stopped") })
		}
		return http.StatusOK, ""
	case "/api/hold":
		minion.extend(order)
		minion.note(order.LastSeen)
		return http.StatusOK, ""
	}
	return http.StatusNotFound, ""
}

// after calls a function after a delay, under the lock of the pool.
func (minion *Minion) after(delay time.Duration, function func()) {
	time.AfterFunc(delay, func() {
		minion.pool.mutex.Lock()
		defer minion.pool.mutex.Unlock()
		function()
	})
}

func (minion *Minion) extend(order *order) {
	until := min(time.Duration(order.DeadlineMS)*time.Millisecond, minion.clock()+maxHold)
	if until <= minion.leaseEnd {
		return
	}
	minion.leaseEnd = until
	minion.after(until-minion.clock()+time.Millisecond, func() {
		if minion.clock() < minion.leaseEnd {
			return
		}
		for _, run := range minion.sortedRuns() {
			minion.pool.end(run, "lapsed")
		}
	})
}

func (minion *Minion) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(minion.runs), func(one, other *run) int { return strings.Compare(one.task, other.task) })
}

func (minion *Minion) start(order *order) (int, string) {
	key := runKey{order.Task, order.Run}
	if minion.runs[key] != nil {
		minion.extend(order)
		return http.StatusOK, ""
	}
	if order.Run <= minion.highest[order.Task] {
		minion.extend(order)
		return http.StatusConflict, "old"
	}
	if time.Duration(order.DeadlineMS)*time.Millisecond <= minion.clock() {
		return http.StatusConflict, "late"
	}
	step := minion.pool.step(order.Task)
	if step == nil {
		minion.pool.record.Violatef("UNASKED: %s told to start %s, which no client sent", minion.Name, order.Task)
		return http.StatusBadRequest, ""
	}
	if minion.usedCPU+step.CPU > minionCPU || minion.usedGPU+step.GPU > minionGPU || minion.usedMB+step.MemMB > minionMemory {
		minion.extend(order)
		return http.StatusConflict, "room"
	}
	minion.extend(order)
	run := &run{runKey: key, minion: minion, step: step, checkpoint: order.Checkpoint, orderedAt: time.Now()}
	run.resumed = step.workOf(order.Checkpoint)
	minion.runs[key] = run
	minion.highest[order.Task] = order.Run
	minion.usedCPU, minion.usedGPU, minion.usedMB = minion.usedCPU+step.CPU, minion.usedGPU+step.GPU, minion.usedMB+step.MemMB
	minion.pool.started(run)
	return http.StatusOK, ""
}

// started begins the work of a run.
func (pool *Pool) started(run *run) {
	pool.history = append(pool.history, run)
	pool.record.Logf("%s starts %s run %d checkpoint %q", run.minion.Name, run.task, run.run, run.checkpoint)
	run.minion.after(max(run.step.Work-run.resumed, time.Millisecond), func() { pool.end(run, "done") })
}

// progress returns the work that a run has done, with that of its checkpoint.
func (run *run) progress() time.Duration {
	return min(run.resumed+time.Since(run.orderedAt), run.step.Work)
}

// saved returns the run's newest checkpoint. One is produced with each
// checkpointInterval of work, and at a stop.
func (run *run) saved(atStop bool) string {
	if !run.step.Checkpointing {
		return run.checkpoint
	}
	progress := run.progress()
	if !atStop {
		progress = run.resumed + (progress - run.resumed).Truncate(checkpointInterval)
	}
	if progress == run.resumed {
		return run.checkpoint
	}
	return fmt.Sprintf("%08x%s", progress.Milliseconds(), run.task[:8])
}

// end ends a run, unless it has ended.
func (pool *Pool) end(run *run, how string) {
	minion := run.minion
	if minion.runs[run.runKey] != run {
		return
	}
	saved := run.saved(how == "stopped")
	delete(minion.runs, run.runKey)
	minion.usedCPU, minion.usedGPU, minion.usedMB = minion.usedCPU-run.step.CPU, minion.usedGPU-run.step.GPU, minion.usedMB-run.step.MemMB
	run.how, run.endedAt = how, time.Now()
	minion.lastEnd++
	minion.ends = append(minion.ends, end{minion.lastEnd, run, saved})
	close(minion.endAdded)
	minion.endAdded = make(chan struct{})
	pool.record.Logf("%s ends %s run %d %s end %d saved %q", minion.Name, run.task, run.run, how, minion.lastEnd, saved)
}

func (minion *Minion) note(lastSeen int) {
	for len(minion.ends) > 0 && minion.ends[0].number <= lastSeen {
		minion.ends[0].run.noted = true
		minion.ends = minion.ends[1:]
	}
}

func (minion *Minion) awaitEnd(request *http.Request, wait time.Duration) {
	minion.pool.mutex.Lock()
	added, listed := minion.endAdded, len(minion.ends) > 0
	minion.pool.mutex.Unlock()
	if listed {
		return
	}
	select {
	case <-added:
	case <-time.After(wait):
	case <-request.Context().Done():
	}
}

func (minion *Minion) encode(reason string, lists bool) string {
	minion.pool.mutex.Lock()
	defer minion.pool.mutex.Unlock()
	fields := map[string]any{"clockMs": minion.clock().Milliseconds()}
	if reason != "" {
		fields["reason"] = reason
	}
	if lists {
		running, ended := [][]any{}, [][]any{}
		for _, run := range minion.sortedRuns() {
			percent := int(100 * run.progress() / run.step.Work)
			running = append(running, []any{run.task, run.run, run.saved(false), percent, run.step.CPU})
		}
		for _, end := range minion.ends[:min(len(minion.ends), listedEnds)] {
			ended = append(ended, []any{end.number, end.run.task, end.run.run, end.run.how, end.saved})
		}
		fields["running"], fields["endedRuns"], fields["born"] = running, ended, minion.started.UnixMilli()
	}
	encoded, _ := json.Marshal(fields)
	return string(encoded)
}
