package director

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used since its start, 0 if it is
// unknown. Together with the traffic counters it distinguishes a router with too much work from one
// that is not scheduled.
func (d *Director) processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		d.log.Debug().Err(err).Msg("processor time could not be read; it counts as 0")
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
