package planner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

const (
	pool       = identifier.Service("pool")
	draws      = identifier.Queue("draws")
	swaps      = identifier.Queue("swaps")
	advised    = identifier.Queue("advised")
	attempts   = 3
	latency    = 5 * time.Millisecond
	appendTime = 10 * time.Millisecond
	longest    = 6 * time.Second
)

// world drives planners, minions and the store side by side in virtual time.
type world struct {
	now     time.Time
	queue   happenings
	ordinal int
	source  *rand.Rand

	nodes   []*node
	minions map[identifier.Minion]*fakeMinion
	journal []messenger.JournalEntry
	// spread varies the delay of orders, so that answers overtake each other.
	spread time.Duration
	fence  identifier.Term
	tokens identifier.Term
	tasks  map[specifier.Task]*truth
	jobs   map[identifier.Job]*specifier.Job
	// cancelled holds when a cancellation was acknowledged.
	cancelled map[identifier.Job]time.Time
	services  *services
	failures  []string
	lines     []string

	// Faults: the share of orders whose answer is lost, and of those that are
	// carried out late.
	loseAnswers, late float64
	// loseRecords is the share of records that are durable without an answer.
	loseRecords float64
	// fail decides whether a run fails.
	fail func(run *fakeRun) bool
	// work returns how long a run works.
	work func(run *fakeRun) time.Duration
}

// truth is what really happened to a task.
type truth struct {
	done    bool
	noted   bool
	failed  []uint64
	running map[*fakeRun]bool
	starts  []uint64
}

type happening struct {
	at      time.Time
	ordinal int
	act     func()
}

type happenings []happening

func (queue happenings) Len() int { return len(queue) }
func (queue happenings) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].ordinal < queue[j].ordinal
	}
	return queue[i].at.Before(queue[j].at)
}
func (queue happenings) Swap(i, j int)   { queue[i], queue[j] = queue[j], queue[i] }
func (queue *happenings) Push(value any) { *queue = append(*queue, value.(happening)) }
func (queue *happenings) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// node is an entry VM's planner.
type node struct {
	name    identifier.Node
	planner *planner.Planner
	alive   bool
	token   identifier.Term
	read    int
	ticked  time.Time
	// busy is the real time that the node's decisions took.
	busy time.Duration
}

func newWorld(seed uint64, nodes, minions int) *world {
	world := &world{
		now: time.Unix(1_000_000, 0), source: rand.New(rand.NewPCG(seed, 1)),
		minions: make(map[identifier.Minion]*fakeMinion), tasks: make(map[specifier.Task]*truth),
		jobs: make(map[identifier.Job]*specifier.Job), cancelled: make(map[identifier.Job]time.Time),
		services: newServices(),
		fail:     func(*fakeRun) bool { return false },
		work:     func(run *fakeRun) time.Duration { return run.spec.EstimatedRunTime },
	}
	for index := range minions {
		name := identifier.Minion(fmt.Sprintf("m%02d", index))
		world.minions[name] = newFakeMinion(world, name, index/4)
	}
	for index := range nodes {
		world.nodes = append(world.nodes, world.newNode(fmt.Sprintf("n%d", index)))
	}
	return world
}

func (world *world) newNode(name string) *node {
	node := &node{name: identifier.Node(name), alive: true, planner: planner.New(identifier.Node(name), planner.Bounds{
		LongestLease: longest, StopTimeout: 500 * time.Millisecond, StatusKept: time.Hour,
		Upkeep: 2 * time.Second, Reclaim: 3 * time.Second,
	})}
	world.step(node, messenger.PolicyRead{Policy: policy(), SentAt: world.now})
	return node
}

func policy() *specifier.Policy {
	queue := func(name identifier.Queue, priority int) specifier.Queue {
		return specifier.Queue{Name: name, Service: pool, Priority: priority, Attempts: attempts, Stretch: 3, Slack: time.Second}
	}
	withAdvice := queue(advised, 1)
	withAdvice.Advice = &specifier.Advice{DecisionTime: adviceTime, TicketValidity: ticketValid}
	return &specifier.Policy{
		Version: 1, Queues: []specifier.Queue{queue(draws, 1), queue(swaps, 0), withAdvice},
	}
}

// after schedules an act.
func (world *world) after(delay time.Duration, act func()) {
	world.ordinal++
	heap.Push(&world.queue, happening{world.now.Add(delay), world.ordinal, act})
}

// run lets the world go on for a time.
func (world *world) run(span time.Duration) {
	until := world.now.Add(span)
	for world.queue.Len() > 0 && !world.queue[0].at.After(until) {
		next := heap.Pop(&world.queue).(happening)
		if next.at.After(world.now) {
			world.now = next.at
		}
		next.act()
	}
	world.now = until
}

