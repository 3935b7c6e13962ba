package starter

import "runtime/debug"

// memoryLimitRatio is the fraction of an instance's memory that is set as the
// runtime's soft memory limit, which covers the heap and the stacks. The rest is
// headroom for kernel buffers, the program's code and bursts.
const memoryLimitRatio = 0.7

// LimitMemory sets the runtime's soft memory limit according to the instance's
// memory in MiB; 0 sets no limit. Without a limit, the heap grows to twice the
// live heap before it is collected, so a process that uses half of its instance's
// memory is killed for lack of memory.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(megabytes<<20)))
	}
}
