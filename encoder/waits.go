package encoder

import (
	"math"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// maxWait is the longest wait in a renewal. Longer ones are published as this one.
const maxWait = time.Hour

func marshalWaits(waits *messenger.QueueWaits) ([]byte, error) {
	wire := ClaimWaits{ComputedAt: waits.ComputedAt.UnixNano()}
	for _, wait := range waits.Queues {
		if len(wire.Queues) == messenger.MaxQueueWaits {
			break
		}
		if len(wait.Queue) == 0 || len(wait.Queue) > messenger.MaxQueueNameBytes {
			continue
		}
		wire.Queues = append(wire.Queues, ClaimQueueWait{
			Queue: string(wait.Queue), TimelyWait: min(wait.TimelyWait, maxWait).Milliseconds(), Wait: min(wait.Wait, maxWait).Milliseconds(),
			RunTime: min(wait.RunTime, maxWait).Milliseconds(), Tasks: wait.Tasks,
			MilliCPU: wait.LargestMinion.MilliCPU, MemoryMB: wait.LargestMinion.MemoryMB, Accelerators: wait.LargestMinion.Accelerators,
		})
	}
	return wire.MarshalMsg(nil)
}

// unmarshalWaits returns the waits of a claim, nil if it has none or invalid ones.
func unmarshalWaits(body []byte) *messenger.QueueWaits {
	var wire ClaimWaits
	if len(body) == 0 || unmarshal(body, &wire) != nil || wire.ComputedAt <= 0 || len(wire.Queues) > messenger.MaxQueueWaits {
		return nil
	}
	waits := &messenger.QueueWaits{ComputedAt: time.Unix(0, wire.ComputedAt)}
	for index := range wire.Queues {
		queue := &wire.Queues[index]
		if !queue.isValid() {
			return nil
		}
		waits.Queues = append(waits.Queues, messenger.QueueWait{
			Queue:      identifier.Queue(queue.Queue),
			TimelyWait: time.Duration(queue.TimelyWait) * time.Millisecond, Wait: time.Duration(queue.Wait) * time.Millisecond,
			RunTime: time.Duration(queue.RunTime) * time.Millisecond, Tasks: queue.Tasks,
			LargestMinion: specifier.Resources{MilliCPU: queue.MilliCPU, MemoryMB: queue.MemoryMB, Accelerators: queue.Accelerators},
		})
	}
	return waits
}

func (queue *ClaimQueueWait) isValid() bool {
	if len(queue.Queue) == 0 || len(queue.Queue) > messenger.MaxQueueNameBytes {
		return false
	}
	for _, milliseconds := range [...]int64{queue.TimelyWait, queue.Wait, queue.RunTime} {
		if milliseconds < 0 || milliseconds > maxWait.Milliseconds() {
			return false
		}
	}
	for _, amount := range [...]int{queue.Tasks, queue.MilliCPU, queue.MemoryMB, queue.Accelerators} {
		if amount < 0 || amount > math.MaxInt32 {
			return false
		}
	}
	return true
}
