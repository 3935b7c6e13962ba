// Package soaker plays faults against routers and keepers that run as real processes on the
// platform's interface, and judges from what clients and endpoints see whether answers are whole, in
// order and their own. It plays the platform, the operator, the endpoints and the clients itself.
//
// A seed determines the schedule of the faults and what each answer meets. When something happens
// within a millisecond is left to the machine, so that a seed need not find the same twice.
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotkeel.example/platform/player"
)

// Options determines the plays.
type Options struct {
	Root     string // repository, whose deploy file says how to start the programs
	Programs string // folder of the programs
	Logs     string // folder in which a play makes its own; a temporary one if empty
	Duration time.Duration
	Seed     uint64
	Unnamed  bool // half of the clients do not name the streams that they take up
	Resuming bool // endpoints that are asked to go on with a stream do so; all other faults are played
	// Outage names one of outages, which is played in place of the schedule. Empty means none.
	Outage string
}

// options adds the sizes of a play.
type options struct {
	Options
	Routers, Keepers, Clients, Endpoints int
}

const (
	host          = "soak.example"
	serviceDrafts = "drafts"
	servicePrices = "prices"
	warmUp        = 15 * time.Second
	afterglow     = 6 * time.Second // what is under way at the end of the faults may end
)

// routes are those of the configuration; half of the requests are streams that may be resumed.
var routes = []player.Route{
	route("list", player.Streaming, serviceDrafts, 3, true),
	route("draft", player.Streaming, serviceDrafts, 2, false),
	route("price", player.Idempotent, servicePrices, 3, false),
	route("order", player.NonIdempotent, servicePrices, 2, false),
	route("list-again", player.Streaming, serviceDrafts, 2, true),
	route("list-more", player.Streaming, serviceDrafts, 3, true),
}

func route(name, kind, service string, attempts int, resume bool) player.Route {
	return player.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: 8000, Target: 400, Gap: 300, Priority: 1,
		Service: service, Attempts: attempts, Anonymous: true, Resume: resume,
	}
}

// routeOf returns the route of a path.
func routeOf(path string) player.Route {
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return player.Route{}
}

// Build builds the programs as the deploy file says, but into a folder.
func Build(root, folder string) error {
	command, err := deployLine(root, "", "build")
	if err != nil {
		return err
	}
	build := exec.Command("sh", "-c", strings.ReplaceAll(command, "-o target/", "-o '"+folder+"/'"))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s: %w: %s", ErrFleet, command, err, out)
	}
	return nil
}

// play is one play.
type play struct {
	options *options
	record  *record
	fleet   *fleet
	pool    *pool
	ledger  *ledger
	judge   *judge

	lock      sync.Mutex
	endpoints []*endpoint
	poisoned  int // crashes of endpoints under the request that causes them
}

// Run plays one seed, prints what it found, and reports whether every rule was kept.
func Run(o Options, out io.Writer) (bool, error) {
	folder, err := os.MkdirTemp(o.Logs, fmt.Sprintf("soak-%d-", o.Seed))
	if err != nil {
		return false, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer file.Close()
	p := &play{
		options: &options{Options: o, Routers: 4, Keepers: 3, Clients: 28, Endpoints: 6},
		record:  &record{file: file, begun: time.Now()},
		ledger:  &ledger{all: make(map[string]*history)},
	}
	p.judge = &judge{ledger: p.ledger, record: p.record, seed: o.Seed}
	if p.fleet, err = newFleet(p.options, folder, p.record); err != nil {
		return false, err
	}
	defer p.fleet.claimed.Close()
	p.pool = &pool{fleet: p.fleet, record: p.record, ledger: p.ledger, seed: o.Seed, resuming: o.Resuming}
	p.judge.fleet = p.fleet
	p.pool.crash = p.crashPoisoned
	if err := p.run(); err != nil {
		return false, fmt.Errorf("%w; logs: %s", err, folder)
	}
	for _, line := range p.judge.lines {
		fmt.Fprintln(out, line)
	}
	for _, line := range p.fleet.own {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintf(out, "seed %d: rules broken %d, processes that ended by themselves %d; %s; logs: %s\n",
		o.Seed, len(p.judge.lines), len(p.fleet.own), p.judge.totals, folder)
	return len(p.judge.lines)+len(p.fleet.own) == 0, nil
}

// run starts everything, plays the faults and ends everything.
func (p *play) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer p.fleet.group.Wait()
	defer cancel()
	if err := p.begin(ctx); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for i := range p.options.Clients {
		c := &client{play: p, number: i, rand: rand.New(rand.NewPCG(p.options.Seed, uint64(i)+1))}
		clients.Go(func() { c.run(traffic) })
	}
	pause(ctx, time.Second)
	if outage, named := outages[p.options.Outage]; named {
		outage(ctx, p)
	} else {
		p.playFaults(ctx)
	}
	stop()
	clients.Wait()
	p.judge.conclude()
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, e := range p.endpoints {
		e.end(closed)
	}
	return nil
}

// begin starts the system and the endpoints, and waits until a request is served.
func (p *play) begin(ctx context.Context) error {
	patient, cancel := context.WithTimeout(ctx, warmUp)
	defer cancel()
	for _, m := range p.fleet.machines() {
		if err := p.fleet.run(ctx, m); err != nil {
			return err
		}
	}
	if err := p.fleet.submit(patient, configuration(7, routeBefore)); err != nil {
		return err
	}
	for i := range p.options.Endpoints {
		for _, service := range []string{serviceDrafts, servicePrices} {
			if err := p.startEndpoint(ctx, service, zones[i%len(zones)], "v1", ""); err != nil {
				return err
			}
		}
	}
	go p.fleet.watch(ctx)
	return p.awaitService(patient)
}

// configuration returns the routes that clients use and one more.
func configuration(version int, more player.Route) player.Config {
	return player.Config{
		Version: version, Routes: append(slices.Clone(routes), more),
		Services: []player.Service{
			{Name: serviceDrafts, Health: healthPath, Connections: 200, Protocol: "h1"},
			{Name: servicePrices, Health: healthPath, Connections: 200, Protocol: "h1"},
		},
		Limits: player.Limits{Header: 16384, Body: 4 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
	}
}

// awaitService waits until every router serves every route.
func (p *play) awaitService(ctx context.Context) error {
	c := &client{play: p, number: -1}
	defer c.drop()
	for try := 0; ctx.Err() == nil; try++ {
		served := 0
		for i := range p.fleet.routers {
			for j, r := range routes {
				c.drop()
				q := &query{stream: fmt.Sprintf("probe%d-%d-%d", try, i, j), pieces: 1}
				c.router = p.fleet.routers[i]
				if answer := c.send(r, q, 0, "", i+1); answer.status == 200 {
					served++
				}
			}
		}
		if served == len(p.fleet.routers)*len(routes) {
			return nil
		}
		pause(ctx, 300*time.Millisecond)
	}
	return fmt.Errorf("%w: it does not serve", ErrFleet)
}

// startEndpoint starts an endpoint and keeps it.
func (p *play) startEndpoint(ctx context.Context, service, zone, version, address string) error {
	e, err := p.pool.start(ctx, service, zone, version, address)
	if err != nil {
		return err
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.endpoints = append(p.endpoints, e)
	return nil
}
