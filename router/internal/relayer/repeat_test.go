package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

const bids = "/v1/services/desk/bids"

// desk counts the bids that it starts.
type desk struct {
	started atomic.Int32
}

// serve runs a bid and answers it.
func (d *desk) serve(w http.ResponseWriter, r *http.Request, n int) {
	d.started.Add(1)
	well(w, r, n)
}

// dies runs a bid and breaks before the answer.
func (d *desk) dies(_ http.ResponseWriter, r *http.Request, _ int) {
	_, _ = io.Copy(io.Discard, r.Body)
	d.started.Add(1)
	panic(http.ErrAbortHandler)
}

func (f *fleet) bid(key, body string) answer {
	return f.call(http.MethodPost, bids, body, "Idempotency-Key", key)
}

// Symptom: a bid is doubled, or its caller never learns what became of it.
// Sequence: a bid is sent, and sent again with its key, after each way in which
// the first may have ended. Cause: keys that are not claimed before the first
// byte leaves, or outcomes that are not recorded.
func TestResendsOfBids(t *testing.T) {
	for name, test := range map[string]struct {
		endpoint func(d *desk) endpoint
		first    string // outcome and code
		second   string
		started  int32
	}{
		"answered": {
			endpoint: func(d *desk) endpoint { return d.serve },
			first:    "answered ", second: "answered ", started: 1,
		},
		"died": {
			endpoint: func(d *desk) endpoint { return d.dies },
			first:    "unknown endpoint_failed", second: "unknown key_spent", started: 1,
		},
		"not started, then well": {
			endpoint: func(d *desk) endpoint {
				return func(w http.ResponseWriter, r *http.Request, n int) {
					if n <= 2 { // the relayer tries the only endpoint a second time
						refuses(w, r, n)
						return
					}
					d.serve(w, r, n)
				}
			},
			first: "not-run no_endpoint", second: "answered ", started: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &desk{}
			f := newFleet(t, relayer.Limits{Attempts: 2}, test.endpoint(d))
			for _, want := range []string{test.first, test.second} {
				got := f.bid("lot-7", "12")
				require.Equal(t, want, got.headers.Get("X-Outcome")+" "+got.failure.Code)
				require.Equal(t, "lot-7", got.headers.Get("Idempotency-Key"))
				if want == "answered " {
					require.Equal(t, "POST /bids 12", got.body)
					require.Equal(t, http.StatusCreated, got.status)
				}
			}
			require.Equal(t, test.started, d.started.Load())
		})
	}
}

func TestKeyBelongsToOneRequest(t *testing.T) {
	d := &desk{}
	f := newFleet(t, relayer.Limits{}, d.serve)
	require.Equal(t, http.StatusCreated, f.bid("lot-7", "12").status)
	got := f.bid("lot-7", "13")
	require.Equal(t, http.StatusUnprocessableEntity, got.status)
	require.Equal(t, "key_reused", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.EqualValues(t, 1, d.started.Load())
}

// Symptom: bids are taken that no quorum knows of, or a zone without quorum
// serves nothing. Sequence: the keepers are out of reach; a bid, a read and a
// chat come. Cause: a claim that is optional, or one for everything.
func TestNoQuorum(t *testing.T) {
	d := &desk{}
	f := newFleet(t, relayer.Limits{}, d.serve)
	f.claimer.lost = true
	got := f.bid("lot-7", "12")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "no_quorum", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.NotEmpty(t, got.headers.Get("Retry-After"))
	require.Zero(t, d.started.Load())
	require.Equal(t, []string{"1 declined 0"}, f.endings(1))
	require.Equal(t, "GET /bids ", f.call(http.MethodGet, bids, "").body)
	require.Equal(t, whole, f.chat(true).text(t))
}

// Symptom: a bid is lost because one endpoint is away. Sequence: the first
// endpoint cannot be reached, or says that it did not start; another is well.
// Cause: a claim that is spent though nothing ran.
func TestClaimGoesToAnotherEndpoint(t *testing.T) {
	for name, gone := range map[string]bool{"unreachable": true, "not started": false} {
		t.Run(name, func(t *testing.T) {
			d := &desk{}
			f := newFleet(t, relayer.Limits{}, refuses, d.serve)
			if gone {
				f.unreachable(1)
			}
			require.Equal(t, http.StatusCreated, f.bid("lot-7", "12").status)
			require.EqualValues(t, 1, d.started.Load())
			require.Equal(t, 1, f.claimer.number, "claimed once")
		})
	}
}

// Symptom: a bid runs twice although it is sent once. Sequence: the endpoint's
// connection breaks after the bid was read; the bid has an Idempotency-Key and
// no body, or a short one. Cause: net/http, which sends such requests again by
// itself over a connection that it has used before.
func TestTransportDoesNotRepeat(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "short body": "12"} {
		t.Run(name, func(t *testing.T) {
			d := &desk{}
			f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
				if n <= 1 {
					d.serve(w, r, n)
					return
				}
				d.dies(w, r, n)
			})
			require.Equal(t, http.StatusCreated, f.bid("lot-1", body).status) // opens a connection that could be kept
			require.Equal(t, "endpoint_failed", f.bid("lot-2", body).failure.Code)
			require.EqualValues(t, 2, d.started.Load())
		})
	}
}

