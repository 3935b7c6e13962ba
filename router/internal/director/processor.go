package director

import (
	"syscall"
	"time"
)

// used returns the processor time that this process has used since its start. Beside what came
// and what became of it, it tells a router that has too much to do from one that is not let run.
func (d *Director) used() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		d.log.Debug().Err(err).Msg("processor time is not known")
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
