// Package isolator identifies requests that crash endpoints, so that they can be
// quarantined.
//
// When an endpoint crashes, it is not known which of the requests running there
// caused the crash, so all of them become suspects. A suspect is retried in a
// trial, at an endpoint that runs no other suspect: if that endpoint crashes as
// well, the suspect is quarantined; if the answer is complete, the suspicion is
// cleared. A request is identified by its fingerprint, the digest of its
// workspace, service and body, so it is recognised when its caller sends it
// again.
//
// Number of endpoints that one fingerprint can crash: those that run a copy of
// it when the first crash is detected, plus one for the trial, at each router
// that detects the crashes itself before the quarantine has reached it. A caller
// that resends the request only after an answer crashes two endpoints of the
// fleet, plus one for each time that the router loses its state between the two
// crashes.
//
// Known limitation: a suspect whose trial runs on an endpoint that crashes for
// another reason is quarantined although it is harmless, until the quarantine
// expires.
//
// An Isolator is a pure state machine: it does no I/O and is given the time.
// Invariants: at most one copy of a suspect is on trial at a time at a router; a
// complete answer clears a suspicion; suspects and runs are bounded in number
// and expire.
package isolator

import "time"

// Defaults and bounds.
const (
	// DefaultExpiry is the default duration of a suspicion or a quarantine.
	DefaultExpiry = 10 * time.Minute
	// MaxSuspects bounds the fingerprints that are kept; at about 100 bytes
	// each they take 400 KiB. The oldest is evicted first.
	MaxSuspects = 4096
	// abandonedRetention is how long an abandoned run still counts as running:
	// a request can crash its endpoint shortly after its caller has
	// disconnected.
	abandonedRetention = 5 * time.Second
	// maxAbandoned bounds the retained abandoned runs of an endpoint, however many
	// run there. A further one is not retained.
	maxAbandoned = 64
)

// Endpoint identifies one incarnation of an endpoint.
type Endpoint struct {
	ID          string
	Incarnation uint64
}

// Verdict states whether and how a request may run.
type Verdict uint8

// The verdicts.
const (
	Unrestricted Verdict = iota // the request is no suspect and may run at any endpoint
	Trial                       // the request is a suspect and must run where no other suspect runs
	Hold                        // the request must wait until the trial of another copy has ended
	Quarantined                 // the request must not run
)

// Outcome states how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Completed  Outcome = iota // the complete answer was received
	Abandoned                 // the run was cancelled or timed out; it may still be running
	Crashed                   // the connection broke during the run
	NotStarted                // the request was never started at the endpoint
)

// Run is one execution of a request at an endpoint.
type Run struct {
	digest       uint64
	endpoint     Endpoint
	trial        bool
	crashCounted bool      // the endpoint's crash has been counted against this run
	abandonedAt  time.Time // zero unless the run was abandoned
}

type suspect struct {
	lastCrash   time.Time
	onTrial     bool // a copy is on trial at this router
	quarantined bool
}

// Isolator tracks the suspects and runs of one router. The zero value is ready
// to use. It is not safe for concurrent use.
type Isolator struct {
	// Expiry is how long a suspicion or quarantine lasts after the last crash;
	// DefaultExpiry if it is not positive.
	Expiry time.Duration

	suspects  map[uint64]*suspect
	runs      map[Endpoint][]*Run
	lastSweep time.Time
}

// Admit returns the verdict on a request. The verdict Trial begins the
// request's trial; the caller must end it by calling End for its run, or Release
// if it is never started.
func (i *Isolator) Admit(now time.Time, digest uint64) Verdict {
	s := i.suspect(now, digest)
	switch {
	case s == nil:
		return Unrestricted
	case s.quarantined:
		return Quarantined
	case s.onTrial:
		return Hold
	default:
		s.onTrial = true
		return Trial
	}
}

// Remaining returns how long the fingerprint remains quarantined, 0 if it is not
// quarantined.
func (i *Isolator) Remaining(now time.Time, digest uint64) time.Duration {
	s := i.suspect(now, digest)
	if s == nil || !s.quarantined {
		return 0
	}
	return i.expiry() - now.Sub(s.lastCrash)
}

// Release ends a trial whose request was never started.
func (i *Isolator) Release(digest uint64) {
	if s, found := i.suspects[digest]; found {
		s.onTrial = false
	}
}

// Start records that a request runs at an endpoint. The flag trial is set for
// requests that were admitted with the verdict Trial.
func (i *Isolator) Start(now time.Time, digest uint64, endpoint Endpoint, trial bool) *Run {
	if i.runs == nil {
		i.runs = make(map[Endpoint][]*Run)
	}
	i.sweep(now)
	run := &Run{digest: digest, endpoint: endpoint, trial: trial}
	i.runs[endpoint] = append(i.currentRuns(now, endpoint), run)
	return run
}

// End records the outcome of a run and returns the fingerprints that this router
// newly quarantines, which are to be quarantined by all routers.
func (i *Isolator) End(now time.Time, run *Run, outcome Outcome) []uint64 {
	var quarantined []uint64
	if outcome == Crashed {
		quarantined = i.suspectRuns(now, run.endpoint)
	}
	if run.trial {
		i.Release(run.digest)
	}
	if outcome == Completed {
		i.clearSuspicion(run)
	}
	i.remove(now, run, outcome)
	return quarantined
}

