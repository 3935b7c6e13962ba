package demo

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

// minSpans is the least number of spans of one request: the request of the caller at the
// router, and that of the router to the endpoint.
const minSpans = 2

// span is one span from a router's log.
type span struct {
	Router  string    `json:"-"`
	Message string    `json:"message"`
	Trace   string    `json:"trace"`
	ID      string    `json:"span"`
	Parent  string    `json:"parent"`
	Name    string    `json:"name"`
	Started time.Time `json:"started"`
	Took    float64   `json:"took_ms"`
}

// traceRequest sends one request with a trace id and waits until its spans are in the
// logs of the routers.
func (d *run) traceRequest() ([]span, error) {
	random := rand.New(rand.NewPCG(demoSeed, demoSeed))
	id := fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	planner := caller.NewPlanner(d.deployment.Workspaces[0].Name, d.deployment.Workspaces[0].Token,
		caller.Mix{Stream: 1, Models: d.deployment.Models, Bound: 16, Prompt: 600}, demoSeed+backlogSeed)
	request := planner.Next()
	request.Traceparent = fmt.Sprintf("00-%s-%016x-01", id, random.Uint64())
	c := caller.Caller{Client: caller.NewClient(), Clock: clockwork.NewRealClock(), Timeout: callTimeout}
	result := c.Call(context.Background(), d.fleet.Targets()[0], request)
	d.recorder.Add(result)
	if result.Ending != caller.Answered {
		return nil, merry.Errorf("%w: the traced request ended %s: %s", ErrDemo, result.Ending, result.Error)
	}
	deadline := time.Now().Add(spansTimeout)
	for {
		spans, err := d.readSpans(id)
		if err != nil || len(spans) >= minSpans {
			return spans, err
		}
		if time.Now().After(deadline) {
			return nil, merry.Errorf("%w: only %d spans of trace %s are in the routers' logs", ErrDemo, len(spans), id)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// readSpans returns the spans of a trace from the logs of all routers, in order of their
// start. Of spans with the same start the longest is first.
func (d *run) readSpans(id string) ([]span, error) {
	var spans []span
	for _, router := range d.fleet.Of(launcher.Router) {
		text, err := os.ReadFile(router.Process().Log)
		if err != nil {
			return nil, merry.Errorf("%w: %v", ErrDemo, err)
		}
		lines := bufio.NewScanner(bytes.NewReader(text))
		for lines.Scan() {
			if !strings.Contains(lines.Text(), id) {
				continue
			}
			s := span{Router: router.Name}
			if json.Unmarshal(lines.Bytes(), &s) == nil && s.Message == "span" {
				spans = append(spans, s)
			}
		}
	}
	slices.SortFunc(spans, func(a, b span) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(b.Took, a.Took))
	})
	return spans, nil
}

// depth returns the number of ancestors of a span among the spans.
func depth(spans []span, of span) int {
	for _, parent := range spans {
		if parent.ID == of.Parent {
			return 1 + depth(spans, parent)
		}
	}
	return 0
}
