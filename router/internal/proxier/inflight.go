package proxier

import (
	"sync"
	"sync/atomic"
)

// inFlight counts the requests in flight, for a planned stop and for the limit on them.
type inFlight struct {
	closing    atomic.Bool
	refusing   atomic.Bool // requests that are read from now on are refused
	mutex      sync.Mutex
	running    int
	workspaces map[string]int // requests in flight, of workspaces that have any
}

// enterWorkspace counts a request of a workspace.
func (f *inFlight) enterWorkspace(workspace string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.workspaces == nil {
		f.workspaces = make(map[string]int)
	}
	f.workspaces[workspace]++
}

func (f *inFlight) leaveWorkspace(workspace string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.workspaces[workspace]--
	if f.workspaces[workspace] <= 0 {
		delete(f.workspaces, workspace)
	}
}

// overFairShare reports whether a workspace has at least its even part of the limit in flight.
// A workspace with less is admitted even if the limit is reached: otherwise a workspace that
// floods the router would keep all others out of it.
func (f *inFlight) overFairShare(workspace string, limit int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.running > hardLimitFactor*limit {
		return true
	}
	workspaces := len(f.workspaces)
	if f.workspaces[workspace] == 0 {
		workspaces++
	}
	return f.workspaces[workspace] >= max(limit/max(workspaces, 1), 1)
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

// Refuse makes the proxier refuse each request that has not been read yet.
func (p *Proxier) Refuse() {
	p.inFlight.refusing.Store(true)
}

// Running returns the number of requests in flight.
func (p *Proxier) Running() int {
	p.inFlight.mutex.Lock()
	defer p.inFlight.mutex.Unlock()
	return p.inFlight.running
}
