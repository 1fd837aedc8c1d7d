// Package clock makes times as the clock of the runtime returns them where the time of day is wrong.
package clock

import (
	"time"
	"unsafe"
)

// nanosecondBits is the number of low bits of the first word of a time.Time with a monotonic clock reading that hold
// nanoseconds. The seconds of the time of day are above them.
const nanosecondBits = 30

// StepTimeOfDay returns t as the runtime's clock would have returned it if the time of day had stepped by a number of
// seconds: the monotonic clock reading stays the same. The time t must have one, as those from time.Now do.
func StepTimeOfDay(t time.Time, seconds int) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << nanosecondBits
	return t
}
