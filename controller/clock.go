package controller

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot is the time since the instance booted, with the time that it was
// suspended; 0 where the system doesn't tell.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // only pauses that the monotonic clock sees are noticed then
	}
	return time.Duration(t.Nano())
}