// Symptom: a caller whose connection broke never learns whether its bid was
// taken. Sequence: the bid runs; the caller goes away; the bid is answered; the
// caller sends it again. Cause: work that is cancelled, or an answer that is
// thrown away, because nobody waits for it.
func TestAnswerIsRecordedWithoutCaller(t *testing.T) {
	d := &desk{}
	started, proceed := make(chan struct{}), make(chan struct{})
	f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
		close(started)
		<-proceed
		d.serve(w, r, n)
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan answer, 1)
	go func() {
		done <- f.callAs(ctx, "house-token", http.MethodPost, bids, "12", "Idempotency-Key", "lot-7")
	}()
	receive(t, started)
	require.Equal(t, "key_spent", f.bid("lot-7", "12").failure.Code, "while it runs")
	cancel()
	receive(t, done)
	close(proceed)
	f.endings(2)
	got := f.bid("lot-7", "12")
	require.Equal(t, "POST /bids 12", got.body)
	require.Equal(t, "true", got.headers.Get("Idempotency-Replayed"))
	require.EqualValues(t, 1, d.started.Load())
}

// Symptom: of many resends at once, more than one runs. Sequence: the same bid
// comes many times at the same moment. Cause: looking up a key and taking it as
// two steps.
func TestManyResendsAtOnce(t *testing.T) {
	d := &desk{}
	f := newFleet(t, relayer.Limits{}, d.serve)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { f.bid("lot-7", "12") })
	}
	group.Wait()
	require.EqualValues(t, 1, d.started.Load())
	require.Equal(t, "POST /bids 12", f.bid("lot-7", "12").body)
}

func TestLargeAnswerIsRecordedWithoutBody(t *testing.T) {
	d := &desk{}
	f := newFleet(t, relayer.Limits{RecordBytes: 10}, d.serve)
	require.Equal(t, "POST /bids 12", f.bid("lot-7", "12").body)
	got := f.bid("lot-7", "12")
	require.Equal(t, http.StatusConflict, got.status)
	require.Equal(t, "key_spent", got.failure.Code)
	require.Equal(t, "unknown", got.headers.Get("X-Outcome"))
	require.Contains(t, got.failure.Message, "ran and was answered")
	require.EqualValues(t, 1, d.started.Load())
}

// Symptom: a chat that may not repeat runs again, or is resumed in the middle.
// Sequence: it is answered and sent again, streamed and whole; or its stream
// breaks. Cause: chats taken for repeatable whatever their callers say.
func TestChatsThatMayNotRepeat(t *testing.T) {
	once := []string{"X-Not-Repeatable", "yes", "Idempotency-Key", "draft-1"}
	t.Run("replayed", func(t *testing.T) {
		var started atomic.Int32
		f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
			started.Add(1)
			well(w, r, n)
		})
		for _, streamed := range []bool{true, false, true} {
			require.Equal(t, whole, f.chat(streamed, once...).text(t))
		}
		require.EqualValues(t, 1, started.Load())
	})
	t.Run("broken", func(t *testing.T) {
		f := newFleet(t, relayer.Limits{}, crashes(2), well)
		require.True(t, f.chat(true, once...).cut)
		require.Equal(t, "key_spent", f.chat(true, once...).failure.Code)
	})
}

func TestWhichCallsMayRepeat(t *testing.T) {
	for name, test := range map[string]struct {
		method, path string
		headers      []string
		claims       int
	}{
		"get":                     {method: "GET", path: bids},
		"get with a key":          {method: "GET", path: bids, headers: []string{"Idempotency-Key", "k"}},
		"put":                     {method: "PUT", path: bids},
		"post":                    {method: "POST", path: bids, claims: 1},
		"patch":                   {method: "PATCH", path: bids, claims: 1},
		"get that may not repeat": {method: "GET", path: bids, headers: []string{"X-Not-Repeatable", "yes"}, claims: 1},
		"post to a safe service":  {method: "POST", path: "/v1/services/safe/"},
		"get of a strict service": {method: "GET", path: "/v1/services/strict/", claims: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, relayer.Limits{}, well)
			got := f.call(test.method, test.path, "", test.headers...)
			require.Equal(t, http.StatusCreated, got.status)
			require.Equal(t, test.claims, f.claimer.number)
			require.Equal(t, test.claims == 1, got.headers.Get("Idempotency-Key") != "", "a minted key is told")
		})
	}
}

func TestMalformedKeyIsRefused(t *testing.T) {
	f := newFleet(t, relayer.Limits{}, well)
	for name, key := range map[string]string{"long": strings.Repeat("k", 256), "not ASCII": "lösung"} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, "bad_body", f.bid(key, "12").failure.Code, fmt.Sprint(key))
		})
	}
	require.Zero(t, f.claimer.number)
}
