package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of a minion.
const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	stopTime  = 300 * time.Millisecond
	// startupTime is the time from the start of a run that lasts until it is at work.
	startupTime = 300 * time.Millisecond
)

// resources are what a minion has or a task requests.
type resources struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPU   int `json:"gpu"`
}

func (have resources) holds(need resources) bool {
	return have.CPU >= need.CPU && have.MemMB >= need.MemMB && have.GPU >= need.GPU
}

func (have resources) less(used resources) resources {
	return resources{have.CPU - used.CPU, have.MemMB - used.MemMB, have.GPU - used.GPU}
}

// pool is the minions of the deployment. Its mutex guards all of them.
type pool struct {
	mutex   sync.Mutex
	store   *store
	log     *journal
	jobs    *jobs
	minions map[string]*minion
	serial  int
	// beats counts the heartbeats of each ID.
	beats map[string]int
	// delay draws the delays of orders, nil if none is late.
	delay func(minion *minion, path string) time.Duration
}

func newPool(store *store, log *journal, jobs *jobs) *pool {
	return &pool{store: store, log: log, jobs: jobs, minions: make(map[string]*minion), beats: make(map[string]int)}
}

// minion is one life of a machine.
type minion struct {
	pool     *pool
	id       string
	machine  string
	zone     string
	rack     string
	address  string
	capacity resources
	born     time.Time
	server   *http.Server
	stopped  chan struct{}
	// beatAt is when the minion has last written its entry.
	beatAt time.Time
	isUp   bool
	// mode is how the minion answers. Orders are not carried out unless it is sound.
	mode atomic.Int32

	token    uint64
	leaseEnd time.Duration
	runs     map[string]*run
	highest  map[string]uint64
	ends     []runEnd
	lastEnd  uint64
	changed  chan struct{}
}

// Modes of a minion.
const (
	sound  int32 = iota
	silent       // no call is answered, nothing is done
)

type run struct {
	minion  *minion
	task    string
	number  uint64
	work    workSpec
	needs   resources
	began   time.Time
	isEnded bool
}

type runEnd struct {
	number uint64
	run    *run
	how    string
	at     time.Time
	// hasLapsed means that the lease has expired since.
	hasLapsed bool
}

// workSpec is the spec of the jobs of the cases.
type workSpec struct {
	MS int `json:"ms"`
	// Lasts means that the run goes on until it is stopped.
	Lasts bool `json:"lasts"`
}

// launch starts a minion on a machine. An empty address stands for a free port.
func (pool *pool) launch(machine, zone, rack, address string, capacity resources) (*minion, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	pool.mutex.Lock()
	pool.serial++
	id := fmt.Sprintf("i-%04d", pool.serial)
	pool.mutex.Unlock()
	return pool.launchAs(id, machine, zone, rack, listener, capacity, 0, sound)
}

// relaunch starts the next life of a minion under its ID and at its address. Its first
// heartbeat reaches the store after a time.
func (pool *pool) relaunch(former *minion, silence time.Duration) (*minion, error) {
	listener, err := net.Listen("tcp", former.address)
	if err != nil {
		return nil, err
	}
	return pool.launchAs(former.id, former.machine, former.zone, former.rack, listener, former.capacity, silence, sound)
}

// relaunchCutOff does the same with a minion that answers nothing until its mode is changed.
func (pool *pool) relaunchCutOff(former *minion, silence time.Duration) (*minion, error) {
	listener, err := net.Listen("tcp", former.address)
	if err != nil {
		return nil, err
	}
	return pool.launchAs(former.id, former.machine, former.zone, former.rack, listener, former.capacity, silence, silent)
}

func (pool *pool) launchAs(id, machine, zone, rack string, listener net.Listener, capacity resources, silence time.Duration, mode int32) (*minion, error) {
	pool.mutex.Lock()
	started := &minion{
		pool: pool, id: id, machine: machine, zone: zone, rack: rack, address: listener.Addr().String(),
		capacity: capacity, born: time.Now(), stopped: make(chan struct{}), isUp: true,
		runs: make(map[string]*run), highest: make(map[string]uint64), changed: make(chan struct{}),
	}
	started.mode.Store(mode)
	pool.minions[started.id] = started
	pool.mutex.Unlock()
	started.server = &http.Server{Handler: started}
	go func() { _ = started.server.Serve(listener) }() // ends with the server
	go started.beat(silence)
	pool.log.add("minion %s began on machine %s at %s", started.id, machine, started.address)
	return started, nil
}

// beat writes the minion's entry until the minion has ended, and removes it after three
// missed heartbeats.
func (minion *minion) beat(silence time.Duration) {
	time.Sleep(silence)
	for sequence := 1; ; sequence++ {
		minion.register(sequence)
		select {
		case <-time.After(heartbeat):
		case <-minion.stopped:
			minion.unregister()
			return
		}
	}
}

