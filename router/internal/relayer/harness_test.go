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
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/router/internal/relayer"
)

// patience bounds what a test waits for; it is never waited out by a pass.
const patience = 10 * time.Second

// fleet is a relayer between callers and scripted endpoints.
type fleet struct {
	*testing.T
	relayer  *relayer.Relayer
	url      string
	enroller *enroller
	claimer  *claimer
	clock    *clockwork.FakeClock // nil for the real one
	registry *prometheus.Registry

	lock       sync.Mutex
	quarantine map[uint64]bool
}

// endpoint is a script: what an endpoint does with the n-th request to it.
type endpoint func(w http.ResponseWriter, r *http.Request, n int)

// newFleet starts the endpoints, in the order in which slots are given out.
func newFleet(t *testing.T, limits relayer.Limits, endpoints ...endpoint) *fleet {
	return startFleet(t, clockwork.NewRealClock(), limits, endpoints...)
}

// frozenFleet is one whose clock is advanced by the test.
func frozenFleet(t *testing.T, limits relayer.Limits, endpoints ...endpoint) *fleet {
	clock := clockwork.NewFakeClock()
	f := startFleet(t, clock, limits, endpoints...)
	f.clock = clock
	return f
}

func startFleet(t *testing.T, clock clockwork.Clock, limits relayer.Limits, endpoints ...endpoint) *fleet {
	f := &fleet{
		T: t, quarantine: make(map[uint64]bool), registry: prometheus.NewRegistry(),
		enroller: &enroller{suspects: make(map[string]bool), changed: make(chan struct{})}, claimer: &claimer{claims: make(map[string]*claim)},
	}
	for _, script := range endpoints {
		f.enroller.addresses = append(f.enroller.addresses, f.serve(script))
	}
	f.relayer = relayer.New(relayer.Options{
		Enroller: f.enroller, Ruler: rules{}, Claimer: f.claimer, Quarantine: f, Clock: clock,
		Log: zerolog.Nop(), Registry: f.registry, Zone: "trento-a", Name: "router-a1", Limits: limits,
	})
	mux := http.NewServeMux()
	f.relayer.Register(mux)
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnContext = framer.WithConn
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *fleet) serve(script endpoint) netip.AddrPort {
	var lock sync.Mutex
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lock.Lock()
		calls++
		n := calls
		lock.Unlock()
		script(w, r, n)
	}))
	f.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Quarantined implements relayer.Quarantine.
func (f *fleet) Quarantined(digest uint64) (time.Duration, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return time.Minute, f.quarantine[digest]
}

// Publish implements relayer.Quarantine.
func (f *fleet) Publish(digest uint64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.quarantine[digest] = true
}

type rules struct{}

func (rules) Rules() *matcher.Rules {
	objects := make(map[describer.Key]describer.Object)
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

// enroller gives out one slot after the other, avoided endpoints left out, and
// waits for ever when it is closed.
type enroller struct {
	lock      sync.Mutex
	addresses []netip.AddrPort
	closed    bool
	waiting   []relayer.Waiting
	finished  []string // "endpoint ending units"
	suspects  map[string]bool
	changed   chan struct{}
}

func (e *enroller) Enrol(ctx context.Context, waiting relayer.Waiting) (relayer.Slot, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.waiting = append(e.waiting, waiting)
	e.signal()
	if len(waiting.Avoid) >= len(e.addresses) && !e.closed {
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

// choose returns the first endpoint that is not avoided and, for a suspect, runs
// no other suspect.
func (e *enroller) choose(waiting relayer.Waiting) relayer.Slot {
	for n, address := range e.addresses {
		id := strconv.Itoa(n + 1)
		if e.closed || slices.Contains(waiting.Avoid, id) || waiting.Alone && e.suspects[id] {
			continue
		}
		if waiting.Alone {
			e.suspects[id] = true
		}
		return &slot{enroller: e, id: id, address: address, alone: waiting.Alone}
	}
	return nil
}

func (e *enroller) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// await waits until the enroller's state is as wanted.
func (e *enroller) await(t *testing.T, what string, wanted func() bool) {
	timeout := time.After(patience)
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
			require.Fail(t, "waited in vain", what)
		}
	}
}

// endings waits for so many attempts to be over and returns how they ended.
func (f *fleet) endings(n int) []string {
	f.enroller.await(f.T, "endings", func() bool { return len(f.enroller.finished) >= n })
	f.enroller.lock.Lock()
	defer f.enroller.lock.Unlock()
	return slices.Clone(f.enroller.finished)
}

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
	s.enroller.finished = append(s.enroller.finished, fmt.Sprintf("%s %s %d", s.id, words[finish.Ending], finish.Charged))
	s.enroller.signal()
}

var words = map[scheduler.Ending]string{
	scheduler.Done: "done", scheduler.Cancelled: "cancelled", scheduler.Refused: "refused",
	scheduler.Failed: "failed", scheduler.Unreachable: "unreachable", scheduler.Declined: "declined",
}

// claimer keeps claims as the keepers do.
type claimer struct {
	lock   sync.Mutex
	lost   bool // no quorum
	number int
	claims map[string]*claim
}

