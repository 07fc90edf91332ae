// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package clock reads the time by which rights end: leases, sessions, claims, what the store said, and callers' deadlines.
//
// A VM may be suspended for seconds. The steady clock of package time stands still meanwhile, as do its timers, so a process that
// wakes would believe in rights that have ended. This clock goes on: it is the kernel's CLOCK_BOOTTIME. It never goes back, and
// steps of the time of day do not change it.
//
// The times are comparable within one process only, and not with those of time.Now. Timers are late after a suspension; what is
// handled first then has to read this clock before it acts. Times that only measure how long something took stay with package time.
//
// The clock is read through the C library, which asks the kernel without a system call: a reading takes about as long as
// one of time.Now.
package clock

// #include <time.h>
import "C"

import "time"

// origin is when the process started, by the time of day, without a reading of the steady clock. started is the same moment on
// this clock.
var (
	origin  = time.Now().Round(0)
	started = boottime()
)

// boottime returns the time since the kernel started, with the time in which the VM was suspended.
func boottime() time.Duration {
	var now C.struct_timespec
	// It fails only for a clock that the kernel does not know, and this one is older than any kernel in use.
	C.clock_gettime(C.CLOCK_BOOTTIME, &now)
	return time.Duration(now.tv_sec)*time.Second + time.Duration(now.tv_nsec)
}

// Now returns the time.
func Now() time.Time {
	return origin.Add(boottime() - started)
}

// Since returns the time since t.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Until returns the time until t.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}
