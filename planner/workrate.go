package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// rateTime is the time over which the means of submitted and started work are taken. It covers
// some bursts.
const rateTime = 20 * time.Second

// queueClass is the queues of one service with one priority, among which the order of steps does
// not depend on the queue.
type queueClass struct {
	service  identifier.Service
	priority int
}

func classOf(queue *specifier.Queue) queueClass { return queueClass{queue.Service, queue.Priority} }

func compareClasses(one, other queueClass) int {
	return cmp.Or(cmp.Compare(one.service, other.service), cmp.Compare(one.priority, other.priority))
}

// workRates are means of work per second.
type workRates map[queueClass]*workRate

// workRate is a mean that decays with rateTime.
type workRate struct {
	sum       resourceTime
	updatedAt time.Time
}

func (rate *workRate) decay(now time.Time) {
	if !rate.updatedAt.IsZero() {
		rate.sum.scale(math.Exp(-now.Sub(rate.updatedAt).Seconds() / rateTime.Seconds()))
	}
	rate.updatedAt = now
}

// add adds the work of a job.
func (rates workRates) add(now time.Time, class queueClass, job *specifier.Job) {
	rate := rates[class]
	if rate == nil {
		rate = &workRate{}
		rates[class] = rate
	}
	rate.decay(now)
	for index := range job.Steps {
		rate.sum.addTasks(&job.Steps[index], job.Steps[index].Tasks)
	}
}

// of returns the work per second of a class.
func (rates workRates) of(now time.Time, class queueClass) resourceTime {
	rate := rates[class]
	if rate == nil {
		return resourceTime{}
	}
	rate.decay(now)
	mean := rate.sum
	mean.scale(1 / rateTime.Seconds())
	return mean
}

// above returns the work per second of the classes of the service with a higher priority.
func (rates workRates) above(now time.Time, class queueClass) resourceTime {
	var total resourceTime
	for _, other := range slices.SortedFunc(maps.Keys(rates), compareClasses) {
		if other.service == class.service && other.priority < class.priority {
			total.add(rates.of(now, other))
		}
	}
	return total
}

// resourceTime is an amount of resources multiplied by the seconds for which they are needed.
type resourceTime struct {
	milliCPU, memoryMB, accelerators float64
}

func (resourceTime *resourceTime) add(other resourceTime) {
	resourceTime.milliCPU += other.milliCPU
	resourceTime.memoryMB += other.memoryMB
	resourceTime.accelerators += other.accelerators
}

// addTasks adds the declared work of some tasks of a step.
func (resourceTime *resourceTime) addTasks(spec *specifier.Step, tasks int) {
	request := requiredCapacity(spec)
	seconds := spec.EstimatedRunTime.Seconds() * float64(tasks)
	resourceTime.milliCPU += seconds * float64(request.MilliCPU)
	resourceTime.memoryMB += seconds * float64(request.MemoryMB)
	resourceTime.accelerators += seconds * float64(request.Accelerators)
}

// scale multiplies the amount by a factor.
func (resourceTime *resourceTime) scale(factor float64) {
	resourceTime.milliCPU *= factor
	resourceTime.memoryMB *= factor
	resourceTime.accelerators *= factor
}

// weight returns the amount as one number.
func (resourceTime *resourceTime) weight() float64 {
	return resourceTime.milliCPU + specifier.AcceleratorWeight*resourceTime.accelerators
}

// over returns how long the capacity that other work leaves needs for the amount, by the scarcest
// resource. The other work is an amount per second.
func (resourceTime *resourceTime) over(capacity specifier.Resources, other resourceTime) time.Duration {
	seconds := 0.0
	for _, amounts := range [...][3]float64{
		{resourceTime.milliCPU, float64(capacity.MilliCPU), other.milliCPU},
		{resourceTime.memoryMB, float64(capacity.MemoryMB), other.memoryMB},
		{resourceTime.accelerators, float64(capacity.Accelerators), other.accelerators},
	} {
		if work, total, taken := amounts[0], amounts[1], amounts[2]; total > 0 {
			seconds = max(seconds, work/max(total-taken, minLeftShare*total))
		}
	}
	return secondsOf(seconds)
}

// atRate returns how long the amount needs at a rate of started work of which new work takes a part.
func (resourceTime *resourceTime) atRate(started, taken resourceTime) time.Duration {
	rate := started.weight()
	return secondsOf(resourceTime.weight() / max(rate-taken.weight(), minLeftShare*rate))
}

// maxComputedWait bounds the waits, also of a class whose steps do not start at all.
const maxComputedWait = 2 * time.Minute

func secondsOf(seconds float64) time.Duration {
	if !(seconds < maxComputedWait.Seconds()) {
		return maxComputedWait
	}
	return time.Duration(seconds * float64(time.Second))
}
