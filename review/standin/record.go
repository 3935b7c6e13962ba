package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a run: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.addAt(time.Now(), format, values...)
}

func (r *record) addAt(at time.Time, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// conclude writes a line to the record and to the standard output.
func (r *record) conclude(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// seconds returns a time as in the record.
func (r *record) seconds(at time.Time) float64 {
	return at.Sub(r.begun).Seconds()
}
