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
	// MaxClock limits a reading of a minion's steady clock. A clock that counts from
	// 1970 is below it.
	MaxClock = 100 * MaxDuration
	// MaxIncarnation is the start of the year 2100 in Unix milliseconds. A report of a
	// later start would hide all true reports of the same minion.
	MaxIncarnation identifier.Incarnation = 4_102_444_800_000
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
		if label == "" {
			continue
		}
		if err := CheckName("label", label); err != nil {
			return err
		}
	}
	return nil
}