// Runs returns the number of tracked runs, including retained abandoned runs.
func (i *Isolator) Runs() int {
	count := 0
	for _, runs := range i.runs {
		count += len(runs)
	}
	return count
}

// Suspects returns the number of suspect and quarantined fingerprints.
func (i *Isolator) Suspects() int {
	return len(i.suspects)
}

// suspectRuns counts the endpoint's crash against every run there, at most once
// per run, and returns the fingerprints that are newly quarantined.
func (i *Isolator) suspectRuns(now time.Time, endpoint Endpoint) []uint64 {
	var quarantined []uint64
	for _, run := range i.currentRuns(now, endpoint) {
		if run.crashCounted {
			continue
		}
		run.crashCounted = true
		if i.countCrash(now, run) {
			quarantined = append(quarantined, run.digest)
		}
	}
	return quarantined
}

// countCrash counts a crash against a run and reports whether its fingerprint is
// newly quarantined. Only a crash during a trial proves the cause: copies that
// were sent before the first crash was detected may have run beside other
// suspects.
func (i *Isolator) countCrash(now time.Time, run *Run) bool {
	s := i.suspect(now, run.digest)
	if s == nil {
		i.addSuspect(now, run.digest)
		return false
	}
	s.lastCrash = now
	if s.quarantined || !run.trial {
		return false
	}
	s.quarantined = true
	return true
}

// clearSuspicion removes the suspicion against a run's fingerprint after a
// complete answer. A copy that was sent before the crash does not clear it while
// a trial is in progress.
func (i *Isolator) clearSuspicion(run *Run) {
	s, found := i.suspects[run.digest]
	if found && !s.quarantined && (run.trial || !s.onTrial) {
		delete(i.suspects, run.digest)
	}
}

// remove stops tracking a run. An abandoned run is retained for
// abandonedRetention, because it may still crash its endpoint.
func (i *Isolator) remove(now time.Time, run *Run, outcome Outcome) {
	if outcome == Abandoned && countAbandoned(i.currentRuns(now, run.endpoint)) < maxAbandoned {
		run.abandonedAt = now
		return
	}
	kept := i.runs[run.endpoint][:0]
	for _, other := range i.runs[run.endpoint] {
		if other != run {
			kept = append(kept, other)
		}
	}
	i.setRuns(run.endpoint, kept)
}

// countAbandoned returns the number of abandoned runs.
func countAbandoned(runs []*Run) int {
	count := 0
	for _, run := range runs {
		if !run.abandonedAt.IsZero() {
			count++
		}
	}
	return count
}

// currentRuns drops the endpoint's abandoned runs whose retention has expired
// and returns the others.
func (i *Isolator) currentRuns(now time.Time, endpoint Endpoint) []*Run {
	kept := i.runs[endpoint][:0]
	for _, run := range i.runs[endpoint] {
		if run.abandonedAt.IsZero() || now.Sub(run.abandonedAt) < abandonedRetention {
			kept = append(kept, run)
		}
	}
	i.setRuns(endpoint, kept)
	return kept
}

// sweep drops expired abandoned runs of all endpoints, at most once per
// abandonedRetention. Without it, runs at endpoints that are never used again
// would be retained forever.
func (i *Isolator) sweep(now time.Time) {
	if now.Sub(i.lastSweep) < abandonedRetention {
		return
	}
	i.lastSweep = now
	for endpoint := range i.runs {
		i.currentRuns(now, endpoint)
	}
}

func (i *Isolator) setRuns(endpoint Endpoint, runs []*Run) {
	if len(runs) == 0 {
		delete(i.runs, endpoint)
		return
	}
	i.runs[endpoint] = runs
}

// suspect returns the entry of a fingerprint, or nil if there is none. An expired
// entry is deleted, unless a copy is on trial.
func (i *Isolator) suspect(now time.Time, digest uint64) *suspect {
	s, found := i.suspects[digest]
	if !found {
		return nil
	}
	if now.Sub(s.lastCrash) >= i.expiry() && !s.onTrial {
		delete(i.suspects, digest)
		return nil
	}
	return s
}

func (i *Isolator) addSuspect(now time.Time, digest uint64) {
	if i.suspects == nil {
		i.suspects = make(map[uint64]*suspect)
	}
	if len(i.suspects) >= MaxSuspects {
		i.evictOldest(now)
	}
	i.suspects[digest] = &suspect{lastCrash: now}
}

func (i *Isolator) evictOldest(now time.Time) {
	var oldest uint64
	at := now.Add(time.Second)
	for digest, s := range i.suspects {
		if s.lastCrash.Before(at) {
			oldest, at = digest, s.lastCrash
		}
	}
	delete(i.suspects, oldest)
}

func (i *Isolator) expiry() time.Duration {
	if i.Expiry <= 0 {
		return DefaultExpiry
	}
	return i.Expiry
}
