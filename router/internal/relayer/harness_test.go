package relayer_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/router/internal/relayer"
)

// waitTimeout is the maximum time for which a test waits for an event. A passing test never waits so
// long.
const waitTimeout = 10 * time.Second

// testbed is a Relayer between a test's caller and scripted endpoints, with stubs of its dependencies. It
// is also the stub of the quarantine.
type testbed struct {
	*testing.T
	relayer  *relayer.Relayer
	url      string
	enroller *enroller
	claimer  *claimer
	crashes  *localizer.Observer
	rules    rules
	clock    *clockwork.FakeClock // nil if the testbed uses the real clock
	registry *prometheus.Registry

	lock       sync.Mutex
	quarantine map[uint64]bool
}

// endpoint is the script of an endpoint: it serves the n-th request to the endpoint.
type endpoint func(w http.ResponseWriter, r *http.Request, n int)

// newTestbed starts a testbed with the real clock. The enroller prefers the endpoints in their order.
func newTestbed(t *testing.T, limits relayer.Limits, endpoints ...endpoint) *testbed {
	return startTestbed(t, clockwork.NewRealClock(), limits, endpoints...)
}

// newFakeClockTestbed starts a testbed whose clock the test advances.
func newFakeClockTestbed(t *testing.T, limits relayer.Limits, endpoints ...endpoint) *testbed {
	clock := clockwork.NewFakeClock()
	tb := startTestbed(t, clock, limits, endpoints...)
	tb.clock = clock
	return tb
}

// startTestbed starts a testbed with a clock.
func startTestbed(t *testing.T, clock clockwork.Clock, limits relayer.Limits, endpoints ...endpoint) *testbed {
	tb := &testbed{
		T: t, quarantine: make(map[uint64]bool), registry: prometheus.NewRegistry(),
		enroller: &enroller{suspects: make(map[string]bool), changed: make(chan struct{})}, claimer: &claimer{claims: make(map[string]*claim)},
		crashes: &localizer.Observer{},
	}
	for _, script := range endpoints {
		tb.enroller.addresses = append(tb.enroller.addresses, tb.serve(script))
	}
	tb.relayer = relayer.New(relayer.Options{
		Enroller: tb.enroller, Ruler: &tb.rules, Claimer: tb.claimer, Quarantine: tb, Crashes: tb.crashes, Clock: clock,
		Log: zerolog.Nop(), Registry: tb.registry, Zone: "trento-a", Name: "router-a1", Limits: limits,
	})
	mux := http.NewServeMux()
	tb.relayer.Register(mux)
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnContext = framer.WithConn
	server.Start()
	t.Cleanup(server.Close)
	tb.url = server.URL
	return tb
}

// serve starts the server of an endpoint and returns its address.
func (tb *testbed) serve(script endpoint) netip.AddrPort {
	var lock sync.Mutex
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lock.Lock()
		calls++
		n := calls
		lock.Unlock()
		script(w, r, n)
	}))
	tb.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Quarantined implements relayer.Quarantine.
func (tb *testbed) Quarantined(digest uint64) (time.Duration, bool) {
	tb.lock.Lock()
	defer tb.lock.Unlock()
	return time.Minute, tb.quarantine[digest]
}

// Publish implements relayer.Quarantine.
func (tb *testbed) Publish(digest uint64) {
	tb.lock.Lock()
	defer tb.lock.Unlock()
	tb.quarantine[digest] = true
}

// rules is a stub of relayer.Ruler. The workspace club may have two requests waiting; only the
// workspace house may use the service desk.
type rules struct {
	starting atomic.Bool // there are no rules yet
	arriving atomic.Bool // the rules arrive right after they were first read
	outdated atomic.Bool // newer rules may exist
}

func (r *rules) Current() bool { return !r.starting.Load() && !r.outdated.Load() }

