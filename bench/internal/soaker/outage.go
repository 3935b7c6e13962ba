package soaker

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"shallotkeel.example/platform"
	"shallotkeel.example/platform/player"
)

const (
	outageTime    = 40 * time.Second // longer than anything is remembered that somebody has to say again
	recoveryTime  = 13 * time.Second
	applyTime     = 2500 * time.Millisecond // after which a configuration is in force everywhere
	returnTime    = 3 * time.Second         // after which an endpoint that has crashed is back
	catchUpTime   = 4 * time.Second         // for which a process that was restarted is left alone
	poison        = "poison"                // the stream of a request that crashes its endpoints
	lateTries     = 15
	allowedLate   = 3 // retries of such a request, later than contactTime after its third crash
	crashesBefore = 2
)

// routeBefore is in the first configuration only, and routeAfter in the second one. No client uses them.
var (
	routeBefore = route("before", player.Idempotent, servicePrices, 2, false)
	routeAfter  = route("after", player.Idempotent, servicePrices, 2, false)
)

// outages are played by name. Traffic goes on meanwhile.
var outages = map[string]func(ctx context.Context, p *play){
	"keepers-away": func(ctx context.Context, p *play) {
		p.hold(ctx, p.fleet.keepers, func(m *machine) { p.stop(m) })
		p.judgeChange(ctx)
	},
	"router-stands": func(ctx context.Context, p *play) {
		m := p.fleet.routers[p.options.Seed%uint64(len(p.fleet.routers))]
		p.freezeFor(ctx, outageTime, m)
		p.judgeChange(ctx)
	},
	"keepers-late": func(ctx context.Context, p *play) {
		p.hold(ctx, p.fleet.keepers, func(m *machine) {
			p.kill(m)
			if m == p.fleet.keepers[0] {
				for _, router := range p.fleet.routers {
					p.kill(router)
				}
			}
		})
		p.judgeChange(ctx)
	},
	"crashes": func(ctx context.Context, p *play) { p.playCrashes(ctx) },
}

// hold ends machines, and keeps them away for outageTime.
func (p *play) hold(ctx context.Context, machines []*machine, end func(m *machine)) {
	for _, m := range machines {
		m.held.Store(true)
	}
	var ending sync.WaitGroup
	for _, m := range machines {
		ending.Go(func() { end(m) })
	}
	ending.Wait()
	pause(ctx, outageTime)
	for _, m := range machines {
		m.held.Store(false)
	}
}

// judgeChange changes the configuration when all has recovered, and checks that every router obeys.
func (p *play) judgeChange(ctx context.Context) {
	pause(ctx, recoveryTime)
	if err := p.fleet.submit(ctx, configuration(8, routeAfter)); err != nil {
		p.judge.broken(config, &history{id: "change"}, err.Error())
		return
	}
	pause(ctx, applyTime)
	for _, m := range p.fleet.routers {
		for prefix, want := range map[string]int{routeBefore.Prefix: http.StatusNotFound, routeAfter.Prefix: http.StatusOK} {
			if got := p.statusAt(ctx, m, prefix); got != want {
				p.judge.broken(config, &history{id: "change", router: m.Name}, fmt.Sprintf("%s is answered %d, not %d", prefix, got, want))
			}
		}
	}
}

// statusAt returns what a router answers on a route, 0 if nothing.
func (p *play) statusAt(ctx context.Context, m *machine, prefix string) int {
	q := &query{id: fmt.Sprintf("change-%s%s", m.Name, strings.Trim(prefix, "/")), stream: "change", pieces: 1}
	p.ledger.open(&history{id: q.id, stream: q.stream, sent: time.Now(), repeatable: true, router: m.Name})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Address+":"+player.PortFront+prefix+"x", strings.NewReader(q.text()))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set(platform.HeaderID, q.id)
	response, err := (&http.Client{Timeout: requestDeadline}).Do(request)
	if err != nil {
		p.record.add("%s at %s: %v", prefix, m.Name, err)
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// playCrashes sends a request that crashes each endpoint that runs it: twice, again after planned restarts of all
// keepers and routers in turn, and many times later than contactTime after the third crash.
func (p *play) playCrashes(ctx context.Context) {
	c := &client{play: p, number: -1}
	defer c.drop()
	try := 0
	send := func() {
		c.drop()
		c.count++
		try++
		c.send(routeOf("/order/"), &query{stream: poison, pieces: 1}, 0, "", try)
	}
	for p.crashes() < crashesBefore && ctx.Err() == nil {
		send()
		pause(ctx, returnTime/4)
	}
	pause(ctx, outageTime)
	for _, m := range p.fleet.machines() {
		p.stop(m)
		pause(ctx, catchUpTime)
	}
	for p.crashes() <= crashesBefore && ctx.Err() == nil {
		send()
		pause(ctx, returnTime/4)
	}
	pause(ctx, contactTime+contactTime/10)
	before := p.crashes()
	for range lateTries {
		send()
		pause(ctx, contactTime/10)
	}
	if late := p.crashes() - before; late > allowedLate {
		p.judge.broken(budget, &history{id: poison}, fmt.Sprintf("%d retries reached endpoints later than %v after its third crash", late, contactTime))
	}
}

// crashes returns how often an endpoint has crashed under the request that does that.
func (p *play) crashes() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.poisoned
}

// crashPoisoned ends an endpoint with all that runs there, and starts it again after a while.
func (p *play) crashPoisoned(e *endpoint) {
	p.lock.Lock()
	p.poisoned++
	p.lock.Unlock()
	if e.gone.Swap(true) {
		return
	}
	go func() {
		e.end(reset)
		time.Sleep(returnTime)
		if err := p.startEndpoint(context.Background(), e.service, e.zone, e.version, e.address); err != nil {
			p.record.add("endpoint at %s cannot start: %v", e.address, err)
		}
	}()
}
