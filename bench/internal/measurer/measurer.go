package measurer

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/inspector"
	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

// runLimit bounds the whole run.
const runLimit = 5 * time.Minute

// Options of a run.
type Options struct {
	Programs string
	Sizes    []int // numbers of routers, each even
	// Steady is how long a backlog is metered; DefaultSteady if zero. The gap of
	// the baseline grows with it, that of the schedulers does not.
	Steady time.Duration
}

// Run measures the path and returns whether every figure could be measured.
func Run(options Options, out io.Writer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	options.Steady = cmp.Or(options.Steady, DefaultSteady)
	r := &report{out: out}
	for _, routers := range options.Sizes {
		if err := r.size(ctx, options, routers); err != nil {
			r.miss(fmt.Sprintf("%d routers", routers), err)
		}
	}
	if err := r.rising(ctx, options); err != nil {
		r.miss("rising load", err)
	}
	if err := r.write(); err != nil {
		fmt.Fprintln(out, err)
		return false
	}
	return len(r.failed) == 0
}

// contended is what a backlog showed.
type contended struct {
	gap         float64
	throughput  float64
	controlByte float64 // sent by all processes of the system, a request
	messages    float64
	cpu         time.Duration // of the routers, a request
	missing     string
	steady      time.Duration
}

// mean is the service of a workspace over the steady state, in tokens.
func (c contended) mean() float64 {
	return c.throughput * c.steady.Seconds() / workspaces
}

// size measures the three measures under backlog at a number of routers, with
// a scheduler per pool and alone.
func (r *report) size(ctx context.Context, options Options, routers int) error {
	results := make(map[string]map[string]contended)
	var ideal float64
	for _, scheduling := range []string{"alone", "pool"} {
		s, err := open(ctx, options, routers, scheduling)
		if err != nil {
			return err
		}
		results[scheduling] = make(map[string]contended)
		err = s.contend(results[scheduling])
		if err == nil && scheduling == "pool" {
			ideal, err = s.ideal()
		}
		if err == nil && scheduling == "pool" {
			err = r.inForce(s, routers)
		}
		if err == nil && scheduling == "pool" && routers == options.Sizes[0] {
			// The claims of a fleet do not depend on how many routers pass them on.
			err = r.claims(s, fmt.Sprintf("%d routers", routers))
		}
		s.close()
		if err != nil {
			return err
		}
	}
	for _, placement := range []string{"even", "uneven"} {
		where := fmt.Sprintf("%d routers, %s", routers, placement)
		r.compare(where, results["pool"][placement], results["alone"][placement], ideal)
	}
	return nil
}

func (s *site) contend(results map[string]contended) error {
	for name, place := range map[string]func(int, []string) []string{"even": even, "uneven": uneven} {
		result, err := s.contended(place)
		if err != nil {
			return err
		}
		results[name] = result
	}
	return nil
}

func (s *site) contended(place func(int, []string) []string) (contended, error) {
	routers := s.fleet.Of(launcher.Router)
	fleet := append(s.fleet.Of(launcher.Keeper), routers...)
	usedBefore, err := cpu(routers)
	if err != nil {
		return contended{}, err
	}
	before, err := inspector.Scrape(s.ctx, fleet)
	if err != nil {
		return contended{}, err
	}
	samples, summary, err := s.metered(s.backlog(place), false)
	if err != nil {
		return contended{}, err
	}
	after, err := inspector.Scrape(s.ctx, fleet)
	if err != nil {
		return contended{}, err
	}
	usedAfter, err := cpu(routers)
	if err != nil {
		return contended{}, err
	}
	weights := make(map[string]float64)
	for _, name := range s.names {
		weights[name] = 1
	}
	if name, starved := inspector.Starved(samples, weights); starved {
		return contended{}, merry.Errorf("%w: %s received nothing while it was backlogged", ErrMeasure, name)
	}
	result := contended{
		gap: inspector.Gap(samples, weights), throughput: inspector.Throughput(samples), steady: s.steady,
		cpu: (usedAfter - usedBefore) / time.Duration(summary.Requests),
	}
	grown := after.Minus(before)
	result.controlByte, result.messages, result.missing = perRequest(grown, summary.Requests)
	return result, nil
}

// perRequest returns control bytes and messages a request, or why not.
func perRequest(grown inspector.Metrics, requests int) (bytes, messages float64, missing string) {
	sent, found := grown.Matching("control", "sent", "bytes")
	if !found {
		missing = "no process shows control bytes"
	}
	calls, found := grown.Matching("control", "messages")
	if !found {
		missing += " no process shows control messages"
	}
	return sent / float64(requests), calls / float64(requests), missing
}

