package inspector

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
)

// sampleInterval is the interval between the samples of a meter.
const sampleInterval = 100 * time.Millisecond

// Sample is the service that each workspace received from all sampled stand-ins up to a
// moment, in units of their service.
type Sample struct {
	At         time.Time
	Workspaces map[string]float64
}

// Meter samples the service of stand-ins while a load runs.
type Meter struct {
	Standins []*launcher.Node

	samples []Sample
	err     error
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// Start begins sampling.
func (m *Meter) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.done.Go(func() {
		for ctx.Err() == nil {
			m.sample(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(sampleInterval):
			}
		}
	})
}

// Stop ends sampling and returns the samples. It returns an error if a stand-in failed to
// answer even once, because the series then has gaps.
func (m *Meter) Stop() ([]Sample, error) {
	m.stop()
	m.done.Wait()
	return m.samples, m.err
}

// sample queries all stand-ins and appends a sample.
func (m *Meter) sample(ctx context.Context) {
	sample := Sample{Workspaces: make(map[string]float64)}
	for _, standin := range m.Standins {
		service, err := serviceOf(ctx, standin)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.err = err
			return
		}
		for workspace, units := range service {
			sample.Workspaces[workspace] += float64(units)
		}
	}
	sample.At = time.Now()
	m.samples = append(m.samples, sample)
}

// serviceOf returns the units that a stand-in has served, by workspace.
func serviceOf(ctx context.Context, standin *launcher.Node) (map[string]int64, error) {
	var service struct {
		Workspaces map[string]int64 `json:"workspaces"`
	}
	err := get(ctx, standin.URL()+"/control/service", "", &service)
	return service.Workspaces, err
}

// get decodes the JSON body of an answer, which must have status 200.
func get(ctx context.Context, url, token string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return merry.Errorf("%w: %v", ErrInspect, err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Errorf("%w: %v", ErrInspect, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("%w: %s answered with status %s, want 200", ErrInspect, url, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return merry.Errorf("%w: %s: %v", ErrInspect, url, err)
	}
	return nil
}

// Between returns the samples from one time to another, both included.
func Between(samples []Sample, from, to time.Time) []Sample {
	var selected []Sample
	for _, sample := range samples {
		if !sample.At.Before(from) && !sample.At.After(to) {
			selected = append(selected, sample)
		}
	}
	return selected
}

// Throughput returns the units per second that all workspaces together received.
func Throughput(samples []Sample) float64 {
	if len(samples) < 2 {
		return 0
	}
	first, last := samples[0], samples[len(samples)-1]
	total := 0.0
	for units := range maps.Values(last.Workspaces) {
		total += units
	}
	for units := range maps.Values(first.Workspaces) {
		total -= units
	}
	return total / last.At.Sub(first.At).Seconds()
}

// Gap returns the largest difference between the service of any two of the workspaces over
// any interval within the samples, in units divided by weight.
func Gap(samples []Sample, weights map[string]float64) float64 {
	gap := 0.0
	for a, weightA := range weights {
		for b, weightB := range weights {
			if a >= b {
				continue
			}
			gap = max(gap, spread(samples, func(s Sample) float64 {
				return s.Workspaces[a]/weightA - s.Workspaces[b]/weightB
			}))
		}
	}
	return gap
}

// spread returns the difference between the largest and the smallest value of the samples.
func spread(samples []Sample, value func(Sample) float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	lowest, highest := value(samples[0]), value(samples[0])
	for _, sample := range samples {
		lowest, highest = min(lowest, value(sample)), max(highest, value(sample))
	}
	return highest - lowest
}

// Starved returns a workspace that received no service within the samples, if there is
// one.
func Starved(samples []Sample, weights map[string]float64) (workspace string, starved bool) {
	if len(samples) == 0 {
		return "", false
	}
	first, last := samples[0], samples[len(samples)-1]
	for name := range weights {
		if last.Workspaces[name] <= first.Workspaces[name] {
			return name, true
		}
	}
	return "", false
}
