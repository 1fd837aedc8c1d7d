package controller

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the instance booted, including the time it was
// suspended. It returns 0 if the system call fails.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // suspensions of the whole instance then go undetected
	}
	return time.Duration(t.Nano())
}
