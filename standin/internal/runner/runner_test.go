package runner

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/answerer"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/standin/internal/batcher"
	"shallotkeel.example/standin/internal/failer"
	"shallotkeel.example/standin/internal/journaler"
)

const chatRequest = `{"model":"draft-7b","messages":[{"role":"user","content":"hello"}],"max_tokens":8,"stream":true}`

// serve runs a stand-in's handlers and returns the URL, the stand-in and a channel
// that receives a value when the process would crash.
func serve(t *testing.T, kind string) (string, *standin, chan struct{}) {
	t.Helper()
	crashed := make(chan struct{}, 1)
	clock := clockwork.NewRealClock()
	s := &standin{
		settings: Settings{
			Type: kind, Slots: 2, TokenTime: loader.Duration{Duration: time.Millisecond}, Models: []string{"draft-7b"}, Fenced: true,
			Busy: loader.Duration{Duration: 2 * time.Millisecond},
		},
		clock: clock, log: zerolog.Nop(), journal: &journaler.Journaler{Clock: clock}, reporter: &reporter{},
		failer: &failer.Failer{Exit: func() { crashed <- struct{}{} }},
	}
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(s.handler(ctx))
	t.Cleanup(func() { server.Close(); cancel() })
	return server.URL, s, crashed
}

// answer is the answer of a stand-in to one request.
type answer struct {
	status int
	header http.Header
	text   string
}