type claim struct {
	digest uint64
	owner  string
	answer []byte
}

func (c *claimer) Claim(_ context.Context, entry *messenger.ClaimEntry) (*messenger.ClaimResult, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.number++
	entry.Owner = strconv.Itoa(c.number)
	if c.lost {
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
	known.answer, _ = proto.Marshal(entry.Answer)
}

// answer is what a caller got.
type answer struct {
	status  int
	headers http.Header
	body    string
	cut     bool // the connection was aborted
	framed  bool // its end can be told from that of its connection
	failure reporter.FailureBody
}

// call sends a request as the workspace house.
func (f *fleet) call(method, path, body string, headers ...string) answer {
	return f.callAs(f.Context(), "house-token", method, path, body, headers...)
}

func (f *fleet) callAs(ctx context.Context, token, method, path, body string, headers ...string) answer {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	require.NoError(f, err)
	request.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{cut: true}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, headers: response.Header, body: string(text), cut: err != nil}
	got.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	var failure reporter.Failure
	if json.Unmarshal(text, &failure) == nil {
		got.failure = failure.Error
	}
	return got
}

const chatPath = "/v1/chat/completions"

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"draft-7b","messages":[{"role":"user","content":"hello"}],"max_tokens":6,"stream":%t}`, stream)
}

func (f *fleet) chat(stream bool, headers ...string) answer {
	return f.call(http.MethodPost, chatPath, chatBody(stream), headers...)
}

// text joins the tokens of a streamed answer that ended cleanly.
func (a answer) text(t *testing.T) string {
	require.False(t, a.cut, "the answer was cut")
	require.Equal(t, "answered", a.headers.Get("X-Outcome"), a.body)
	if !strings.HasPrefix(a.headers.Get("Content-Type"), "text/event-stream") {
		var whole struct {
			Choices []struct{ Message struct{ Content string } }
		}
		require.NoError(t, json.Unmarshal([]byte(a.body), &whole))
		return whole.Choices[0].Message.Content
	}
	require.Equal(t, 1, strings.Count(a.body, "[DONE]"))
	return tokens(a.body)
}

// tokens joins the tokens of a stream, wherever it ends.
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

// length and whole are the scripted engines' answer.
const (
	length = 6
	whole  = "t0 t1 t2 t3 t4 t5 "
)

// event writes one token of a request's answer.
func event(w http.ResponseWriter, id string, i int) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"index_of_token\":%d,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, i, i)
	_ = http.NewResponseController(w).Flush()
}

// finish writes the end of an answer.
func finish(w http.ResponseWriter, id string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", id, length)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// stream writes an answer from where the request asks for up to a token.
func stream(w http.ResponseWriter, r *http.Request, upTo int) {
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	_, _ = io.Copy(io.Discard, r.Body)
	for i := from; i < upTo; i++ {
		event(w, r.Header.Get("X-Request-Id"), i)
	}
}

// well answers chats and plain calls.
func well(w http.ResponseWriter, r *http.Request, _ int) {
	if r.URL.Path != chatPath {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
		return
	}
	stream(w, r, length)
	finish(w, r.Header.Get("X-Request-Id"))
}

// crashes breaks the connection after so many tokens, as a process that dies.
func crashes(after int) endpoint {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		stream(w, r, after)
		panic(http.ErrAbortHandler)
	}
}

// refuses says that it did not start the request.
func refuses(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("X-Started", "no")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hangs sends some tokens and then nothing until the router goes away.
func hangs(after int, cancelled chan<- struct{}) endpoint {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		stream(w, r, after)
		<-r.Context().Done()
		if cancelled != nil {
			cancelled <- struct{}{}
		}
	}
}

// unreachable replaces the n-th endpoint's address by one where nobody listens. It stays taken,
// so that no other test gets it meanwhile.
func (f *fleet) unreachable(n int) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(f, err)
	f.Cleanup(func() { syscall.Close(socket) }) //nolint:errcheck // nothing was written
	require.NoError(f, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(socket)
	require.NoError(f, err)
	address, ok := bound.(*syscall.SockaddrInet4)
	require.True(f, ok)
	f.enroller.addresses[n-1] = netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
}

// metric returns a counter's value, by name and labels as in the text format.
func (f *fleet) metric(series string) float64 {
	families, err := f.registry.Gather()
	require.NoError(f, err)
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

// receive waits for a signal of a script.
func receive[T any](t *testing.T, from <-chan T) T {
	select {
	case value := <-from:
		return value
	case <-time.After(patience):
		require.Fail(t, "no signal came")
		panic("unreachable")
	}
}

// lines is a caller that reads a stream line by line.
type lines struct {
	*bufio.Reader
	response *http.Response
}

func (f *fleet) open(ctx context.Context, body string) lines {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+chatPath, strings.NewReader(body))
	require.NoError(f, err)
	request.Header.Set("Authorization", "Bearer house-token")
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(f, err)
	f.Cleanup(func() { response.Body.Close() })
	return lines{bufio.NewReader(response.Body), response}
}
