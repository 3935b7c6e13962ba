package starter

import "runtime/debug"

// memoryShare is the part of an instance's memory at which the collector works harder. The
// rest is for stacks, buffers of the system and bursts.
const memoryShare = 0.7

// LimitMemory makes the collector keep a process within its instance's memory, in MB; 0 is no
// limit. Without it the heap grows to twice what is in use before it is collected, and a
// process that uses half of its instance's memory is ended for want of it.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(megabytes<<20)))
	}
}
