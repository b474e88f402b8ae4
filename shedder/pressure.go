package shedder

import "time"

// pressure is whether clients are turned away for want of a resource.
type pressure struct {
	isHigh, isLogged  bool
	latest, nextCheck time.Time
}

// begin records that a client waits or is turned away.
func (pressure *pressure) begin(now time.Time) {
	pressure.isHigh, pressure.latest, pressure.nextCheck = true, now, now.Add(calmAfter)
}

// updatePressures reports each pressure that has begun or ended.
func (shedder *Shedder) updatePressures(now time.Time) {
	for index := range shedder.pressures {
		pressure, resource := &shedder.pressures[index], Resource(index)
		used, limit := shedder.used(resource)
		if pressure.isHigh && !now.Before(pressure.nextCheck) {
			pressure.nextCheck = now.Add(calmAfter)
			pressure.isHigh = now.Sub(pressure.latest) < calmAfter || used*calmDivisor > limit*calmNumerator
		}
		if pressure.isHigh != pressure.isLogged {
			pressure.isLogged = pressure.isHigh
			shedder.actions = append(shedder.actions, PressureChanged{resource, pressure.isHigh, used, limit})
		}
	}
}

func (shedder *Shedder) used(resource Resource) (used, limit int64) {
	if resource == Memory {
		return shedder.held, shedder.limits.Memory
	}
	return int64(len(shedder.connections)), int64(shedder.limits.Connections)
}

// Usage is what clients use at present.
type Usage struct {
	Limits
	Held                               int64 // bytes
	Open, Closing, Waiting             int
	MemoryPressure, ConnectionPressure bool
}

// View returns what clients use at present.
func (shedder *Shedder) View() Usage {
	return Usage{
		Limits: shedder.limits, Held: shedder.held, Open: len(shedder.connections) - shedder.closing, Closing: shedder.closing,
		Waiting: len(shedder.waiting), MemoryPressure: shedder.pressures[Memory].isHigh, ConnectionPressure: shedder.pressures[Connections].isHigh,
	}
}
