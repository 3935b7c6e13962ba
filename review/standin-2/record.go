package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2 // the case could not run
)

// recorder writes the record of a case: what was sent, answered and run, with the seconds since its start.
type recorder struct {
	mutex sync.Mutex
	out   io.WriteCloser
	begun time.Time
}

// newRecorder creates the record file.
func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusFailed)
	}
	return &recorder{out: file, begun: time.Now()}
}

// notef writes one line.
func (r *recorder) notef(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
	_, _ = io.WriteString(r.out, line)
	fmt.Print(line)
}