// register writes the minion's entry.
func (minion *minion) register(sequence int) {
	minion.pool.mutex.Lock()
	minion.pool.beats[minion.id]++
	minion.pool.mutex.Unlock()
	minion.beatAt = time.Now()
	minion.pool.store.write("keyed.servers", minion.id, map[string]any{
		"service": serviceName, "address": minion.address, "zone": minion.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": minion.capacity, "labels": []string{"a", minion.rack}, "clockMs": minion.clock().Milliseconds(),
		"born": minion.born.UnixMilli(), "sequence": sequence,
	})
}

// unregister removes the entry after three missed heartbeats, unless the next life has written it.
func (minion *minion) unregister() {
	minion.pool.mutex.Lock()
	beats := minion.pool.beats[minion.id]
	minion.pool.mutex.Unlock()
	time.Sleep(time.Until(minion.beatAt.Add(3 * heartbeat)))
	minion.pool.mutex.Lock()
	isWritten := minion.pool.beats[minion.id] != beats
	minion.pool.mutex.Unlock()
	if !isWritten {
		minion.pool.store.write("keyed.servers", minion.id, nil)
		minion.pool.log.add("the entry of minion %s is removed", minion.id)
	}
}

// crash ends the minion. Its connections are reset, and nothing listens at its address.
func (minion *minion) crash(reason string) {
	minion.pool.mutex.Lock()
	if !minion.isUp {
		minion.pool.mutex.Unlock()
		return
	}
	minion.isUp = false
	delete(minion.pool.minions, minion.id)
	minion.pool.log.add("minion %s of machine %s ends: %s", minion.id, minion.machine, reason)
	for _, run := range minion.runs {
		minion.pool.end(run, "lost")
	}
	minion.wake()
	minion.pool.mutex.Unlock()
	close(minion.stopped)
	_ = minion.server.Close() // an error means that it is closed already
}

func (minion *minion) hasEnded() bool {
	minion.pool.mutex.Lock()
	defer minion.pool.mutex.Unlock()
	return !minion.isUp
}

func (minion *minion) clock() time.Duration { return time.Since(minion.born) + time.Millisecond }

