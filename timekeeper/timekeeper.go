// Package timekeeper provides the clock that all parts of a node share.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Timekeeper is a clock that starts at the wall time of its creation and advances
// with the boot clock. The boot clock continues while the VM is suspended and
// ignores steps of the wall clock, so that differences of times are ages.
// Timekeeper is safe for concurrent use.
type Timekeeper struct {
	startWall time.Time
	startBoot time.Duration
}

// New returns a Timekeeper that starts now. It returns an error if the boot
// clock can't be read.
func New() (*Timekeeper, error) {
	boot, err := bootTime()
	if err != nil {
		return nil, err
	}
	return &Timekeeper{startWall: time.Now().Round(0), startBoot: boot}, nil
}

// Now returns the current time, without a monotonic clock reading.
func (timekeeper *Timekeeper) Now() time.Time {
	boot, err := bootTime()
	if err != nil {
		// New has read this clock before, so reading it can't fail now.
		panic(err)
	}
	return timekeeper.startWall.Add(boot - timekeeper.startBoot)
}

func bootTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