func (r *report) compare(where string, pool, alone contended, ideal float64) {
	r.add(
		Figure{Name: "utilisation", Where: where, Unit: "of the engines' own backlog", Value: pool.throughput / ideal}.against(alone.throughput/ideal),
		Figure{Name: "fairness gap", Where: where, Unit: "tokens by weight", Value: pool.gap}.against(alone.gap),
		Figure{Name: "fairness gap over mean service", Where: where, Unit: "ratio", Value: pool.gap / pool.mean()}.against(alone.gap/alone.mean()),
		Figure{Name: "router CPU", Where: where, Unit: "ms a request", Value: milliseconds(pool.cpu)}.against(milliseconds(alone.cpu)),
	)
	if pool.missing != "" {
		r.failed = append(r.failed, fmt.Sprintf("not measured: control traffic, %s: %s", where, pool.missing))
		return
	}
	r.add(
		Figure{Name: "control bytes", Where: where, Unit: "bytes a request", Value: pool.controlByte}.against(alone.controlByte),
		Figure{Name: "control messages", Where: where, Unit: "messages a request", Value: pool.messages}.against(alone.messages),
	)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Rates of the rising load, in requests a second over all routers. The last
// is 63 a router, as at the size of letter 1.
var rates = []float64{16, 63, 126, 252}

const (
	risingRouters = 4
	risingTime    = 4 * time.Second
	shortBound    = 12 // tokens, so that the engines keep up with the last rate
)

// rising measures cost and latency over rising load, with a scheduler per
// pool, alone, and calling the engines directly.
func (r *report) rising(ctx context.Context, options Options) error {
	series := make(map[string][]point)
	for _, scheduling := range []string{"alone", "pool"} {
		s, err := open(ctx, options, risingRouters, scheduling)
		if err != nil {
			return err
		}
		for i, rate := range rates {
			p, err := s.point(rate, uint64(100+i))
			if err != nil {
				s.close()
				return err
			}
			series[scheduling] = append(series[scheduling], p)
		}
		s.close()
	}
	r.risen(series["pool"], series["alone"])
	return nil
}

// point is what one rate showed.
type point struct {
	rate        float64
	direct      caller.Quantiles
	routed      caller.Quantiles
	nodeBytes   float64 // sent and received by a router, a second
	controlByte float64
	messages    float64
	cpu         time.Duration
	missing     string
}

func (s *site) open(rate float64) []caller.Load {
	var loads []caller.Load
	mix := streams()
	mix.Bound = shortBound
	for _, name := range s.names {
		loads = append(loads, caller.Load{Workspace: name, Token: token(name), PerSecond: rate / workspaces, Mix: mix})
	}
	return loads
}

func (s *site) point(rate float64, seed uint64) (point, error) {
	var direct []string
	for _, engine := range s.engineNodes() {
		direct = append(direct, engine.URL())
	}
	p := point{rate: rate}
	p.direct = s.drive(s.open(rate), direct, seed, risingTime/2, true).First
	routers := s.fleet.Of(launcher.Router)
	fleet := append(s.fleet.Of(launcher.Keeper), routers...)
	before, err := inspector.Scrape(s.ctx, fleet)
	if err != nil {
		return p, err
	}
	routersBefore, err := inspector.Scrape(s.ctx, routers)
	if err != nil {
		return p, err
	}
	usedBefore, err := cpu(routers)
	if err != nil {
		return p, err
	}
	began := time.Now()
	summary := s.drive(s.open(rate), s.fleet.Targets(), seed, risingTime, false)
	took := time.Since(began).Seconds()
	usedAfter, err := cpu(routers)
	if err != nil {
		return p, err
	}
	after, err := inspector.Scrape(s.ctx, fleet)
	if err != nil {
		return p, err
	}
	routersAfter, err := inspector.Scrape(s.ctx, routers)
	if err != nil {
		return p, err
	}
	p.routed = summary.First
	p.cpu = (usedAfter - usedBefore) / time.Duration(max(1, summary.Requests))
	p.controlByte, p.messages, p.missing = perRequest(after.Minus(before), summary.Requests)
	bytes, _ := routersAfter.Minus(routersBefore).Matching("control", "bytes")
	p.nodeBytes = bytes / took / float64(len(routers))
	return p, nil
}

func (r *report) risen(pool, alone []point) {
	for i, p := range pool {
		a := alone[i]
		where := fmt.Sprintf("%d routers, %.0f requests/s", risingRouters, p.rate)
		r.add(
			Figure{Name: "first token added, p50", Where: where, Unit: "ms", Value: p.routed.P50 - p.direct.P50}.against(a.routed.P50-a.direct.P50),
			Figure{Name: "first token added, p95", Where: where, Unit: "ms", Value: p.routed.P95 - p.direct.P95}.against(a.routed.P95-a.direct.P95),
			Figure{Name: "router CPU", Where: where, Unit: "ms a request", Value: milliseconds(p.cpu)}.against(milliseconds(a.cpu)),
		)
		if p.missing != "" {
			r.failed = append(r.failed, fmt.Sprintf("not measured: control traffic, %s: %s", where, p.missing))
			continue
		}
		r.add(
			Figure{Name: "control bytes", Where: where, Unit: "bytes a request", Value: p.controlByte}.against(a.controlByte),
			Figure{Name: "control messages", Where: where, Unit: "messages a request", Value: p.messages}.against(a.messages),
			Figure{Name: "control bytes of a router", Where: where, Unit: "bytes/s, both directions", Value: p.nodeBytes}.against(a.nodeBytes),
		)
	}
	r.slopes(pool)
}

// slopes fits how cost rises with the requests a second of one router.
func (r *report) slopes(pool []point) {
	var xs, bytes, busy []float64
	for _, p := range pool {
		if p.missing != "" {
			return
		}
		perRouter := p.rate / risingRouters
		xs = append(xs, perRouter)
		bytes = append(bytes, p.nodeBytes)
		busy = append(busy, p.cpu.Seconds()*perRouter*100)
	}
	where := fmt.Sprintf("%d routers, fitted over %v requests/s", risingRouters, rates)
	control, processor := fit(xs, bytes), fit(xs, busy)
	r.add(
		Figure{Name: "control bytes of a router, slope", Where: where, Unit: "bytes/s for each request/s", Value: control.slope},
		Figure{Name: "control bytes of a router, at no load", Where: where, Unit: "bytes/s", Value: control.intercept},
		Figure{Name: "router CPU, slope", Where: where, Unit: "% of a core for each request/s", Value: processor.slope},
		Figure{Name: "router CPU, at no load", Where: where, Unit: "% of a core", Value: processor.intercept},
	)
}
