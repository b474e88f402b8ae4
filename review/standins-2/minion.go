//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the minions. They are those of the settings of the nodes.
const (
	heartbeatInterval = 1500 * time.Millisecond
	// entryLifetime is the silence after which the store removes the entry of a minion.
	entryLifetime = 3 * heartbeatInterval
	maxHold       = 10 * time.Second
	stopDelay     = 100 * time.Millisecond // at most stopTimeoutMs
	maxWait       = 2 * time.Second
)

// minion is a worker at one address. It begins a new life under the same ID after a crash.
type minion struct {
	id       string
	service  string
	recorder *recorder
	store    *store
	// intercept returns the delay after which an order is carried out without a response,
	// zero for an order that is answered. It may be nil.
	intercept func(path string, order *minionOrder) time.Duration
	// reportDelay is the time from the start of a life to its first entry in the store.
	reportDelay time.Duration
	// latency is the time that a message takes to the minion, and from it.
	latency time.Duration

	listener net.Listener
	server   *http.Server

	mutex sync.Mutex
	// life is nil while the minion is down.
	life       *life
	lives      int
	cut        bool
	reportedAt time.Time
	// entry is the entry in the store, empty if there is none.
	entry  string
	closed bool
	// connections are the open ones.
	connections map[net.Conn]struct{}
	// released is closed and replaced when a cut or a downtime ends.
	released chan struct{}
}

// life is one incarnation of a minion.
type life struct {
	number   int
	labels   []string
	capacity minionCapacity
	begun    time.Time
	token    uint64
	leaseEnd time.Duration
	runs     map[string]*taskRun
	highest  map[string]uint64
	ends     []listedEnd
	lastEnd  int
	sequence int
	// changed is closed and replaced when a run ends.
	changed chan struct{}
}

type minionCapacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPU   int `json:"gpu"`
}

type listedEnd struct {
	number int
	run    *taskRun
}

