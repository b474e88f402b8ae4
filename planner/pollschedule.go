package planner

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// pollSchedule holds when minions are polled next. An entry is outdated once its minion
// is scheduled for another time, polled or removed.
type pollSchedule struct {
	entries scheduledPolls
}

type scheduledPoll struct {
	at     time.Time
	minion *minion
}

// scheduledPolls implements heap.Interface.
type scheduledPolls []scheduledPoll

func (polls scheduledPolls) Len() int { return len(polls) }

func (polls scheduledPolls) Less(i, j int) bool {
	return cmp.Or(polls[i].at.Compare(polls[j].at), cmp.Compare(polls[i].minion.report.Minion, polls[j].minion.report.Minion)) < 0
}

func (polls scheduledPolls) Swap(i, j int) { polls[i], polls[j] = polls[j], polls[i] }

// Push implements heap.Interface.
func (polls *scheduledPolls) Push(entry any) { *polls = append(*polls, entry.(scheduledPoll)) }

// Pop implements heap.Interface.
func (polls *scheduledPolls) Pop() any {
	last := (*polls)[len(*polls)-1]
	*polls = (*polls)[:len(*polls)-1]
	return last
}

// schedulePoll sets when the minion is polled next.
func (minion *minion) schedulePoll(at time.Time) {
	minion.nextPollAt, minion.isIdlePoll = at, false
	heap.Push(&minion.polls.entries, scheduledPoll{at, minion})
}

// isCurrent reports whether the entry still holds.
func (planner *Planner) isCurrent(entry scheduledPoll) bool {
	minion := entry.minion
	return !minion.polling && minion.nextPollAt.Equal(entry.at) && planner.minions[minion.report.Minion] == minion
}

// nextPoll returns the next entry that holds, and removes those before it.
func (planner *Planner) nextPoll() (scheduledPoll, bool) {
	entries := &planner.polls.entries
	for len(*entries) > 0 && !planner.isCurrent((*entries)[0]) {
		heap.Pop(entries)
	}
	if len(*entries) == 0 {
		return scheduledPoll{}, false
	}
	return (*entries)[0], true
}

// sendDuePolls sends the polls that are due.
func (planner *Planner) sendDuePolls(now time.Time) {
	for {
		next, ok := planner.nextPoll()
		if !ok || now.Before(next.at) {
			return
		}
		planner.pollRuns(now, next.minion) // the entry is outdated from here on
	}
}

// silentMinions are the minions whose newest order brought no answer, in the order of
// their names.
type silentMinions []*minion

func compareNames(one, other *minion) int { return cmp.Compare(one.report.Minion, other.report.Minion) }

func (silentMinions *silentMinions) add(added *minion) {
	if index, found := slices.BinarySearchFunc(*silentMinions, added, compareNames); !found {
		*silentMinions = slices.Insert(*silentMinions, index, added)
	}
}

func (silentMinions *silentMinions) remove(removed *minion) {
	if index, found := slices.BinarySearchFunc(*silentMinions, removed, compareNames); found {
		*silentMinions = slices.Delete(*silentMinions, index, index+1)
	}
}
