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

// runTimeout limits the whole run.
const runTimeout = 5 * time.Minute

// Options of a run.
type Options struct {
	Programs string
	Sizes    []int // numbers of routers, each even
	// Steady is the time for which the steady state of a backlog is metered,
	// DefaultSteady if zero. The fairness gap of the baseline grows with it, that of
	// the schedulers does not.
	Steady time.Duration
}

// Run measures the running path, prints the figures, and returns whether every figure
// could be measured.
func Run(options Options, out io.Writer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	options.Steady = cmp.Or(options.Steady, DefaultSteady)
	r := &report{out: out}
	for _, routers := range options.Sizes {
		if err := r.measureSize(ctx, options, routers); err != nil {
			r.addUnmeasured(fmt.Sprintf("%d routers", routers), err)
		}
	}
	if err := r.measureRising(ctx, options); err != nil {
		r.addUnmeasured("rising load", err)
	}
	if err := r.write(); err != nil {
		fmt.Fprintln(out, err)
		return false
	}
	return len(r.unmeasured) == 0
}

// backlogResult is the result of a run in which all workspaces are backlogged.
type backlogResult struct {
	gap          float64       // in tokens by weight
	throughput   float64       // in tokens per second
	controlBytes float64       // sent by all routers and keepers, per request
	messages     float64       // of the control traffic, per request
	cpu          time.Duration // of the routers, per request
	missing      string        // why there is no control traffic, empty if there is
	steady       time.Duration
}

// mean returns the mean service of a workspace over the steady state, in tokens.
func (c backlogResult) mean() float64 {
	return c.throughput * c.steady.Seconds() / workspaces
}

// measureSize measures utilisation, fairness and control cost under backlog with a
// number of routers, for one scheduler per pool and for the baseline. With the
// schedulers it also measures changes and, at the first size, claims.
func (r *report) measureSize(ctx context.Context, options Options, routers int) error {
	results := make(map[string]map[string]backlogResult)
	var ideal float64
	for _, scheduling := range []string{"alone", "pool"} {
		s, err := launchSite(ctx, options, routers, scheduling)
		if err != nil {
			return err
		}
		results[scheduling] = make(map[string]backlogResult)
		err = s.measureBacklogs(results[scheduling])
		if err == nil && scheduling == "pool" {
			ideal, err = s.ideal()
		}
		if err == nil && scheduling == "pool" {
			err = r.measureInForce(s, routers)
		}
		if err == nil && scheduling == "pool" && routers == options.Sizes[0] {
			// The rate of claims does not depend on the number of routers.
			err = r.measureClaims(s, fmt.Sprintf("%d routers", routers))
		}
		s.close()
		if err != nil {
			return err
		}
	}
	for _, placement := range []string{"even", "uneven"} {
		where := fmt.Sprintf("%d routers, %s", routers, placement)
		r.addComparison(where, results["pool"][placement], results["alone"][placement], ideal)
	}
	return nil
}

// measureBacklogs measures a backlog for each placement of the workspaces.
func (s *site) measureBacklogs(results map[string]backlogResult) error {
	for name, place := range map[string]func(int, []string) []string{"even": even, "uneven": uneven} {
		result, err := s.measureBacklog(place)
		if err != nil {
			return err
		}
		results[name] = result
	}
	return nil
}

// measureBacklog measures a backlog with one placement. It fails if a workspace gets no
// service at all.
func (s *site) measureBacklog(place func(int, []string) []string) (backlogResult, error) {
	routers := s.fleet.Of(launcher.Router)
	fleet := append(s.fleet.Of(launcher.Keeper), routers...)
	cpuBefore, err := cpu(routers)
	if err != nil {
		return backlogResult{}, err
	}
	before, err := inspector.Scrape(s.ctx, fleet)
	if err != nil {
		return backlogResult{}, err
	}
	samples, summary, err := s.meterBacklog(s.backlogLoads(place), false)
	if err != nil {
		return backlogResult{}, err
	}
	after, err := inspector.Scrape(s.ctx, fleet)
	if err != nil {
		return backlogResult{}, err
	}
	cpuAfter, err := cpu(routers)
	if err != nil {
		return backlogResult{}, err
	}
	weights := make(map[string]float64)
	for _, name := range s.names {
		weights[name] = 1
	}
	if name, starved := inspector.Starved(samples, weights); starved {
		return backlogResult{}, merry.Errorf("%w: %s received nothing while it was backlogged", ErrMeasure, name)
	}
	result := backlogResult{
		gap: inspector.Gap(samples, weights), throughput: inspector.Throughput(samples), steady: s.steady,
		cpu: (cpuAfter - cpuBefore) / time.Duration(summary.Requests),
	}
	growth := after.Minus(before)
	result.controlBytes, result.messages, result.missing = perRequest(growth, summary.Requests)
	return result, nil
}

// perRequest returns the control bytes and control messages per request. If processes
// publish no such metric, missing says which.
func perRequest(growth inspector.Metrics, requests int) (bytes, messages float64, missing string) {
	sent, found := growth.Matching("control", "sent", "bytes")
	if !found {
		missing = "no process shows control bytes"
	}
	calls, found := growth.Matching("control", "messages")
	if !found {
		missing += " no process shows control messages"
	}
	return sent / float64(requests), calls / float64(requests), missing
}