type minionOrder struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     int    `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

func newMinion(id, service string, labels []string, recorder *recorder, store *store) (*minion, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &minion{
		id: id, service: service, recorder: recorder, store: store, listener: listener,
		connections: make(map[net.Conn]struct{}), released: make(chan struct{}),
	}
	created.server = &http.Server{Handler: http.HandlerFunc(created.serve), ConnState: created.noteConnection}
	created.begin(labels)
	go func() { _ = created.server.Serve(listener) }() // ends with close
	go created.sendHeartbeats()
	return created, nil
}

func (minion *minion) close() {
	minion.mutex.Lock()
	minion.closed = true
	minion.mutex.Unlock()
	_ = minion.server.Close() // the process ends anyway
}

func (minion *minion) noteConnection(connection net.Conn, state http.ConnState) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(minion.connections, connection)
	} else {
		minion.connections[connection] = struct{}{}
	}
}

// begin begins a life with nothing of the former one.
func (minion *minion) begin(labels []string) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	minion.lives++
	minion.life = &life{
		number: minion.lives, labels: labels, capacity: minionCapacity{CPU: 32000, MemMB: 131072, GPU: 8}, begun: time.Now(),
		runs: make(map[string]*taskRun), highest: make(map[string]uint64), changed: make(chan struct{}),
	}
	if minion.lives > 1 {
		minion.life.sequence = -1
	}
	minion.release()
	minion.recorder.log("minion %s: life %d begins, labels %v", minion.id, minion.lives, labels)
}

// delayReport sets the time from the start of a life to its first entry.
func (minion *minion) delayReport(delay time.Duration) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	minion.reportDelay = delay
}

func (minion *minion) release() {
	close(minion.released)
	minion.released = make(chan struct{})
}

// crash ends the life and resets all connections. The machine is silent until begin.
func (minion *minion) crash() {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	minion.recorder.log("minion %s: life %d crashes", minion.id, minion.life.number)
	for _, run := range minion.life.runs {
		minion.recorder.end(run, "crashed")
	}
	close(minion.life.changed)
	minion.life = nil
	for connection := range minion.connections {
		_ = connection.Close() // it may be closed already
	}
}

// setCut cuts the minion off from everything, or ends the cut.
func (minion *minion) setCut(cut bool) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	minion.cut = cut
	if cut {
		minion.recorder.log("minion %s: cut off, runs on", minion.id)
		return
	}
	minion.recorder.log("minion %s: the cut has ended", minion.id)
	minion.release()
}

// sendHeartbeats writes the entry of the minion, and removes it for the store after
// silence.
func (minion *minion) sendHeartbeats() {
	for {
		minion.mutex.Lock()
		if minion.closed {
			minion.mutex.Unlock()
			return
		}
		now := time.Now()
		life := minion.life
		isDue := life != nil && !minion.cut && now.Sub(life.begun) >= minion.reportDelay &&
			(now.Sub(minion.reportedAt) >= heartbeatInterval || life.sequence <= 0)
		if isDue {
			life.sequence = max(life.sequence, 0) + 1
			minion.reportedAt = now
			if entry := minion.encodeEntry(life); entry != "" {
				minion.entry = entry
				minion.store.write("keyed.servers", minion.id, entry)
			}
		} else if minion.entry != "" && now.Sub(minion.reportedAt) >= entryLifetime {
			minion.entry = ""
			minion.store.write("keyed.servers", minion.id, "")
			minion.recorder.log("store: the entry of minion %s is removed after %s of silence", minion.id, entryLifetime)
		}
		minion.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

func (minion *minion) encodeEntry(life *life) string {
	encoded, _ := json.Marshal(map[string]any{ // text and numbers always can be encoded
		"service": minion.service, "address": minion.listener.Addr().String(), "zone": "gulf-a", "version": "v1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "capacity": life.capacity, "labels": life.labels,
		"clockMs": life.clock().Milliseconds(), "sequence": life.sequence, "born": life.begun.UnixMilli(),
	})
	return string(encoded)
}

// clock returns the minion's steady clock, which starts anew with each life.
func (life *life) clock() time.Duration { return time.Since(life.begun) + time.Millisecond }

func (minion *minion) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	time.Sleep(minion.latency)
	minion.awaitReachable(request)
	var order minionOrder
	if err := json.Unmarshal(body, &order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if request.Header.Get("X-Corianderroad-Expected-Instance") != minion.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	minion.recorder.addOrder()
	if minion.intercept != nil {
		if delay := minion.intercept(request.URL.Path, &order); delay > 0 {
			minion.recorder.log("minion %s: %s of %s run %d gets no response and is carried out %s later", minion.id, request.URL.Path, order.Task, order.RunID, delay)
			time.AfterFunc(delay, func() { minion.carryOutLate(request.URL.Path, &order) })
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	minion.mutex.Lock()
	life := minion.life
	status, reason := minion.apply(life, request.URL.Path, &order)
	minion.mutex.Unlock()
	if status == http.StatusOK && request.URL.Path == "/api/hold" {
		minion.awaitEnd(life, min(time.Duration(order.WaitMS)*time.Millisecond, maxWait))
	}
	encoded := minion.encodeAnswer(life, reason, status, request.URL.Path)
	time.Sleep(minion.latency)
	minion.awaitSend(request, life)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded) // fails only if the node has disconnected
}

// awaitReachable returns if the minion can be reached. Otherwise the request is lost.
func (minion *minion) awaitReachable(request *http.Request) {
	minion.mutex.Lock()
	isReachable, released := minion.life != nil && !minion.cut, minion.released
	minion.mutex.Unlock()
	if isReachable {
		return
	}
	select {
	case <-request.Context().Done():
	case <-released:
	}
	panic(http.ErrAbortHandler)
}

// awaitSend returns if the life that has carried out an order can send its answer.
func (minion *minion) awaitSend(request *http.Request, answering *life) {
	minion.mutex.Lock()
	isSame, isCut, released := minion.life == answering, minion.cut, minion.released
	minion.mutex.Unlock()
	if isSame && !isCut {
		return
	}
	if isSame {
		select {
		case <-request.Context().Done():
		case <-released:
		}
	}
	panic(http.ErrAbortHandler)
}

// carryOutLate carries out an order that got no response, at the life that is up then.
func (minion *minion) carryOutLate(path string, order *minionOrder) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	if minion.life == nil || minion.cut {
		minion.recorder.log("minion %s: the late %s of %s run %d is lost", minion.id, path, order.Task, order.RunID)
		return
	}
	status, reason := minion.apply(minion.life, path, order)
	minion.recorder.log("minion %s: the late %s of %s run %d is carried out in life %d, status %d %s",
		minion.id, path, order.Task, order.RunID, minion.life.number, status, reason)
}

// apply carries out an order. The caller holds the mutex.
func (minion *minion) apply(life *life, path string, order *minionOrder) (int, string) {
	if order.FencingToken < life.token {
		return http.StatusConflict, "fence"
	}
	life.token = order.FencingToken
	deadline := time.Duration(order.DeadlineMS) * time.Millisecond
	minion.extendLease(life, deadline)
	switch path {
	case "/api/run-start":
		return minion.start(life, order, deadline)
	case "/api/run-stop":
		life.highest[order.Task] = max(life.highest[order.Task], order.RunID)
		if run := life.runs[order.Task]; run != nil && run.number == order.RunID {
			time.AfterFunc(stopDelay, func() { minion.finish(life, run, "stopped") })
		}
	case "/api/hold":
		for len(life.ends) > 0 && life.ends[0].number <= order.LastSeen {
			life.ends = life.ends[1:]
		}
	}
	return http.StatusOK, ""
}

// extendLease extends the lease, which applies to everything that runs on the minion. A
// lease is never shortened, and one that is too long is cut down to the maximum.
func (minion *minion) extendLease(life *life, deadline time.Duration) {
	granted := min(deadline, life.clock()+maxHold)
	if granted <= life.leaseEnd {
		return
	}
	if granted < deadline {
		minion.recorder.log("minion %s: life %d at clock %d ms is asked for a lease until %d ms, grants %d ms", minion.id, life.number,
			life.clock().Milliseconds(), deadline.Milliseconds(), granted.Milliseconds())
	}
	life.leaseEnd = granted
	time.AfterFunc(granted-life.clock()+time.Millisecond, func() {
		minion.mutex.Lock()
		hasExpired := life.clock() >= life.leaseEnd
		var runs []*taskRun
		for _, run := range life.runs {
			runs = append(runs, run)
		}
		minion.mutex.Unlock()
		for _, run := range runs {
			if hasExpired {
				minion.finish(life, run, "lapsed")
			}
		}
	})
}

func (minion *minion) start(life *life, order *minionOrder, deadline time.Duration) (int, string) {
	if run := life.runs[order.Task]; run != nil && run.number == order.RunID {
		return http.StatusOK, ""
	}
	if order.RunID <= life.highest[order.Task] {
		return http.StatusConflict, "old"
	}
	if deadline <= life.clock() {
		return http.StatusConflict, "late"
	}
	if len(life.runs) >= life.capacity.GPU { // each task of the cases asks for one accelerator
		return http.StatusConflict, "room"
	}
	work, err := workOf(order)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	run := minion.recorder.begin(order.Task, order.RunID, minion.id, life.number, life.labels)
	life.runs[order.Task] = run
	life.highest[order.Task] = order.RunID
	time.AfterFunc(work, func() { minion.finish(life, run, "done") })
	return http.StatusOK, ""
}

// workOf returns how long the task of an order works. The spec of a job lists the
// milliseconds of each step.
func workOf(order *minionOrder) (time.Duration, error) {
	steps := strings.Fields(order.Spec)
	parts := strings.Split(order.Task, ".")
	if len(parts) != 4 {
		return 0, fmt.Errorf("task %q", order.Task)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(steps) {
		return 0, fmt.Errorf("task %q has no step in %q", order.Task, order.Spec)
	}
	milliseconds, err := strconv.Atoi(steps[step])
	return time.Duration(milliseconds) * time.Millisecond, err
}

// finish ends a run that has not ended.
func (minion *minion) finish(life *life, run *taskRun, how string) {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	if minion.life != life || life.runs[run.task] != run {
		return
	}
	delete(life.runs, run.task)
	life.lastEnd++
	life.ends = append(life.ends, listedEnd{life.lastEnd, run})
	minion.recorder.end(run, how)
	close(life.changed)
	life.changed = make(chan struct{})
}

// awaitEnd returns when an end is listed, or after the given time.
func (minion *minion) awaitEnd(life *life, wait time.Duration) {
	minion.mutex.Lock()
	hasEnds, changed := len(life.ends) > 0, life.changed
	minion.mutex.Unlock()
	if hasEnds {
		return
	}
	select {
	case <-changed:
	case <-time.After(wait):
	}
}

// encodeAnswer encodes an answer. Only the lists of runs tell when the life began.
func (minion *minion) encodeAnswer(life *life, reason string, status int, path string) []byte {
	minion.mutex.Lock()
	defer minion.mutex.Unlock()
	answer := map[string]any{"clockMs": life.clock().Milliseconds()}
	if reason != "" {
		answer["reason"] = reason
	}
	if path == "/api/hold" && status == http.StatusOK {
		running, ended := [][]any{}, [][]any{}
		for _, run := range life.runs {
			running = append(running, []any{run.task, run.number, "", 50, 1000})
		}
		for _, end := range life.ends {
			ended = append(ended, []any{end.number, end.run.task, end.run.number, end.run.how, ""})
		}
		answer["born"], answer["running"], answer["endedRuns"] = life.begun.UnixMilli(), running, ended
	}
	encoded, _ := json.Marshal(answer) // text and numbers always can be encoded
	return encoded
}
