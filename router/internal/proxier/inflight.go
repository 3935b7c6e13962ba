package proxier

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"shallotkeel.example/lib/pacer"
)

// inFlight counts the requests in flight, for a planned stop and for the limit on them.
type inFlight struct {
	closing    atomic.Bool
	refusing   atomic.Pointer[time.Time] // set once requests that are read are refused: the end of the grace time
	mutex      sync.Mutex
	running    int
	admitted   int            // requests in flight that have been admitted
	workspaces map[string]int // those by workspace, of workspaces that have any
	level      pacer.Level    // fair part of the limit for one workspace
}

// enterWorkspace counts a request of a workspace.
func (f *inFlight) enterWorkspace(workspace string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.workspaces == nil {
		f.workspaces = make(map[string]int)
	}
	f.admitted++
	f.workspaces[workspace]++
}

func (f *inFlight) leaveWorkspace(workspace string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.admitted--
	f.workspaces[workspace]--
	if f.workspaces[workspace] <= 0 {
		delete(f.workspaces, workspace)
	}
}

// overFairShare reports whether a workspace has its max-min fair part of the limit in flight or more.
// A workspace with less is admitted even if the limit is reached: otherwise a workspace that
// floods the router would keep all others out of it. Requests that are being refused do not count
// toward the hard limit: with them, a flood alone would reach it.
func (f *inFlight) overFairShare(now time.Time, workspace string, limit int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.admitted > hardLimitFactor*limit {
		return true
	}
	level := f.level.At(now, float64(limit), maps.Values(f.workspaces))
	return float64(f.workspaces[workspace]) >= max(level, 1)
}

// hardLimitFactor is the factor by which the limit may be exceeded so that workspaces with few
// requests in flight are served beside a flood.
const hardLimitFactor = 2

func (f *inFlight) enter() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running++
}

func (f *inFlight) leave() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
}

func (f *inFlight) stopping() bool {
	return f.closing.Load()
}

// Stop makes every answer from now on close its connection. Requests that still
// arrive are served.
func (p *Proxier) Stop() {
	p.inFlight.closing.Store(true)
}

// Refuse makes the proxier refuse each request that has not been read yet. Those that have been are ended
// when the grace time is over, at end.
func (p *Proxier) Refuse(end time.Time) {
	p.inFlight.refusing.Store(&end)
}

// Running returns the number of requests in flight.
func (p *Proxier) Running() int {
	p.inFlight.mutex.Lock()
	defer p.inFlight.mutex.Unlock()
	return p.inFlight.running
}
