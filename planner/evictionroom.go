package planner

import (
	"time"

	"corianderroad/evictor"
	"corianderroad/specifier"
)

// evictionRoom is the room for a step with the minions and runs that it stands for.
type evictionRoom struct {
	evictor.Room
	minions []*minion
	// runs are those of each victim.
	runs [][]*run
	// indexes are those of the room's minions.
	indexes map[*minion]int
	// gangs are the indexes of the gangs among the victims.
	gangs map[gangRunKey]int
}

func (planner *Planner) newEvictionRoom(now time.Time, request evictionRequest, available []*minion) *evictionRoom {
	step := request.step
	room := &evictionRoom{indexes: make(map[*minion]int, len(available)), gangs: make(map[gangRunKey]int)}
	room.Request, room.Tasks, room.MustStart = requiredCapacity(step.spec), request.taskCount, request.guaranteed
	for _, minion := range available {
		if limit := minion.taskLimit(step); limit > 0 && step.canRunOn(minion) {
			room.indexes[minion] = len(room.minions)
			room.minions = append(room.minions, minion)
			room.Minions = append(room.Minions, evictor.Minion{Free: planner.reservations.freeCapacity(step, minion), MaxTasks: limit})
		}
	}
	for index, minion := range room.minions {
		var ending specifier.Resources
		for _, run := range minion.sortedRuns() {
			switch {
			case run.state != stopping:
				if planner.isPreemptible(run) && run.startAttempts <= 1 { // the room of an unanswered start comes free late
					room.addVictim(now, run)
				}
			case now.Sub(run.account.StoppedAt) < planner.bounds.StopTimeout+reservationSlack:
				ending = ending.Add(requiredCapacity(run.step.spec))
			}
		}
		if ending != (specifier.Resources{}) {
			room.add(nil, evictor.Victim{EndsAt: now, Shares: []evictor.Share{{Minion: index, Amount: ending}}})
		}
	}
	return room
}

// addVictim adds a run, or the gang of a run, unless the room has it.
func (room *evictionRoom) addVictim(now time.Time, member *run) {
	if member.step.spec.Gang {
		key := gangRunKey{member.id.Job, member.id.Occurrence, member.id.Step, member.number}
		if _, known := room.gangs[key]; known {
			return
		}
		room.gangs[key] = len(room.Victims)
	}
	runs := runsEndingWith(member)
	room.add(runs, evictor.Victim{Loss: lostWorkOf(now, runs).Loss(), EndsAt: expectedEndOf(runs), Shares: room.sharesOf(runs)})
}

func (room *evictionRoom) add(runs []*run, victim evictor.Victim) {
	room.runs = append(room.runs, runs)
	room.Victims = append(room.Victims, victim)
}

// sharesOf returns what runs occupy on the minions of the room.
func (room *evictionRoom) sharesOf(runs []*run) []evictor.Share {
	shares := make([]evictor.Share, 0, len(runs))
	for _, run := range runs {
		index, inRoom := room.indexes[run.minion]
		if !inRoom {
			continue
		}
		shares = addShare(shares, index, requiredCapacity(run.step.spec))
	}
	return shares
}

func addShare(shares []evictor.Share, minion int, amount specifier.Resources) []evictor.Share {
	for index := range shares {
		if shares[index].Minion == minion {
			shares[index].Amount = shares[index].Amount.Add(amount)
			return shares
		}
	}
	return append(shares, evictor.Share{Minion: minion, Amount: amount})
}
