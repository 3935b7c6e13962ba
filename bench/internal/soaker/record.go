package soaker

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a play: what was sent, answered and run, and the faults.
type record struct {
	lock  sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) add(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}
