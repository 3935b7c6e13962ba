// Package failer holds the faults that a test has switched on in a stand-in.
//
// Invariants: a fault is in force from the moment the call that set it was
// answered; a crash ends the process at once, without unwinding, because a
// real engine that a request crashes does not say goodbye either.
package failer

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
)

// Faults is what a stand-in does wrong. The zero value is a stand-in that works.
type Faults struct {
	Slow    float64 `json:"slow"`     // multiplies the time of every step; 0 is 1
	Hang    bool    `json:"hang"`     // nothing makes progress
	Refuse  bool    `json:"refuse"`   // refuses every request as not started
	CrashOn string  `json:"crash_on"` // ends the process when it runs a request whose body contains this
	Silent  bool    `json:"silent"`   // no longer announces, though it goes on serving
	Mute    bool    `json:"mute"`     // runs plain calls and drops the connection in place of the answer
	Backoff float64 `json:"backoff"`  // seconds of backoff that its refusals ask for
	Leaving bool    `json:"leaving"`  // says in its answers that it leaves, though its announcements do not
}

// AskForBackoff adds to a refusal for how long the stand-in wants no more requests.
func (f Faults) AskForBackoff(header http.Header) {
	if f.Backoff > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.Backoff, 'f', -1, 64))
	}
}

// Failer is shared by the parts of a stand-in.
type Failer struct {
	// Exit ends the process.
	Exit func()

	lock    sync.Mutex
	faults  Faults
	changed func(Faults)
}

// OnChange names a function that is called with every new set of faults.
func (f *Failer) OnChange(changed func(Faults)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.changed = changed
}

// Set replaces the faults.
func (f *Failer) Set(faults Faults) {
	f.lock.Lock()
	f.faults = faults
	changed := f.changed
	f.lock.Unlock()
	if changed != nil {
		changed(faults)
	}
}

// Faults returns the faults in force.
func (f *Failer) Faults() Faults {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.faults
}

// Crashes tells whether running this body ends the process.
func (f *Failer) Crashes(body []byte) bool {
	mark := f.Faults().CrashOn
	return mark != "" && bytes.Contains(body, []byte(mark))
}
