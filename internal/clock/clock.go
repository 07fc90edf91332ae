// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package clock provides a monotonic clock that keeps running while the VM is suspended. Use it for everything that expires: leases,
// sessions, claims, data read from the store, and callers' deadlines.
//
// A VM may be suspended for seconds. CLOCK_MONOTONIC, which package time and its timers use, stops during that time, so a resumed process
// would treat expired leases as valid. This package reads CLOCK_BOOTTIME instead. It never goes backwards and is not affected by changes
// of the wall clock.
//
// The returned times are comparable only within one process, and not with those of time.Now. Timers fire late after a suspension, so
// whatever runs first after a resume has to read this clock before it acts. Plain measurements of elapsed time use package time.
//
// The clock is read through the C library, which uses the vDSO and needs no system call, so that a reading costs about as much as
// time.Now.
package clock

// #include <time.h>
import "C"

import "time"

// origin is the wall-clock time at process start, with the monotonic reading stripped. started is the boottime clock at the same moment.
var (
	origin  = time.Now().Round(0)
	started = boottime()
)

// boottime returns the time since the kernel booted, including time in which the VM was suspended.
func boottime() time.Duration {
	var now C.struct_timespec
	// The call fails only for clocks that the kernel does not support; every kernel in use supports CLOCK_BOOTTIME.
	C.clock_gettime(C.CLOCK_BOOTTIME, &now)
	return time.Duration(now.tv_sec)*time.Second + time.Duration(now.tv_nsec)
}

// Now returns the current time on the boottime clock.
func Now() time.Time {
	return origin.Add(boottime() - started)
}

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Until returns the duration until t, which must come from Now.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}
