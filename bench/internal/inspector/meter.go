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

// sampleEvery is how often the meter looks.
const sampleEvery = 100 * time.Millisecond

// Sample is the service that each workspace received up to a moment, in
// units of its service, over the sampled stand-ins.
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
			m.look(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(sampleEvery):
			}
		}
	})
}

// Stop ends sampling and returns the samples. A stand-in that did not answer
// once makes the series useless, and is an error.
func (m *Meter) Stop() ([]Sample, error) {
	m.stop()
	m.done.Wait()
	return m.samples, m.err
}

func (m *Meter) look(ctx context.Context) {
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

func serviceOf(ctx context.Context, standin *launcher.Node) (map[string]int64, error) {
	var service struct {
		Workspaces map[string]int64 `json:"workspaces"`
	}
	err := get(ctx, standin.URL()+"/control/service", "", &service)
	return service.Workspaces, err
}

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
		return merry.Errorf("%w: %s says %s", ErrInspect, url, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return merry.Errorf("%w: %s: %v", ErrInspect, url, err)
	}
	return nil
}

// Between returns the samples from one time to another.
func Between(samples []Sample, from, to time.Time) []Sample {
	var inside []Sample
	for _, sample := range samples {
		if !sample.At.Before(from) && !sample.At.After(to) {
			inside = append(inside, sample)
		}
	}
	return inside
}

// Throughput returns the units a second that all workspaces received together.
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

// Gap returns the largest difference in weighted service that any two of the
// workspaces built up within the samples, over any stretch of them.
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

func spread(samples []Sample, value func(Sample) float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	least, most := value(samples[0]), value(samples[0])
	for _, sample := range samples {
		least, most = min(least, value(sample)), max(most, value(sample))
	}
	return most - least
}

// Starved names a workspace that received nothing within the samples, if any.
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