func (r *rules) Rules() *matcher.Rules {
	objects := make(map[describer.Key]describer.Object)
	if r.starting.Load() {
		r.starting.Store(!r.arriving.Load())
		return matcher.Compile(describer.Snapshot{})
	}
	for _, object := range []describer.Object{
		{Kind: describer.Workspace, Name: "club", Labels: map[string]string{"token": matcher.Digest("club-token"), "queue": "2"}},
		{Kind: describer.Workspace, Name: "house", Labels: map[string]string{"token": matcher.Digest("house-token"), "tier": "house"}},
		{Kind: describer.Service, Name: "modelli", Labels: map[string]string{"type": "model", "model.draft-7b": "yes"}},
		{Kind: describer.Service, Name: "app", Labels: map[string]string{"type": "plain"}},
		{Kind: describer.Service, Name: "safe", Labels: map[string]string{"type": "plain", "repeat": "safe"}},
		{Kind: describer.Service, Name: "strict", Labels: map[string]string{"type": "plain", "repeat": "never"}},
		{Kind: describer.Service, Name: "desk", Labels: map[string]string{"type": "plain"}, Selector: "tier=house"},
	} {
		objects[object.Key()] = object
	}
	return matcher.Compile(describer.Snapshot{Revision: 1, Objects: objects})
}

// enroller is a stub of relayer.Enroller. It grants slots without a limit, at the first endpoint that
// the request does not avoid. While it is paused, requests wait until their context ends.
type enroller struct {
	lock      sync.Mutex
	addresses []netip.AddrPort
	paused    bool
	waiting   []relayer.WaitingRequest
	finished  []string        // "ENDPOINT ENDING UNITS" of each finished attempt
	suspects  map[string]bool // endpoints that run a suspect request
	down      map[string]bool // endpoints that have crashed
	changed   chan struct{}   // closed and replaced at each change of the state
}

func (e *enroller) Enrol(ctx context.Context, waiting relayer.WaitingRequest) (relayer.Slot, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.waiting = append(e.waiting, waiting)
	e.signal()
	if len(waiting.Avoid) >= len(e.addresses) && !e.paused {
		return nil, &relayer.Refused{Code: "no_endpoint", Retry: 3 * time.Second}
	}
	for {
		if slot := e.choose(waiting); slot != nil {
			return slot, nil
		}
		changed := e.changed
		e.lock.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		e.lock.Lock()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// pause sets whether requests wait for their slots.
func (e *enroller) pause(paused bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.paused = paused
	e.signal()
}

// choose returns a slot at the first endpoint that is not avoided and, for a suspect request, runs no
// other suspect request. It returns nil if there is none.
func (e *enroller) choose(waiting relayer.WaitingRequest) relayer.Slot {
	for n, address := range e.addresses {
		id := strconv.Itoa(n + 1)
		if e.paused || e.down[id] || slices.Contains(waiting.Avoid, id) || waiting.Alone && e.suspects[id] {
			continue
		}
		if waiting.Alone {
			e.suspects[id] = true
		}
		return &slot{enroller: e, id: id, address: address, alone: waiting.Alone}
	}
	return nil
}

// signal announces a change of the state. The lock must be held.
func (e *enroller) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// await waits until a condition on the enroller's state holds.
func (e *enroller) await(t *testing.T, what string, wanted func() bool) {
	timeout := time.After(waitTimeout)
	for {
		e.lock.Lock()
		done, changed := wanted(), e.changed
		e.lock.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			require.Fail(t, "timed out waiting", what)
		}
	}
}

// endings waits for n attempts to finish and returns the endings of all finished attempts.
func (tb *testbed) endings(n int) []string {
	tb.enroller.await(tb.T, "endings", func() bool { return len(tb.enroller.finished) >= n })
	tb.enroller.lock.Lock()
	defer tb.enroller.lock.Unlock()
	return slices.Clone(tb.enroller.finished)
}

// slot is a stub of relayer.Slot.
type slot struct {
	enroller *enroller
	id       string
	address  netip.AddrPort
	alone    bool
}

func (s *slot) Endpoint() string        { return s.id }
func (s *slot) Incarnation() uint64     { return 1 }
func (s *slot) Address() netip.AddrPort { return s.address }
func (s *slot) Progress(uint32)         {}
func (s *slot) Finish(finish scheduler.Finish) {
	s.enroller.lock.Lock()
	defer s.enroller.lock.Unlock()
	if s.alone {
		delete(s.enroller.suspects, s.id)
	}
	s.enroller.finished = append(s.enroller.finished, fmt.Sprintf("%s %s %d", s.id, endingNames[finish.Ending], finish.Charged))
	s.enroller.signal()
}

// endingNames are the names of endings in enroller.finished.
var endingNames = map[scheduler.Ending]string{
	scheduler.Done: "done", scheduler.Cancelled: "cancelled", scheduler.Refused: "refused",
	scheduler.Failed: "failed", scheduler.Unreachable: "unreachable", scheduler.Declined: "declined",
}

// claimer is a stub of relayer.Claimer with the results that the keepers' replicated log would give.
type claimer struct {
	lock       sync.Mutex
	noQuorum   bool // claims fail, as without a quorum of keepers
	claimCount int  // of claims so far; it is the owner of the latest one
	claims     map[string]*claim
}

// claim is the state of one idempotency key.
type claim struct {
	digest uint64
	owner  string
	answer []byte
}

func (c *claimer) Claim(_ context.Context, entry *messenger.ClaimEntry) (*messenger.ClaimResult, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.claimCount++
	entry.Owner = strconv.Itoa(c.claimCount)
	if c.noQuorum {
		return nil, io.ErrNoProgress
	}
	known, found := c.claims[entry.Key]
	switch {
	case !found:
		c.claims[entry.Key] = &claim{digest: entry.Digest, owner: entry.Owner}
		return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_GRANTED}, nil
	case known.digest != entry.Digest:
		return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_MISMATCH}, nil
	case known.answer == nil:
		return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_SPENT}, nil
	}
	return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_RECORDED, Recorded: known.answer}, nil
}