func (minion *minion) wake() {
	close(minion.changed)
	minion.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	RunID      uint64 `json:"runId"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (minion *minion) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if minion.mode.Load() == silent {
		<-request.Context().Done()
		return
	}
	if expected := request.Header.Get("X-Corianderroad-Expected-Instance"); expected != "" && expected != minion.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var received order
	if json.Unmarshal(body, &received) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if delay := minion.pool.drawDelay(minion, request.URL.Path); delay > 0 {
		minion.applyLate(request.URL.Path, &received, delay)
		<-request.Context().Done() // no answer
		return
	}
	status, reason := minion.apply(request.URL.Path, &received)
	content := map[string]any{"clockMs": minion.clock().Milliseconds(), "born": minion.born.UnixMilli()}
	if reason != "" {
		content["reason"] = reason
	}
	if request.URL.Path == "/api/hold" && status == http.StatusOK {
		minion.awaitEnd(request.Context(), time.Duration(received.WaitMS)*time.Millisecond)
		minion.list(content)
	}
	if minion.hasEnded() {
		panic(http.ErrAbortHandler) // it answers nothing more
	}
	answer(writer, status, content)
}

// applyLate carries out an order later, also if another life answers at the address by then.
func (minion *minion) applyLate(path string, received *order, delay time.Duration) {
	minion.pool.log.add("minion %s leaves %s %s run %d unanswered for %s", minion.id, path, received.Task, received.RunID, delay)
	time.AfterFunc(delay, func() {
		minion.pool.mutex.Lock()
		present := minion.pool.minions[minion.id]
		minion.pool.mutex.Unlock()
		if present == nil {
			return
		}
		status, reason := present.apply(path, received)
		minion.pool.log.add("minion %s carries out %s %s run %d late: %d %s", present.id, path, received.Task, received.RunID, status, reason)
	})
}

// drawDelay returns after which time an order is carried out without an answer, zero for one
// that is carried out at once.
func (pool *pool) drawDelay(minion *minion, path string) time.Duration {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.delay == nil {
		return 0
	}
	return pool.delay(minion, path)
}

func (minion *minion) apply(path string, received *order) (int, string) {
	minion.pool.mutex.Lock()
	defer minion.pool.mutex.Unlock()
	switch {
	case !minion.isUp:
		return http.StatusServiceUnavailable, ""
	case received.Token < minion.token:
		return http.StatusConflict, "fence"
	}
	minion.token = received.Token
	deadline := time.Duration(received.DeadlineMS) * time.Millisecond
	switch path {
	case "/api/run-start":
		status, reason := minion.start(received, deadline)
		if reason != "late" {
			minion.extend(deadline)
		}
		return status, reason
	case "/api/run-stop":
		minion.highest[received.Task] = max(minion.highest[received.Task], received.RunID)
		if known := minion.runs[received.Task]; known != nil && known.number == received.RunID {
			minion.pool.after(stopTime, func() { minion.pool.end(known, "stopped") })
		}
	case "/api/hold":
		minion.extend(deadline)
		for len(minion.ends) > 0 && minion.ends[0].number <= received.LastSeen {
			minion.noteTaken(minion.ends[0])
			minion.pool.log.add("end %d of minion %s is taken note of: %s run %d %s", minion.ends[0].number, minion.id, minion.ends[0].run.task, minion.ends[0].run.number, minion.ends[0].how)
			minion.ends = minion.ends[1:]
		}
	case "/api/pace":
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// freeCPU returns the processors that no run occupies, in thousandths of a core.
func (pool *pool) freeCPU() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	free := 0
	for _, minion := range pool.minions {
		free += minion.capacity.CPU
		for _, run := range minion.runs {
			free -= run.needs.CPU
		}
	}
	return free
}

// after calls a function after a delay, under the lock of the pool.
func (pool *pool) after(delay time.Duration, function func()) {
	time.AfterFunc(delay, func() {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		function()
	})
}

// noteTaken notes that an end is taken note of. That counts unless the lease has lapsed since.
func (minion *minion) noteTaken(end runEnd) {
	if !end.hasLapsed {
		minion.pool.jobs.noteTaken(end.run.task, end.how, end.at)
	}
}

// extend extends the lease of all runs.
func (minion *minion) extend(until time.Duration) {
	until = min(until, minion.clock()+maxHold)
	if until <= minion.leaseEnd {
		return
	}
	minion.leaseEnd = until
	minion.pool.after(until-minion.clock()+time.Millisecond, func() {
		if minion.clock() < minion.leaseEnd {
			return
		}
		for index := range minion.ends {
			minion.ends[index].hasLapsed = true
		}
		for _, run := range minion.runs {
			minion.pool.end(run, "lapsed")
		}
	})
}

func (minion *minion) start(received *order, deadline time.Duration) (int, string) {
	if known := minion.runs[received.Task]; known != nil && known.number == received.RunID {
		return http.StatusOK, ""
	}
	var work workSpec
	if json.Unmarshal([]byte(received.Spec), &work) != nil {
		return http.StatusBadRequest, ""
	}
	needs, isKnown := minion.pool.jobs.needs(received.Task)
	used := resources{}
	for _, other := range minion.runs {
		used = resources{used.CPU + other.needs.CPU, used.MemMB + other.needs.MemMB, used.GPU + other.needs.GPU}
	}
	switch {
	case !isKnown:
		minion.pool.log.add("minion %s is told to start %s, which no client has sent", minion.id, received.Task)
		return http.StatusBadRequest, ""
	case received.RunID <= minion.highest[received.Task]:
		return http.StatusConflict, "old"
	case deadline <= minion.clock():
		return http.StatusConflict, "late"
	case !minion.capacity.less(used).holds(needs):
		return http.StatusConflict, "room"
	}
	begun := &run{minion: minion, task: received.Task, number: received.RunID, work: work, needs: needs, began: time.Now()}
	minion.runs[begun.task], minion.highest[begun.task] = begun, begun.number
	minion.pool.log.add("minion %s starts %s run %d", minion.id, begun.task, begun.number)
	minion.pool.jobs.noteStart(begun)
	if !work.Lasts {
		minion.pool.after(begun.duration(), func() { minion.pool.end(begun, "done") })
	}
	return http.StatusOK, ""
}

func (run *run) duration() time.Duration { return time.Duration(run.work.MS) * time.Millisecond }

// end ends a run.
func (pool *pool) end(ended *run, how string) {
	if ended.isEnded {
		return
	}
	ended.isEnded = true
	minion := ended.minion
	delete(minion.runs, ended.task)
	pool.log.add("minion %s ends %s run %d: %s", minion.id, ended.task, ended.number, how)
	pool.jobs.noteRun(ended.task, -1)
	if how != "lost" {
		minion.lastEnd++
		minion.ends = append(minion.ends, runEnd{number: minion.lastEnd, run: ended, how: how, at: time.Now()})
		minion.wake()
	}
}

// awaitEnd returns when an end is listed, or after the given time.
func (minion *minion) awaitEnd(ctx context.Context, wait time.Duration) {
	timeout := time.After(wait)
	for {
		minion.pool.mutex.Lock()
		isListed, changed := len(minion.ends) > 0 || !minion.isUp, minion.changed
		minion.pool.mutex.Unlock()
		if isListed {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// list adds the lists of runs to an answer.
func (minion *minion) list(content map[string]any) {
	minion.pool.mutex.Lock()
	defer minion.pool.mutex.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range minion.runs {
		percent := 0
		if run.work.Lasts && time.Since(run.began) > startupTime {
			percent = 100
		} else if run.work.MS > 0 {
			percent = int(min(99, 100*time.Since(run.began)/run.duration()))
		}
		running = append(running, []any{run.task, run.number, "", percent, run.needs.CPU})
	}
	for _, end := range minion.ends[:min(len(minion.ends), 500)] {
		ended = append(ended, []any{end.number, end.run.task, end.run.number, end.how, ""})
	}
	content["clockMs"], content["running"], content["endedRuns"] = minion.clock().Milliseconds(), running, ended
}
