// Package isolator finds the requests that crash endpoints.
//
// When an endpoint crashes, nobody can tell which of the requests that ran
// there did it, so that all of them become suspects. A suspect is tried again
// alone among suspects: if the endpoint crashes once more it was the suspect,
// which is quarantined; if the answer is whole it was not. A request is known
// by its fingerprint, the digest of its workspace, service and body, so that it
// is recognised when its caller sends it again.
//
// What one fingerprint can cost: the endpoints that run a copy of it when the
// first crash is noticed, plus one for the trial, at each router that learns of
// it by itself before the quarantine has reached it. A caller that sends it
// again only after an answer costs the fleet two endpoints, and one more for
// each time that the router forgets everything between the two crashes.
//
// Known weakness: a suspect whose trial runs on an endpoint that crashes for
// another reason is quarantined though innocent, until it is forgiven.
//
// An Isolator is a pure state machine. Invariants: one copy of a suspect is on
// trial at a time at a router; a whole answer clears a fingerprint; suspects
// and runs are bounded in number and forgiven after a time.
package isolator

import "time"

// Defaults and bounds.
const (
	// DefaultForgive is how long a suspicion or a quarantine lasts.
	DefaultForgive = 10 * time.Minute
	// MaxSuspects bounds the fingerprints that are remembered; at about 100
	// bytes each they take 400 KiB. The oldest is forgotten first.
	MaxSuspects = 4096
	// linger is how long a run that was given up still counts as running: an
	// endpoint may crash from a request whose caller has just gone.
	linger = 5 * time.Second
	// maxLingering bounds the given up runs that are remembered for an endpoint.
	maxLingering = 64
)

// Endpoint is one life of an endpoint.
type Endpoint struct {
	ID          string
	Incarnation uint64
}

// Verdict says how a request may run.
type Verdict uint8

// The verdicts.
const (
	Free        Verdict = iota // like any other
	Alone                      // on trial: where no other suspect runs
	Hold                       // after the trial of another copy has ended
	Quarantined                // not at all
)

// Ending says how a run ended.
type Ending uint8

// The endings of a run.
const (
	Whole   Ending = iota // with its whole answer
	GivenUp               // cancelled, or timed out: it may still run
	Crashed               // the connection broke while it ran
	Unrun                 // it was never started
)

// Run is one request that runs at an endpoint.
type Run struct {
	digest   uint64
	endpoint Endpoint
	trial    bool
	counted  bool      // the endpoint's crash was counted against it
	ended    time.Time // when it was given up, zero while it runs
}

type suspect struct {
	at     time.Time // of the last crash
	trial  bool      // a copy is on trial
	guilty bool      // quarantined
}

// Isolator keeps the suspects of one router. The zero value is usable.
type Isolator struct {
	// Forgive is how long a suspicion or quarantine lasts; DefaultForgive if 0.
	Forgive time.Duration

	suspects map[uint64]*suspect
	runs     map[Endpoint][]*Run
	swept    time.Time
}

// Admit says how a request may run. Alone begins its trial, which ends with
// the End of its run, or with Release if it is never started.
func (i *Isolator) Admit(now time.Time, digest uint64) Verdict {
	s := i.suspect(now, digest)
	switch {
	case s == nil:
		return Free
	case s.guilty:
		return Quarantined
	case s.trial:
		return Hold
	default:
		s.trial = true
		return Alone
	}
}

// Left returns how long a quarantined fingerprint stays so.
func (i *Isolator) Left(now time.Time, digest uint64) time.Duration {
	s := i.suspect(now, digest)
	if s == nil || !s.guilty {
		return 0
	}
	return i.forgive() - now.Sub(s.at)
}

// Release ends a trial that did not take place.
func (i *Isolator) Release(digest uint64) {
	if s, found := i.suspects[digest]; found {
		s.trial = false
	}
}

// Start notes that a request runs at an endpoint. Trial is true for one that
// was admitted Alone.
func (i *Isolator) Start(now time.Time, digest uint64, endpoint Endpoint, trial bool) *Run {
	if i.runs == nil {
		i.runs = make(map[Endpoint][]*Run)
	}
	i.sweep(now)
	run := &Run{digest: digest, endpoint: endpoint, trial: trial}
	i.runs[endpoint] = append(i.live(now, endpoint), run)
	return run
}

