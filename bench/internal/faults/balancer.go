package faults

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// balancer stands for the platform's: it asks every router whether it is
// ready, and callers send only to those that are.
type balancer struct {
	targets []string
	stop    context.CancelFunc
	done    sync.WaitGroup

	lock  sync.Mutex
	state map[string]bool
}

func newBalancer(targets []string) *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{targets: targets, stop: cancel, state: make(map[string]bool)}
	for _, target := range targets {
		b.state[target] = true
		b.done.Go(func() { b.watch(ctx, target) })
	}
	return b
}

func (b *balancer) close() {
	b.stop()
	b.done.Wait()
}

func (b *balancer) ready(target string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.state[target]
}

func (b *balancer) watch(ctx context.Context, target string) {
	for ctx.Err() == nil {
		ready := probe(ctx, target)
		b.lock.Lock()
		b.state[target] = ready
		b.lock.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

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
