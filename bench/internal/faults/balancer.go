package faults

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// balancer simulates the platform's load balancer: it polls the readiness of
// every router, and clients send only to routers that are ready.
type balancer struct {
	targets  []string
	stop     context.CancelFunc
	watchers sync.WaitGroup

	lock      sync.Mutex
	readiness map[string]bool // by target, from the last probe
}

// newBalancer starts one probing goroutine for each target; targets count as
// ready until their first probe.
func newBalancer(targets []string) *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{targets: targets, stop: cancel, readiness: make(map[string]bool)}
	for _, target := range targets {
		b.readiness[target] = true
		b.watchers.Go(func() { b.watch(ctx, target) })
	}
	return b
}

func (b *balancer) close() {
	b.stop()
	b.watchers.Wait()
}

func (b *balancer) ready(target string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.readiness[target]
}

// watch probes one target until the balancer is closed.
func (b *balancer) watch(ctx context.Context, target string) {
	for ctx.Err() == nil {
		ready := probe(ctx, target)
		b.lock.Lock()
		b.readiness[target] = ready
		b.lock.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// probe reports whether the target answers /readyz with 200 within probeTimeout.
func probe(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