// step gives an event to a node and carries out its actions.
func (world *world) step(node *node, event messenger.Event) {
	if !node.alive {
		return
	}
	began := time.Now()
	actions := node.planner.Step(world.now, event)
	next := node.planner.Next()
	node.busy += time.Since(began)
	for _, action := range actions {
		world.perform(node, action)
	}
	if next.IsZero() || next.Equal(node.ticked) {
		return
	}
	node.ticked = next
	world.after(max(next.Sub(world.now), time.Microsecond), func() {
		if node.ticked.Equal(next) {
			node.ticked = time.Time{}
			world.step(node, messenger.Tick{})
		}
	})
}

func (world *world) perform(node *node, action messenger.Action) {
	switch action := action.(type) {
	case messenger.Decision:
		world.lines = append(world.lines, fmt.Sprintf("%s %s %s %s: %s %s",
			world.now.Format("05.000"), node.name, action.Subject, action.Outcome, action.Reason, action.Detail))
	case messenger.OrderMinion:
		world.send(node, action)
	case messenger.FenceJournal:
		world.after(appendTime, func() {
			world.fence = max(world.fence, action.Token)
			fenced := messenger.JournalFenced{Token: action.Token, End: identifier.Offset(len(world.journal))}
			if world.fence > action.Token {
				fenced.Err = classifier.New(classifier.StaleTerm, "fenced")
			}
			world.step(node, fenced)
			world.deliver(node)
		})
	case messenger.RecordProgress:
		world.after(appendTime, func() { world.record(node, action) })
	case messenger.FollowMinions:
		if action.Enabled {
			world.after(latency, func() { world.report(node) })
		}
	case messenger.HolderFenced:
		if node.token == action.Token {
			node.token = 0
		}
	default:
		world.performService(node, action)
	}
}

// record appends progress of the holder.
func (world *world) record(node *node, action messenger.RecordProgress) {
	recorded := messenger.ProgressRecorded{Token: action.Token, Serial: action.Serial}
	switch {
	case world.fence > action.Token:
		recorded.Err = classifier.New(classifier.StaleTerm, "fenced")
	default:
		for _, update := range action.Updates {
			world.append(update)
		}
		if world.source.Float64() < world.loseRecords {
			recorded.Err = classifier.New(classifier.OutcomeUnknown, "no answer")
		}
	}
	world.step(node, recorded)
}

// append adds an entry to the journal, which all nodes read soon.
func (world *world) append(entry messenger.JournalEntry) {
	world.journal = append(world.journal, entry)
	for _, node := range world.nodes {
		world.after(latency, func() { world.deliver(node) })
	}
}

func (world *world) deliver(node *node) {
	if !node.alive {
		return
	}
	entries := world.journal[node.read:]
	node.read = len(world.journal)
	world.step(node, messenger.JournalRead{Entries: entries, End: identifier.Offset(len(world.journal)), SentAt: world.now})
}

// report delivers the reports of all minions that are up.
func (world *world) report(node *node) {
	read := messenger.MinionsRead{Complete: true, SentAt: world.now}
	for _, minion := range world.sorted() {
		if minion.up && !minion.unlisted {
			read.Reports = append(read.Reports, minion.report())
		}
	}
	world.step(node, read)
}

// crown makes a node the holder until another is crowned and it has noticed.
func (world *world) crown(node *node) {
	world.tokens++
	token := world.tokens
	node.token = token
	world.renew(node, token)
}

func (world *world) renew(node *node, token identifier.Term) {
	if node.token != token || !node.alive {
		return
	}
	world.step(node, messenger.HolderChanged{Token: token, ConfirmedAt: world.now})
	world.after(400*time.Millisecond, func() { world.renew(node, token) })
}

// submit appends a job as an entry would.
func (world *world) submit(job specifier.Job) {
	job.AcceptedAt = world.now
	if err := job.Check(); err != nil {
		panic(err)
	}
	world.jobs[job.ID] = &job
	world.append(messenger.Submitted{Job: job})
}

func (world *world) cancel(id identifier.Job) {
	world.append(messenger.Withdrawn{Job: id})
	world.cancelled[id] = world.now
}

// state returns the newest recorded state of a job.
func (world *world) state(id identifier.Job) specifier.State {
	state := specifier.Queued
	for _, entry := range world.journal {
		if progressed, ok := entry.(messenger.Progressed); ok && progressed.Job == id {
			state = progressed.Progress.State
		}
	}
	return state
}

func (world *world) broken(format string, arguments ...any) {
	world.failures = append(world.failures, world.now.Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// trace returns the decisions about a job.
func (world *world) trace(job string) string {
	var kept []string
	for _, line := range world.lines {
		if strings.Contains(line, job) || strings.Contains(line, "holder-") || strings.Contains(line, "minion-") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

func (world *world) truth(task specifier.Task) *truth {
	known, ok := world.tasks[task]
	if !ok {
		known = &truth{running: make(map[*fakeRun]bool)}
		world.tasks[task] = known
	}
	return known
}