// addComparison adds the figures of a backlog, with those of the baseline. The ideal is the
// throughput of the engines without routers.
func (r *report) addComparison(where string, pool, alone backlogResult, ideal float64) {
	r.add(
		Figure{Name: "utilisation", Where: where, Unit: "of the engines' own backlog", Value: pool.throughput / ideal}.withBaseline(alone.throughput/ideal),
		Figure{Name: "fairness gap", Where: where, Unit: "tokens by weight", Value: pool.gap}.withBaseline(alone.gap),
		Figure{Name: "fairness gap over mean service", Where: where, Unit: "ratio", Value: pool.gap / pool.mean()}.withBaseline(alone.gap/alone.mean()),
		Figure{Name: "router CPU", Where: where, Unit: "ms a request", Value: milliseconds(pool.cpu)}.withBaseline(milliseconds(alone.cpu)),
	)
	if pool.missing != "" {
		r.unmeasured = append(r.unmeasured, fmt.Sprintf("not measured: control traffic, %s: %s", where, pool.missing))
		return
	}
	r.add(
		Figure{Name: "control bytes", Where: where, Unit: "bytes a request", Value: pool.controlBytes}.withBaseline(alone.controlBytes),
		Figure{Name: "control messages", Where: where, Unit: "messages a request", Value: pool.messages}.withBaseline(alone.messages),
	)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// rates are the rates of the rising load, in requests per second over all routers. The
// last one is 63 per router, which is the load of a router in the target deployment.
var rates = []float64{16, 63, 126, 252}

// Sizes of the rising load.
const (
	risingRouters        = 4
	risingDuration       = 4 * time.Second
	shortCompletionBound = 12 // tokens, few enough for the engines to sustain the last rate
)

// measureRising measures cost and latency at increasing load, with one scheduler per
// pool and with the baseline, and the latency of direct calls to the engines.
func (r *report) measureRising(ctx context.Context, options Options) error {
	series := make(map[string][]rateResult)
	for _, scheduling := range []string{"alone", "pool"} {
		s, err := launchSite(ctx, options, risingRouters, scheduling)
		if err != nil {
			return err
		}
		for i, rate := range rates {
			result, err := s.measureRate(rate, uint64(100+i))
			if err != nil {
				s.close()
				return err
			}
			series[scheduling] = append(series[scheduling], result)
		}
		s.close()
	}
	r.addRising(series["pool"], series["alone"])
	return nil
}

// rateResult is the result of a run at one rate.
type rateResult struct {
	rate         float64
	direct       caller.Quantiles
	routed       caller.Quantiles
	routerBytes  float64 // of control traffic, sent and received by a router, per second
	controlBytes float64
	messages     float64
	cpu          time.Duration
	missing      string
}

// openLoads returns an open-loop load of equal workspaces that adds up to a rate, in
// requests per second.
func (s *site) openLoads(rate float64) []caller.Load {
	var loads []caller.Load
	mix := streamMix()
	mix.Bound = shortCompletionBound
	for _, name := range s.names {
		loads = append(loads, caller.Load{Workspace: name, Token: token(name), PerSecond: rate / workspaces, Mix: mix})
	}
	return loads
}

// measureRate runs a rate, first directly at the engines and then through the routers.
func (s *site) measureRate(rate float64, seed uint64) (rateResult, error) {
	var direct []string
	for _, engine := range s.engineNodes() {
		direct = append(direct, engine.URL())
	}
	p := rateResult{rate: rate}
	p.direct = s.drive(s.openLoads(rate), direct, seed, risingDuration/2, true).First
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
	cpuBefore, err := cpu(routers)
	if err != nil {
		return p, err
	}
	started := time.Now()
	summary := s.drive(s.openLoads(rate), s.fleet.Targets(), seed, risingDuration, false)
	elapsed := time.Since(started).Seconds()
	cpuAfter, err := cpu(routers)
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
	p.cpu = (cpuAfter - cpuBefore) / time.Duration(max(1, summary.Requests))
	p.controlBytes, p.messages, p.missing = perRequest(after.Minus(before), summary.Requests)
	bytes, _ := routersAfter.Minus(routersBefore).Matching("control", "bytes")
	p.routerBytes = bytes / elapsed / float64(len(routers))
	return p, nil
}

// addRising adds the figures of each rate, with those of the baseline. Added latency is
// that of routed requests minus that of direct ones.
func (r *report) addRising(pool, alone []rateResult) {
	for i, p := range pool {
		a := alone[i]
		where := fmt.Sprintf("%d routers, %.0f requests/s", risingRouters, p.rate)
		r.add(
			Figure{Name: "first token added, p50", Where: where, Unit: "ms", Value: p.routed.P50 - p.direct.P50}.withBaseline(a.routed.P50-a.direct.P50),
			Figure{Name: "first token added, p95", Where: where, Unit: "ms", Value: p.routed.P95 - p.direct.P95}.withBaseline(a.routed.P95-a.direct.P95),
			Figure{Name: "router CPU", Where: where, Unit: "ms a request", Value: milliseconds(p.cpu)}.withBaseline(milliseconds(a.cpu)),
		)
		if p.missing != "" {
			r.unmeasured = append(r.unmeasured, fmt.Sprintf("not measured: control traffic, %s: %s", where, p.missing))
			continue
		}
		r.add(
			Figure{Name: "control bytes", Where: where, Unit: "bytes a request", Value: p.controlBytes}.withBaseline(a.controlBytes),
			Figure{Name: "control messages", Where: where, Unit: "messages a request", Value: p.messages}.withBaseline(a.messages),
			Figure{Name: "control bytes of a router", Where: where, Unit: "bytes/s, both directions", Value: p.routerBytes}.withBaseline(a.routerBytes),
		)
	}
	r.addSlopes(pool)
}

// addSlopes fits lines through the control bytes and the processor time of a router over
// its requests per second. It adds nothing if control traffic is missing at any rate.
func (r *report) addSlopes(pool []rateResult) {
	var xs, bytes, busy []float64
	for _, p := range pool {
		if p.missing != "" {
			return
		}
		perRouter := p.rate / risingRouters
		xs = append(xs, perRouter)
		bytes = append(bytes, p.routerBytes)
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
