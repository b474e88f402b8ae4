package specifier

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Limits of values that come from outside: from minions, the operator, clients and
// the platform. They are far above real values, and low enough that the sums and
// products of a deployment's values do not overflow.
const (
	// MaxMilliCPU, MaxMemoryMB and MaxAccelerators limit the capacity of a minion and
	// the request of a task.
	MaxMilliCPU     = 1 << 30 // thousandths of a core
	MaxMemoryMB     = 1 << 30
	MaxAccelerators = 1 << 20

	// MaxDuration limits run times, timeouts and other durations.
	MaxDuration = 366 * 24 * time.Hour
	// MaxJobTasks limits the tasks of all occurrences of a job together. The holder keeps 64
	// bytes for each task and 344 for each step of each occurrence, see package budgeter.
	MaxJobTasks = 1 << 16
	// MaxScheduleSpan limits the time from the first to the last occurrence of a job.
	MaxScheduleSpan = 100 * MaxDuration
	// MaxBodyBytes limits the body of a request, whatever the configuration allows.
	MaxBodyBytes = 16 << 20

	// MaxClock limits a reading of a minion's steady clock. A clock that counts from
	// 1970 is below it.
	MaxClock = 100 * MaxDuration
	// MaxRunNumber limits the numbers of runs and of ends, so that a next number exists.
	MaxRunNumber = 1 << 62
	// MaxLoad limits the figure that a minion reports of a run's load: milliseconds or
	// thousandths of a core.
	MaxLoad = 1e9
	// MaxIncarnation is the start of the year 2100 in Unix milliseconds. A report of a
	// later start would hide all true reports of the same minion.
	MaxIncarnation identifier.Incarnation = 4_102_444_800_000
	// MaxStretch and MaxAttempts limit the values of a queue. MaxStretch times
	// MaxDuration fits a Duration.
	MaxStretch  = 250
	MaxAttempts = 1 << 20
	MaxPriority = 1 << 20
	// MaxWaveVMs limits the VMs of a maintenance wave.
	MaxWaveVMs = 1 << 16
	// MaxLabels limits the labels of a minion.
	MaxLabels = 64
	// MaxNameBytes limits names of minions, services, zones, racks and labels. It is
	// the longest key of the store.
	MaxNameBytes = 255
)

// Check returns an error with code BadRequest if an amount is negative or above its
// limit.
func (resources Resources) Check() error {
	if !resources.nonNegative() || resources.MilliCPU > MaxMilliCPU || resources.MemoryMB > MaxMemoryMB || resources.Accelerators > MaxAccelerators {
		return classifier.New(classifier.BadRequest, "resources out of range: %d thousandths of a core, %d MB, %d accelerators",
			resources.MilliCPU, resources.MemoryMB, resources.Accelerators)
	}
	return nil
}

// CheckLimits returns an error with code BadRequest if a value of a well-formed job is
// out of range. It applies to new jobs only, so that a job that was accepted under
// other limits stays readable in the journal.
func (job *Job) CheckLimits() error {
	tasks, runTime := 0, time.Duration(0)
	for index := range job.Steps {
		if err := job.Steps[index].checkLimits(); err != nil {
			return classifier.New(classifier.BadRequest, "step %d: %v", index, err)
		}
		tasks += job.Steps[index].Tasks * job.Occurrences()
		runTime += job.Steps[index].EstimatedRunTime
	}
	if tasks > MaxJobTasks {
		return classifier.New(classifier.BadRequest, "the job has %d tasks in all occurrences, at most %d are allowed", tasks, MaxJobTasks)
	}
	if err := CheckDuration("estimated run time of all steps", runTime, MaxDuration); err != nil {
		return err
	}
	return job.Schedule.checkLimits()
}

