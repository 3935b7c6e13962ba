// Standin plays the platform, the operator, the clients and the workers of a small deployment around
// the system's own processes, for the cases of the review.
//
// Usage: standin CASE ROOT FOLDER. It exits with 1 if the rule of the case was broken, with 0 if it held,
// and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The configuration of the cases.
const (
	host        = "ficu95.example"
	pathLookup  = "/lookup/"  // idempotent
	pathConfirm = "/confirm/" // not idempotent
	keyClub     = "asnmgkcuyj8pjbvk9m68"
	keyOther    = "k7b2ex5wa5xwyhks8nbk"
	pathDraft   = "/draft/" // streams that are not resumed
	service     = "scambio-app"

	serviceEngines = "modelli"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// scenario is one case: the number of routers, workers and engines, and what happens.
type scenario struct {
	routers, workers, engines int
	play                      func(b *bed) error
}

var scenarios = map[string]scenario{
	"forgotten-leave": {routers: 3, workers: 4, play: playForgottenLeave},
	"repeated-trials": {routers: 2, workers: 6, play: playRepeatedTrials},
	"false-promise":   {routers: 2, workers: 7, play: playFalsePromise},
	"late-crash":      {routers: 2, workers: 3, engines: 6, play: playLateCrash},
}

// bed is a deployment that serves.
type bed struct {
	fleet   *fleet
	pool    *pool // workers of the plain service
	engines *pool
	record  *record
	trouble bool
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	err := play(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err == nil:
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(1)
	default:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}

func play(name, root, folder string) error {
	chosen, found := scenarios[name]
	if !found {
		return fmt.Errorf("there is no case %s", name)
	}
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	f, err := newFleet(root, chosen.routers, log)
	if err != nil {
		return err
	}
	defer f.close()
	b := &bed{fleet: f, record: log, trouble: os.Getenv("TROUBLE") != "0"}
	b.pool = &pool{fleet: f, record: log, service: service, subnet: 64, work: 30 * time.Millisecond}
	defer b.pool.close()
	b.engines = &pool{fleet: f, record: log, service: serviceEngines, subnet: 65}
	defer b.engines.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := b.begin(ctx, chosen); err != nil {
		return err
	}
	err = chosen.play(b)
	if err != nil {
		log.add("%v", err)
	}
	return err
}

// begin starts the system and the workers, sends the first configuration, and waits until all serve.
func (b *bed) begin(ctx context.Context, chosen scenario) error {
	if err := b.fleet.startAll(b.fleet.all()...); err != nil {
		return err
	}
	b.fleet.bootstrap = false
	go b.fleet.watchReady(ctx)
	if err := b.fleet.submit(configuration(1), 15*time.Second); err != nil {
		return fmt.Errorf("the first configuration was not acknowledged: %w", err)
	}
	for i := range chosen.workers {
		if _, err := b.pool.start(zones[i%len(zones)], ""); err != nil {
			return err
		}
	}
	for i := range chosen.engines {
		if _, err := b.engines.start(zones[i%len(zones)], ""); err != nil {
			return err
		}
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(6 * time.Second)
	probe := &client{fleet: b.fleet, record: b.record}
	defer probe.close()
	if r := probe.send(ctx, call{method: "GET", path: pathLookup + "probe", key: keyClub, deadline: 2500 * time.Millisecond}); r.status != 200 {
		return fmt.Errorf("the system does not serve: status %d %s", r.status, r.problem)
	}
	return nil
}

// configuration returns a whole configuration.
func configuration(version int) map[string]any {
	route := func(name, path, kind, service string, timeout, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 250, "target_gap_ms": 200, "priority": 2,
			"service": service, "max_attempts": attempts, "allow_anonymous": false, "sticky": false, "stream_resume": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-lookup", pathLookup, "idempotent", service, 2500, 2),
			route("r-confirm", pathConfirm, "non_idempotent", service, 2500, 2),
			route("r-draft", pathDraft, "streaming", serviceEngines, 10000, 2),
		},
		"services": []any{
			map[string]any{"name": service, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": serviceEngines, "health_path": "/health", "max_connections": 240, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 32, "kv_capacity_tokens": 661046, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "moves": false, "backups": false, "stride": 7,
				"models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 480000,
		},
		"tenants": []any{
			map[string]any{"name": "hule930", "api_keys": []any{keyClub}, "priority": 1},
			map[string]any{"name": "pufi791", "api_keys": []any{keyOther}, "priority": 1},
		},
	}
}