func (c *claimer) Record(entry *messenger.RecordEntry) {
	c.lock.Lock()
	defer c.lock.Unlock()
	known, found := c.claims[entry.Key]
	if !found || known.owner != entry.Owner {
		return
	}
	if entry.Answer.NotRun {
		delete(c.claims, entry.Key)
		return
	}
	if encoded, err := proto.Marshal(entry.Answer); err == nil {
		known.answer = encoded
	}
}

// answer is the answer as its caller received it.
type answer struct {
	status    int
	headers   http.Header
	body      string
	truncated bool // the connection was aborted
	framed    bool // it has a Content-Length or a Transfer-Encoding, so that a truncation can be detected
	failure   reporter.FailureBody
}

// call sends a request as the workspace house.
func (tb *testbed) call(method, path, body string, headers ...string) answer {
	return tb.callAs(tb.Context(), "house-token", method, path, body, headers...)
}

// callAs sends a request with a token and with headers as pairs of name and value.
func (tb *testbed) callAs(ctx context.Context, token, method, path, body string, headers ...string) answer {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, tb.url+path, strings.NewReader(body))
	require.NoError(tb, err)
	request.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{truncated: true}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, headers: response.Header, body: string(text), truncated: err != nil}
	got.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	var failure reporter.Failure
	if json.Unmarshal(text, &failure) == nil {
		got.failure = failure.Error
	}
	return got
}

const chatPath = "/v1/chat/completions"

