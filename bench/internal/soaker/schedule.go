package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"shallotkeel.example/bench/internal/launcher"
)

// disruption is an action of the schedule. Which machine or endpoint it befalls is drawn with it.
type disruption struct {
	name string
	play func(ctx context.Context, p *play, r *rand.Rand)
}

// onProcesses befall routers and keepers, onEndpoints the endpoints and the links to them.
var (
	onProcesses = []disruption{
		{"stop a router", func(_ context.Context, p *play, r *rand.Rand) { p.stop(pick(r, p.fleet.routers)) }},
		{"kill a router", func(_ context.Context, p *play, r *rand.Rand) { p.kill(pick(r, p.fleet.routers)) }},
		{"freeze a router", func(ctx context.Context, p *play, r *rand.Rand) { p.freeze(ctx, r, pick(r, p.fleet.routers)) }},
		{"stop a keeper", func(_ context.Context, p *play, r *rand.Rand) { p.stop(pick(r, p.fleet.keepers)) }},
		{"kill a keeper", func(_ context.Context, p *play, r *rand.Rand) { p.kill(pick(r, p.fleet.keepers)) }},
		{"freeze a keeper", func(ctx context.Context, p *play, r *rand.Rand) { p.freeze(ctx, r, pick(r, p.fleet.keepers)) }},
		{"kill all keepers", func(_ context.Context, p *play, _ *rand.Rand) {
			for _, m := range p.fleet.keepers {
				p.kill(m)
			}
		}},
		{"stop keepers in turn", func(ctx context.Context, p *play, _ *rand.Rand) {
			for _, m := range p.fleet.keepers {
				p.stop(m)
				pause(ctx, turnPause)
			}
		}},
		{"freeze all keepers", func(ctx context.Context, p *play, r *rand.Rand) { p.freeze(ctx, r, p.fleet.keepers...) }},
		{"freeze all keepers but one", func(ctx context.Context, p *play, r *rand.Rand) { p.freeze(ctx, r, p.fleet.keepers[1:]...) }},
	}
	onEndpoints = []disruption{
		{"crash", func(ctx context.Context, p *play, r *rand.Rand) { p.crash(ctx, r, closed) }},
		{"crash with resets", func(ctx context.Context, p *play, r *rand.Rand) { p.crash(ctx, r, reset) }},
		{"reset connections", func(_ context.Context, p *play, r *rand.Rand) { p.pickEndpoint(r).breakOff(reset) }},
		{"close connections", func(_ context.Context, p *play, r *rand.Rand) { p.pickEndpoint(r).breakOff(closed) }},
		{"silence answers", func(_ context.Context, p *play, r *rand.Rand) { p.silence(r, false, true) }},
		{"silence requests", func(_ context.Context, p *play, r *rand.Rand) { p.silence(r, true, false) }},
		{"silence both ways", func(_ context.Context, p *play, r *rand.Rand) { p.silence(r, true, true) }},
	}
)

const (
	processInterval  = 2500 * time.Millisecond // mean time between disruptions of processes
	endpointInterval = 500 * time.Millisecond
	leaveInterval    = 1500 * time.Millisecond
	strangeInterval  = 400 * time.Millisecond
	turnPause        = 500 * time.Millisecond
	moodInterval     = 3 * time.Second
	maxFaulty        = 45 // percent of the answers
	// roughShare is the part of a play in which processes are disrupted. In the rest routers are in touch, and what
	// the disruptions left behind shows.
	roughShare = 0.6
)

// playFaults plays the schedule of the seed. Its series overlap; those that befall processes end first.
func (p *play) playFaults(ctx context.Context) {
	ends, cancel := context.WithTimeout(ctx, p.options.Duration)
	defer cancel()
	rough, cancelRough := context.WithTimeout(ctx, time.Duration(roughShare*float64(p.options.Duration)))
	defer cancelRough()
	var group sync.WaitGroup
	series := func(ends context.Context, number uint64, mean time.Duration, step func(r *rand.Rand)) {
		r := rand.New(rand.NewPCG(p.options.Seed, 1<<32+number))
		group.Go(func() {
			for ends.Err() == nil {
				pause(ends, time.Duration((0.3+r.ExpFloat64())*float64(mean)/1.3))
				step(r)
			}
		})
	}
	disrupt := func(all []disruption) func(r *rand.Rand) {
		return func(r *rand.Rand) {
			d := all[r.IntN(len(all))]
			drawn := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
			p.record.add("disruption: %s", d.name)
			group.Go(func() { d.play(ctx, p, drawn) })
		}
	}
	series(rough, 1, processInterval, disrupt(onProcesses))
	series(ends, 2, endpointInterval, disrupt(onEndpoints))
	series(ends, 4, leaveInterval, func(r *rand.Rand) {
		e, departsFirst := p.pickEndpoint(r), r.IntN(2) == 0
		group.Go(func() { p.replace(ctx, e, departsFirst) })
	})
	series(ends, 5, strangeInterval, func(r *rand.Rand) {
		s, node := strangers[r.IntN(len(strangers))], r.IntN(len(p.fleet.keepers))
		group.Go(func() { s.call(ctx, p, node) })
	})
	series(ends, 3, moodInterval, func(r *rand.Rand) { p.pool.faulty.Store(r.Int64N(maxFaulty)) })
	r := rand.New(rand.NewPCG(p.options.Seed, 1<<33))
	group.Go(func() { // all routers at once, while two versions serve
		release := time.Duration((0.1 + 0.3*r.Float64()) * float64(p.options.Duration))
		share := r.Float64()
		pause(ends, release)
		group.Go(func() { p.release(ctx, share) })
		stands := rand.New(rand.NewPCG(p.options.Seed, 1<<34))
		group.Go(func() { p.freeze(ctx, stands, pick(stands, p.fleet.routers)) }) // it misses the new version
		for range 2 {
			pause(rough, time.Duration((0.1+0.2*r.Float64())*float64(p.options.Duration)))
			if rough.Err() != nil {
				return
			}
			for _, m := range p.fleet.routers {
				p.kill(m)
			}
		}
	})
	group.Wait()
	p.pool.faulty.Store(0)
	pause(ctx, afterglow)
}

