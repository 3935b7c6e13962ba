package passer

import (
	"context"
	"sync"
	"sync/atomic"
)

// drain counts the requests under way, for a planned stop.
type drain struct {
	closing atomic.Bool
	mutex   sync.Mutex
	running int
	idle    chan struct{}
}

func (d *drain) enter() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.running++
}

func (d *drain) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.running--
	if d.running == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
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

// Wait waits until no request is under way, or the context ends.
func (p *Passer) Wait(ctx context.Context) error {
	p.drain.mutex.Lock()
	if p.drain.running == 0 {
		p.drain.mutex.Unlock()
		return nil
	}
	if p.drain.idle == nil {
		p.drain.idle = make(chan struct{})
	}
	idle := p.drain.idle
	p.drain.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