// chatBody returns the body of a chat completion.
func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"draft-7b","messages":[{"role":"user","content":"hello"}],"max_tokens":6,"stream":%t}`, stream)
}

// chat sends a chat completion as the workspace house.
func (tb *testbed) chat(stream bool, headers ...string) answer {
	return tb.call(http.MethodPost, chatPath, chatBody(stream), headers...)
}

// text returns the text of a complete chat answer, streamed or not, and requires that it is complete.
func (a answer) text(t *testing.T) string {
	require.False(t, a.truncated, "the answer was truncated")
	require.Equal(t, "answered", a.headers.Get("X-Outcome"), a.body)
	if !strings.HasPrefix(a.headers.Get("Content-Type"), "text/event-stream") {
		var completion struct {
			Choices []struct{ Message struct{ Content string } }
		}
		require.NoError(t, json.Unmarshal([]byte(a.body), &completion))
		return completion.Choices[0].Message.Content
	}
	require.Equal(t, 1, strings.Count(a.body, "[DONE]"))
	return tokens(a.body)
}

// tokens returns the text of a stream, even of a truncated one.
func tokens(body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if data, found := strings.CutPrefix(line, "data: "); found && json.Unmarshal([]byte(data), &event) == nil {
			for _, choice := range event.Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
	}
	return text.String()
}

// answerTokens and fullAnswer are the number of tokens and the text of the scripted engines' answer.
const (
	answerTokens = 6
	fullAnswer   = "t0 t1 t2 t3 t4 t5 "
)

// event writes the event with the i-th token of a request's answer.
func event(w http.ResponseWriter, id string, i int) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"index_of_token\":%d,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, i, i)
	_ = http.NewResponseController(w).Flush()
}

// finish writes the events at the end of an answer.
func finish(w http.ResponseWriter, id string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", id, answerTokens)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// stream writes the tokens of an answer, from the index at which the request asks to resume up to upTo.
func stream(w http.ResponseWriter, r *http.Request, upTo int) {
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	_, _ = io.Copy(io.Discard, r.Body)
	for i := from; i < upTo; i++ {
		event(w, r.Header.Get("X-Request-Id"), i)
	}
}

// healthy is the script of an endpoint that answers chats and calls of plain services.
func healthy(w http.ResponseWriter, r *http.Request, _ int) {
	if r.URL.Path != chatPath {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
		return
	}
	stream(w, r, answerTokens)
	finish(w, r.Header.Get("X-Request-Id"))
}

// crashAfter returns the script of an endpoint whose connection breaks after a number of tokens, as if
// its process died.
func crashAfter(after int) endpoint {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		stream(w, r, after)
		panic(http.ErrAbortHandler)
	}
}

// refuseUnstarted is the script of an endpoint that answers that it did not start the request.
func refuseUnstarted(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("X-Started", "no")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hangAfter returns the script of an endpoint that stalls after a number of tokens, until the router
// disconnects.
func hangAfter(after int, cancelled chan<- struct{}) endpoint {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		stream(w, r, after)
		<-r.Context().Done()
		if cancelled != nil {
			cancelled <- struct{}{}
		}
	}
}

// makeUnreachable replaces the address of the n-th endpoint with one at which no process listens. The
// socket stays bound, so that no other test can listen at the address.
func (tb *testbed) makeUnreachable(n int) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(tb, err)
	tb.Cleanup(func() { syscall.Close(socket) }) //nolint:errcheck // nothing was written
	require.NoError(tb, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(socket)
	require.NoError(tb, err)
	address, ok := bound.(*syscall.SockaddrInet4)
	require.True(tb, ok)
	tb.enroller.addresses[n-1] = netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
}

// metric returns the value of a counter or gauge, or the count of a histogram. A series is written as
// NAME{LABEL=VALUE,...}. It returns 0 for an unknown series.
func (tb *testbed) metric(series string) float64 {
	families, err := tb.registry.Gather()
	require.NoError(tb, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, pair := range metric.GetLabel() {
				labels = append(labels, pair.GetName()+"="+pair.GetValue())
			}
			if family.GetName()+"{"+strings.Join(labels, ",")+"}" != series {
				continue
			}
			if histogram := metric.GetHistogram(); histogram != nil {
				return float64(histogram.GetSampleCount())
			}
			return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return 0
}

// receive waits for a value from a channel.
func receive[T any](t *testing.T, from <-chan T) T {
	select {
	case value := <-from:
		return value
	case <-time.After(waitTimeout):
		require.Fail(t, "timed out waiting for a value")
		panic("unreachable")
	}
}

// streamReader reads a streamed answer line by line.
type streamReader struct {
	*bufio.Reader
	response *http.Response
}

// openStream sends a chat completion as the workspace house and returns its answer unread.
func (tb *testbed) openStream(ctx context.Context, body string) streamReader {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, tb.url+chatPath, strings.NewReader(body))
	require.NoError(tb, err)
	request.Header.Set("Authorization", "Bearer house-token")
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(tb, err)
	tb.Cleanup(func() { response.Body.Close() })
	return streamReader{bufio.NewReader(response.Body), response}
}