func pick(r *rand.Rand, all []*machine) *machine { return all[r.IntN(len(all))] }

// pickEndpoint draws an endpoint that serves.
func (p *play) pickEndpoint(r *rand.Rand) *endpoint {
	p.lock.Lock()
	defer p.lock.Unlock()
	for {
		if e := p.endpoints[r.IntN(len(p.endpoints))]; !e.gone.Load() {
			return e
		}
	}
}

// stop stops a process as the platform does.
func (p *play) stop(m *machine) {
	var process *launcher.Process
	p.fleet.act(m, "SIGTERM", func(running *launcher.Process) { process = running })
	process.End(graceTime)
}

func (p *play) kill(m *machine) {
	p.fleet.act(m, "SIGKILL", func(process *launcher.Process) { process.Kill() })
}

// freeze stops processes for a while. Their connections stay open and silent: routers that follow frozen keepers are cut
// off.
func (p *play) freeze(ctx context.Context, r *rand.Rand, machines ...*machine) {
	p.freezeFor(ctx, time.Duration(300+r.IntN(3000))*time.Millisecond, machines...)
}

// freezeFor stops processes for a time.
func (p *play) freezeFor(ctx context.Context, length time.Duration, machines ...*machine) {
	frozen := make([]*launcher.Process, len(machines))
	for i, m := range machines {
		p.fleet.act(m, "SIGSTOP", func(process *launcher.Process) {
			frozen[i] = process
			process.Freeze()
		})
	}
	for ; length > 0; length -= time.Second {
		pause(ctx, min(length, time.Second))
		for _, m := range machines {
			m.shock()
		}
	}
	for i, m := range machines {
		p.fleet.act(m, "SIGCONT", func(*launcher.Process) { frozen[i].Resume() })
	}
}

// crash ends an endpoint, and starts another one at its address.
func (p *play) crash(ctx context.Context, r *rand.Rand, how ending) {
	e := p.pickEndpoint(r)
	if e.leaving.Load() || e.gone.Swap(true) {
		return
	}
	e.end(how)
	pause(ctx, time.Duration(200+r.IntN(1500))*time.Millisecond)
	if err := p.startEndpoint(ctx, e.service, e.zone, e.version, e.address); err != nil {
		p.record.add("endpoint at %s cannot start: %v", e.address, err)
	}
}

func (p *play) silence(r *rand.Rand, requests, answers bool) {
	e := p.pickEndpoint(r)
	length := time.Duration(300+r.IntN(4000)) * time.Millisecond
	p.record.add("link to %s is silent for %v (requests %t, answers %t)", e.id, length, requests, answers)
	if requests {
		e.hearing.shut(length)
	}
	if answers {
		e.talking.shut(length)
	}
}

// replace starts another endpoint, and has an endpoint leave.
func (p *play) replace(ctx context.Context, e *endpoint, departsFirst bool) {
	if e.leaving.Load() {
		return
	}
	if err := p.startEndpoint(ctx, e.service, e.zone, e.version, ""); err != nil {
		p.record.add("another endpoint cannot start: %v", err)
		return
	}
	if !e.gone.Load() && !e.leaving.Swap(true) {
		e.leave(ctx, departsFirst)
	}
}

// release replaces the endpoints by those of another version: new ones first, then old ones leave.
func (p *play) release(ctx context.Context, share float64) {
	p.lock.Lock()
	old := append([]*endpoint(nil), p.endpoints...)
	p.lock.Unlock()
	old = old[:int(share*float64(len(old)))]
	for i, e := range old {
		if err := p.startEndpoint(ctx, e.service, zones[i%len(zones)], "v1.1", ""); err != nil {
			p.record.add("an endpoint of the new version cannot start: %v", err)
		}
	}
	for _, e := range old {
		pause(ctx, p.options.Duration/30)
		if !e.gone.Load() && !e.leaving.Swap(true) {
			go e.leave(ctx, false)
		}
	}
}