// End notes how a run ended and returns the fingerprints that are to be
// quarantined everywhere.
func (i *Isolator) End(now time.Time, run *Run, ending Ending) []uint64 {
	var guilty []uint64
	if ending == Crashed {
		guilty = i.crash(now, run.endpoint)
	}
	if run.trial {
		i.Release(run.digest)
	}
	if ending == Whole {
		i.clear(run)
	}
	i.remove(now, run, ending)
	return guilty
}

// Runs returns how many runs are remembered, those that linger included.
func (i *Isolator) Runs() int {
	count := 0
	for _, runs := range i.runs {
		count += len(runs)
	}
	return count
}

// Suspects returns how many fingerprints are remembered.
func (i *Isolator) Suspects() int {
	return len(i.suspects)
}

// crash makes everything that runs at the endpoint a suspect, once.
func (i *Isolator) crash(now time.Time, endpoint Endpoint) []uint64 {
	var guilty []uint64
	for _, run := range i.live(now, endpoint) {
		if run.counted {
			continue
		}
		run.counted = true
		if i.accuse(now, run) {
			guilty = append(guilty, run.digest)
		}
	}
	return guilty
}

// accuse counts a crash against a run and tells whether its guilt is proved by
// it. Copies that were sent before the first crash was known prove nothing: they
// did not run alone.
func (i *Isolator) accuse(now time.Time, run *Run) bool {
	s := i.suspect(now, run.digest)
	if s == nil {
		i.remember(now, run.digest)
		return false
	}
	s.at = now
	if s.guilty || !run.trial {
		return false
	}
	s.guilty = true
	return true
}

// clear forgets a suspicion after a whole answer. A copy that was sent before
// the crash clears nothing while the trial lasts.
func (i *Isolator) clear(run *Run) {
	s, found := i.suspects[run.digest]
	if found && !s.guilty && (run.trial || !s.trial) {
		delete(i.suspects, run.digest)
	}
}

// remove forgets a run, or lets it linger if it may still crash its endpoint.
func (i *Isolator) remove(now time.Time, run *Run, ending Ending) {
	if ending == GivenUp && len(i.runs[run.endpoint]) <= maxLingering {
		run.ended = now
		return
	}
	kept := i.runs[run.endpoint][:0]
	for _, other := range i.runs[run.endpoint] {
		if other != run {
			kept = append(kept, other)
		}
	}
	i.store(run.endpoint, kept)
}

// live returns the runs of an endpoint without those that have lingered.
func (i *Isolator) live(now time.Time, endpoint Endpoint) []*Run {
	kept := i.runs[endpoint][:0]
	for _, run := range i.runs[endpoint] {
		if run.ended.IsZero() || now.Sub(run.ended) < linger {
			kept = append(kept, run)
		}
	}
	i.store(endpoint, kept)
	return kept
}

// sweep forgets what lingers at endpoints that are never heard of again.
func (i *Isolator) sweep(now time.Time) {
	if now.Sub(i.swept) < linger {
		return
	}
	i.swept = now
	for endpoint := range i.runs {
		i.live(now, endpoint)
	}
}

func (i *Isolator) store(endpoint Endpoint, runs []*Run) {
	if len(runs) == 0 {
		delete(i.runs, endpoint)
		return
	}
	i.runs[endpoint] = runs
}

// suspect returns what is remembered of a fingerprint and has not been forgiven.
func (i *Isolator) suspect(now time.Time, digest uint64) *suspect {
	s, found := i.suspects[digest]
	if !found {
		return nil
	}
	if now.Sub(s.at) >= i.forgive() && !s.trial {
		delete(i.suspects, digest)
		return nil
	}
	return s
}

func (i *Isolator) remember(now time.Time, digest uint64) {
	if i.suspects == nil {
		i.suspects = make(map[uint64]*suspect)
	}
	if len(i.suspects) >= MaxSuspects {
		i.forgetOldest(now)
	}
	i.suspects[digest] = &suspect{at: now}
}

func (i *Isolator) forgetOldest(now time.Time) {
	var oldest uint64
	at := now.Add(time.Second)
	for digest, s := range i.suspects {
		if s.at.Before(at) {
			oldest, at = digest, s.at
		}
	}
	delete(i.suspects, oldest)
}

func (i *Isolator) forgive() time.Duration {
	if i.Forgive <= 0 {
		return DefaultForgive
	}
	return i.Forgive
}
