package passer

import (
	"sync"
	"sync/atomic"
)

// drain counts the requests under way, for a planned stop and for the bound on
// them.
type drain struct {
	closing    atomic.Bool
	mutex      sync.Mutex
	running    int
	workspaces map[string]int // requests under way, of those that have any
}

// enterFor counts a request of a workspace.
func (d *drain) enterFor(workspace string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.workspaces == nil {
		d.workspaces = make(map[string]int)
	}
	d.workspaces[workspace]++
}

func (d *drain) leaveFor(workspace string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.workspaces[workspace]--
	if d.workspaces[workspace] <= 0 {
		delete(d.workspaces, workspace)
	}
}

// crowds tells whether a workspace has more than its even part of so many
// requests under way. Those that have less are let in also when there is no
// room: otherwise one that floods a router would keep all others out of it.
func (d *drain) crowds(workspace string, most int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.running > hardBound*most {
		return true
	}
	others := len(d.workspaces)
	if d.workspaces[workspace] == 0 {
		others++
	}
	return d.workspaces[workspace] >= max(most/max(others, 1), 1)
}

// hardBound is by how much the bound may be passed so that workspaces with
// little under way are served beside one that floods.
const hardBound = 2

func (d *drain) enter() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.running++
}

func (d *drain) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.running--
}

func (d *drain) stopping() bool {
	return d.closing.Load()
}

// Stop makes every answer from now on close its connection. Requests that still
// come are served.
func (p *Passer) Stop() {
	p.drain.closing.Store(true)
}

// Running returns how many requests are under way.
func (p *Passer) Running() int {
	p.drain.mutex.Lock()
	defer p.drain.mutex.Unlock()
	return p.drain.running
}
