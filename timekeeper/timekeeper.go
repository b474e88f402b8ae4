// Package timekeeper provides the one time of a node.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Timekeeper returns the wall time at its start advanced by the boot clock. That
// clock goes on while the VM is suspended and ignores steps of the wall clock,
// so that differences of its times are ages. It is safe for concurrent use.
type Timekeeper struct {
	wall time.Time
	boot time.Duration
}

// New returns a Timekeeper that starts now. It returns an error if the boot
// clock can't be read.
func New() (*Timekeeper, error) {
	boot, err := bootTime()
	if err != nil {
		return nil, err
	}
	return &Timekeeper{wall: time.Now().Round(0), boot: boot}, nil
}

// Now returns the present time, without a monotonic reading.
func (timekeeper *Timekeeper) Now() time.Time {
	boot, err := bootTime()
	if err != nil {
		// New has read this clock, so that it can't fail later.
		panic(err)
	}
	return timekeeper.wall.Add(boot - timekeeper.boot)
}

func bootTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
