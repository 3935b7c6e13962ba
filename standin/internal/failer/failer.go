// Package failer stores the faults that a test has injected into a stand-in.
//
// Invariants: a fault is in force from the moment at which the call that set it
// is answered; a crash ends the process at once, without unwinding, because a
// real engine that a request crashes does not clean up either.
package failer

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
)

// Faults are the injected faults of a stand-in. The zero value injects none.
type Faults struct {
	Slow    float64 `json:"slow"`     // factor on the time of every step; 0 means 1
	Hang    bool    `json:"hang"`     // no request makes progress
	Refuse  bool    `json:"refuse"`   // every request is refused as not started
	CrashOn string  `json:"crash_on"` // running a request whose body contains this text ends the process
	Silent  bool    `json:"silent"`   // announcements stop, while requests are still served
	Mute    bool    `json:"mute"`     // plain calls are executed, then the connection is dropped without an answer
	Backoff float64 `json:"backoff"`  // Retry-After of refusals, in seconds
	Leaving bool    `json:"leaving"`  // answers carry X-Leaving, while announcements do not
}

// SetRetryAfter adds the backoff to the header of a refusal, if one is set.
func (f Faults) SetRetryAfter(header http.Header) {
	if f.Backoff > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.Backoff, 'f', -1, 64))
	}
}

// Failer holds the faults in force; the parts of a stand-in share it.
type Failer struct {
	// Exit ends the process without cleaning up.
	Exit func()

	lock     sync.Mutex
	faults   Faults
	onChange func(Faults)
}

// OnChange registers the function that Set calls with every new set of faults.
func (f *Failer) OnChange(changed func(Faults)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.onChange = changed
}

// Set replaces the faults and notifies the function of OnChange.
func (f *Failer) Set(faults Faults) {
	f.lock.Lock()
	f.faults = faults
	changed := f.onChange
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

// Crashes reports whether running a request with this body ends the process.
func (f *Failer) Crashes(body []byte) bool {
	mark := f.Faults().CrashOn
	return mark != "" && bytes.Contains(body, []byte(mark))
}