func send(t *testing.T, method, url, body string, header map[string]string) answer {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	for key, value := range header {
		request.Header.Set(key, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return answer{status: response.StatusCode, header: response.Header, text: string(text)}
}

// joinTokens returns the text of the streamed tokens and the index of the first
// token.
func joinTokens(t *testing.T, stream string) (string, int) {
	t.Helper()
	var text strings.Builder
	first := -1
	for line := range strings.SplitSeq(stream, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found || data == "[DONE]" {
			continue
		}
		var event struct {
			ID      string `json:"id"`
			Index   *int   `json:"index_of_token"`
			Choices []struct {
				Delta answerer.Message `json:"delta"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal([]byte(data), &event))
		require.Equal(t, "r1", event.ID)
		if event.Index != nil && first < 0 {
			first = *event.Index
		}
		text.WriteString(event.Choices[0].Delta.Content)
	}
	return text.String(), first
}

func TestCompletions(t *testing.T) {
	prompt := "hello\n"
	complete := answerer.Text("draft-7b", prompt, 8)
	tests := map[string]struct {
		header map[string]string
		body   string
		faults failer.Faults
		status int
		first  int
		want   string
	}{
		"streamed": {body: chatRequest, status: http.StatusOK, want: complete},
		"resumed": {
			body: chatRequest, header: map[string]string{"X-Resume-From": "2"}, status: http.StatusOK, first: 2, want: complete[10:],
		},
		"refused": {body: chatRequest, faults: failer.Faults{Refuse: true}, status: http.StatusServiceUnavailable},
		"model that is not loaded": {
			body: strings.Replace(chatRequest, "draft-7b", "other", 1), status: http.StatusNotFound,
		},
		"malformed": {body: "{", status: http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			url, s, _ := serve(t, TypeModel)
			s.failer.Set(test.faults)
			header := map[string]string{"X-Request-Id": "r1"}
			for key, value := range test.header {
				header[key] = value
			}
			got := send(t, http.MethodPost, url+"/v1/chat/completions", test.body, header)
			require.Equal(t, test.status, got.status)
			require.Equal(t, "r1", got.header.Get("X-Request-Id"))
			if test.status != http.StatusOK {
				require.Equal(t, "no", got.header.Get("X-Started"))
				require.Empty(t, s.journal.Executions().Executions)
				return
			}
			text, first := joinTokens(t, got.text)
			require.Equal(t, test.want, text)
			require.Equal(t, test.first, first)
			require.True(t, strings.HasSuffix(got.text, "data: [DONE]\n\n"))
			require.Equal(t, map[string]int{"r1": 1}, s.journal.Executions().Executions)
		})
	}
}

func TestCompleteAnswer(t *testing.T) {
	url, _, _ := serve(t, TypeModel)
	text := send(t, http.MethodPost, url+"/v1/chat/completions", strings.Replace(chatRequest, "true", "false", 1), nil).text
	var completion struct {
		Choices []struct {
			Message answerer.Message `json:"message"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(text), &completion))
	require.Equal(t, answerer.Text("draft-7b", "hello\n", 8), completion.Choices[0].Message.Content)
}

// Guards against a cancelled stream that ends cleanly, which a caller would take
// as a complete answer.
func TestCancelledStreamIsTruncated(t *testing.T) {
	url, s, _ := serve(t, TypeModel)
	s.failer.Set(failer.Faults{Hang: true})
	go func() {
		for s.engine.CancelByID("r1") == 0 {
			time.Sleep(time.Millisecond)
		}
	}()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chatRequest))
	require.NoError(t, err)
	request.Header.Set("X-Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
	}
	require.Error(t, err)
}

func TestCrashEndsTheProcessOnlyForTheMarkedBody(t *testing.T) {
	url, s, crashed := serve(t, TypeModel)
	s.failer.Set(failer.Faults{CrashOn: "poison"})
	send(t, http.MethodPost, url+"/v1/chat/completions", chatRequest, nil)
	require.Empty(t, crashed)
	send(t, http.MethodPost, url+"/v1/chat/completions", strings.Replace(chatRequest, "hello", "poison", 1), nil)
	require.Len(t, crashed, 1)
}

func TestPlainCountsByIdempotencyKey(t *testing.T) {
	url, _, _ := serve(t, TypePlain)
	for range 2 {
		text := send(t, http.MethodPost, url+"/confirm/7?day=2", "body", map[string]string{"Idempotency-Key": "k", "X-Workspace": "w"}).text
		require.Equal(t, answerer.Plain(http.MethodPost, "/confirm/7?day=2", []byte("body")), text)
	}
	send(t, http.MethodGet, url+"/list", "", map[string]string{"X-Request-Id": "r2"})
	text := send(t, http.MethodGet, url+"/control/executions", "", nil).text
	require.JSONEq(t, `{"executions":{"k":2,"r2":1},"running":0}`, text)
	service := send(t, http.MethodGet, url+"/control/service", "", nil).text
	require.JSONEq(t, `{"workspaces":{"w":4,"":2}}`, service)
}

func TestOrders(t *testing.T) {
	tests := map[string]struct {
		fenced bool
		status int
		models []string
	}{
		"a fenced engine refuses a stale fencing number": {fenced: true, status: http.StatusConflict, models: []string{"draft-7b", "m8"}},
		"an unfenced engine obeys it":                    {status: http.StatusNoContent, models: []string{"draft-7b", "m8", "m7"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			url, s, _ := serve(t, TypeModel)
			s.control.Fenced = test.fenced
			send(t, http.MethodPost, url+"/control/orders", `{"fence":8,"order":"load","model":"m8"}`, nil)
			got := send(t, http.MethodPost, url+"/control/orders", `{"fence":7,"order":"load","model":"m7"}`, nil)
			require.Equal(t, test.status, got.status)
			require.Equal(t, test.models, s.completer.Models())
			require.Equal(t, uint64(8), s.control.Fence())
		})
	}
}

func TestImportedCacheIsUsedForTheSamePromptOnly(t *testing.T) {
	url, s, _ := serve(t, TypeModel)
	send(t, http.MethodPost, url+"/v1/chat/completions", chatRequest, map[string]string{"X-Request-Id": "r1"})
	cache := send(t, http.MethodGet, url+"/control/kv/r1", "", nil).text
	other, o, _ := serve(t, TypeModel)
	send(t, http.MethodPut, other+"/control/kv/r1", cache, nil)
	require.True(t, o.completer.Caches.HasImported("r1", "hello\n"))
	require.False(t, o.completer.Caches.HasImported("r1", "other\n"))
	require.False(t, s.completer.Caches.HasImported("r1", "hello\n"))
}

func TestReporterDelaysAndDropsEvents(t *testing.T) {
	start := time.Unix(0, 0)
	r := &reporter{eventDelay: time.Second, loadLag: 2 * time.Second, random: rand.New(rand.NewPCG(1, 0))}
	r.addEvent(start, batcher.CacheEvent{Prefix: 5})
	r.addEvent(start, batcher.CacheEvent{Prefix: 6, Evicted: true})
	cached, evicted := r.dueEvents(start)
	require.Empty(t, append(cached, evicted...))
	cached, evicted = r.dueEvents(start.Add(time.Second))
	require.Equal(t, [][]uint64{{5}, {6}}, [][]uint64{cached, evicted})
	loads := make([]int, 0, 4)
	for i := range 4 {
		loads = append(loads, r.laggedLoad(start.Add(time.Duration(i)*time.Second), 10+i))
	}
	require.Equal(t, []int{0, 0, 10, 11}, loads)
	r.eventLoss = 1
	r.addEvent(start, batcher.CacheEvent{Prefix: 7})
	cached, _ = r.dueEvents(start.Add(time.Hour))
	require.Empty(t, cached)
}

// Guards against a planned stop that closes the listener first and so fails the
// requests that routers still send: the endpoint announces that it leaves,
// finishes its requests, withdraws, and only then closes.
func TestPlannedStopFinishesRunningRequests(t *testing.T) {
	received := make(chan string, 64)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		verb := r.Method
		if strings.Contains(string(text), `"leaving":true`) {
			verb = "LEAVING"
		}
		received <- verb
		w.WriteHeader(http.StatusNoContent)
	}))
	defer router.Close()
	listen := freeAddress(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, Settings{
			Name: "m1", Listen: listen, Routers: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(router.URL, "http://"))},
			Type: TypeModel, Service: "modelli", Slots: 1, Models: []string{"draft-7b"},
			TTL: loader.Duration{Duration: 3 * time.Second}, TokenTime: loader.Duration{Duration: 20 * time.Millisecond},
		}, clockwork.NewRealClock(), zerolog.Nop())
	}()
	require.Equal(t, "POST", <-received)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listen.String()+"/v1/chat/completions", strings.NewReader(chatRequest))
	require.NoError(t, err)
	request.Header.Set("X-Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	cancel()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	got, _ := joinTokens(t, string(text))
	require.Equal(t, answerer.Text("draft-7b", "hello\n", 8), got)
	require.NoError(t, <-ended)
	require.Equal(t, []string{"LEAVING", "DELETE"}, []string{<-received, <-received})
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestRefusalsAskForBackoff(t *testing.T) {
	tests := map[string]struct {
		kind, method, path, body string
	}{
		"model": {TypeModel, http.MethodPost, "/v1/chat/completions", chatRequest},
		"plain": {TypePlain, http.MethodGet, "/x", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			url, s, _ := serve(t, test.kind)
			s.failer.Set(failer.Faults{Refuse: true, Backoff: 2.5})
			got := send(t, test.method, url+test.path, test.body, nil)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Equal(t, "2.5", got.header.Get("Retry-After"))
			require.Equal(t, "no", got.header.Get("X-Started"))
			s.failer.Set(failer.Faults{Refuse: true})
			require.Empty(t, send(t, test.method, url+test.path, test.body, nil).header.Get("Retry-After"))
		})
	}
}

func TestAnswersCarryLeavingHeader(t *testing.T) {
	url, s, _ := serve(t, TypePlain)
	s.leaving = make(chan struct{})
	require.Empty(t, send(t, http.MethodGet, url+"/x", "", nil).header.Get("X-Leaving"))
	s.failer.Set(failer.Faults{Leaving: true})
	require.Equal(t, "1", send(t, http.MethodGet, url+"/x", "", nil).header.Get("X-Leaving"))
	require.False(t, s.describe().Leaving, "the fault does not change announcements")
	s.failer.Set(failer.Faults{})
	close(s.leaving)
	require.Equal(t, "1", send(t, http.MethodGet, url+"/x", "", nil).header.Get("X-Leaving"))
	require.True(t, s.describe().Leaving)
}