func (step *Step) checkLimits() error {
	if len(step.DependsOn) > MaxSteps {
		return classifier.New(classifier.BadRequest, "%d dependencies, at most %d are allowed", len(step.DependsOn), MaxSteps)
	}
	for _, err := range []error{
		step.Request.Check(),
		CheckDuration("estimated run time", step.EstimatedRunTime, MaxDuration),
		CheckDuration("latency target", step.LatencyTarget, MaxDuration),
		CheckOptionalName("required label", step.Label),
		CheckOptionalName("data rack", string(step.DataRack)),
		CheckOptionalName("image", step.Image),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func (schedule *Schedule) checkLimits() error {
	if schedule == nil {
		return nil
	}
	if first := schedule.First.UnixMilli(); first < 0 || first > int64(MaxIncarnation) {
		return classifier.New(classifier.BadRequest, "the first occurrence is due %d ms after 1970, 0 to %d are allowed", first, MaxIncarnation)
	}
	return CheckDuration("interval", schedule.Interval, MaxScheduleSpan/time.Duration(schedule.Occurrences))
}

// Check returns an error with code BadRequest if a value of the policy is out of range.
func (policy *Policy) Check() error {
	for index := range policy.Queues {
		if err := policy.Queues[index].check(); err != nil {
			return classifier.New(classifier.BadRequest, "queue %.40q: %v", policy.Queues[index].Name, err)
		}
	}
	for _, workspace := range policy.Workspaces {
		if err := (Resources{Accelerators: workspace.Guaranteed}).Check(); err != nil {
			return classifier.New(classifier.BadRequest, "workspace %.40q: %v", workspace.Name, err)
		}
	}
	return nil
}

func (queue *Queue) check() error {
	if queue.Stretch < 0 || queue.Stretch > MaxStretch || queue.Attempts > MaxAttempts || queue.Priority < 0 || queue.Priority > MaxPriority {
		return classifier.New(classifier.BadRequest, "stretch %g, %d attempts or priority %d out of range", queue.Stretch, queue.Attempts, queue.Priority)
	}
	if err := CheckDuration("timeout", queue.Timeout, MaxDuration); err != nil {
		return err
	}
	if err := CheckDuration("slack", queue.Slack, MaxDuration); err != nil || queue.Advice == nil {
		return err
	}
	if err := CheckDuration("decision time", queue.Advice.DecisionTime, MaxDuration); err != nil {
		return err
	}
	if err := CheckDuration("time per minion", queue.Advice.TimePerMinion, MaxDuration); err != nil {
		return err
	}
	return CheckDuration("ticket validity", queue.Advice.TicketValidity, MaxDuration)
}

// CheckDuration returns an error with code BadRequest if a duration is negative or
// above its limit.
func CheckDuration(name string, value, limit time.Duration) error {
	if value < 0 || value > limit {
		return classifier.New(classifier.BadRequest, "%s %s is not from 0 to %s", name, value, limit)
	}
	return nil
}

// CheckName returns an error with code BadRequest if a name is empty, too long, or
// has bytes that neither a header nor a log line can hold.
func CheckName(kind, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return classifier.New(classifier.BadRequest, "%s has %d bytes, 1 to %d are allowed", kind, len(name), MaxNameBytes)
	}
	if !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl) {
		return classifier.New(classifier.BadRequest, "%s %q is not printable text", kind, name)
	}
	return nil
}

// CheckOptionalName is CheckName for a name that may be empty.
func CheckOptionalName(kind, name string) error {
	if name == "" {
		return nil
	}
	return CheckName(kind, name)
}

// CheckAddress returns an error with code BadRequest if no call can be sent to an
// address.
func CheckAddress(address netip.AddrPort) error {
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return classifier.New(classifier.BadRequest, "%s is not the address of an endpoint", address)
	}
	return nil
}

// CheckLabels returns an error with code BadRequest if there are too many labels, or
// one that is not a name.
func CheckLabels(labels []string) error {
	if len(labels) > MaxLabels {
		return classifier.New(classifier.BadRequest, "%d labels, at most %d are allowed", len(labels), MaxLabels)
	}
	for _, label := range labels {
		if err := CheckOptionalName("label", label); err != nil {
			return err
		}
	}
	return nil
}
