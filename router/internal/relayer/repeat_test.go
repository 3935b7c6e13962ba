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

// bids is the path of calls that must not run twice.
const bids = "/v1/services/desk/bids"

// desk is an endpoint that counts the bids it starts.
type desk struct {
	started atomic.Int32
}

// serve starts a bid and answers it.
func (d *desk) serve(w http.ResponseWriter, r *http.Request, n int) {
	d.started.Add(1)
	healthy(w, r, n)
}

// crash starts a bid and breaks its connection before the answer, as if its process died.
func (d *desk) crash(_ http.ResponseWriter, r *http.Request, _ int) {
	_, _ = io.Copy(io.Discard, r.Body)
	d.started.Add(1)
	panic(http.ErrAbortHandler)
}

// bid sends a bid with an idempotency key.
func (tb *testbed) bid(key, body string) answer {
	return tb.call(http.MethodPost, bids, body, "Idempotency-Key", key)
}

// Guards against resends that run twice, because the key is not claimed before the first byte is sent,
// and against resends that do not get the outcome, because it is not recorded. A bid is resent with its
// key after each possible ending of the first attempt.
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
			endpoint: func(d *desk) endpoint { return d.crash },
			first:    "unknown endpoint_failed", second: "unknown key_spent", started: 1,
		},
		"not started, then well": {
			endpoint: func(d *desk) endpoint {
				return func(w http.ResponseWriter, r *http.Request, n int) {
					if n <= 2 { // the relayer retries the only endpoint once
						refuseUnstarted(w, r, n)
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
			tb := newTestbed(t, relayer.Limits{Attempts: 2}, test.endpoint(d))
			for _, want := range []string{test.first, test.second} {
				got := tb.bid("lot-7", "12")
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

// Guards against a key that is accepted for a second, different request.
func TestKeyBelongsToOneRequest(t *testing.T) {
	d := &desk{}
	tb := newTestbed(t, relayer.Limits{}, d.serve)
	require.Equal(t, http.StatusCreated, tb.bid("lot-7", "12").status)
	got := tb.bid("lot-7", "13")
	require.Equal(t, http.StatusUnprocessableEntity, got.status)
	require.Equal(t, "key_reused", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.EqualValues(t, 1, d.started.Load())
}

// Guards against non-repeatable requests that are sent without a claim, and against claims of repeatable
// requests, with which a zone without a quorum would serve nothing. The keepers are unreachable; a bid,
// a read and a chat arrive.
func TestNoQuorum(t *testing.T) {
	d := &desk{}
	tb := newTestbed(t, relayer.Limits{}, d.serve)
	tb.claimer.noQuorum = true
	got := tb.bid("lot-7", "12")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "no_quorum", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.NotEmpty(t, got.headers.Get("Retry-After"))
	require.Zero(t, d.started.Load())
	require.Equal(t, []string{"1 declined 0"}, tb.endings(1))
	require.Equal(t, "GET /bids ", tb.call(http.MethodGet, bids, "").body)
	require.Equal(t, fullAnswer, tb.chat(true).text(t))
}

// Guards against a claim that is spent although nothing has run, so that the bid fails with a single
// endpoint. The first endpoint is unreachable, or answers that it did not start; another is healthy.
func TestClaimGoesToAnotherEndpoint(t *testing.T) {
	for name, unreachable := range map[string]bool{"unreachable": true, "not started": false} {
		t.Run(name, func(t *testing.T) {
			d := &desk{}
			tb := newTestbed(t, relayer.Limits{}, refuseUnstarted, d.serve)
			if unreachable {
				tb.makeUnreachable(1)
			}
			require.Equal(t, http.StatusCreated, tb.bid("lot-7", "12").status)
			require.EqualValues(t, 1, d.started.Load())
			require.Equal(t, 1, tb.claimer.claimCount, "the key must be claimed once")
		})
	}
}

// Guards against a bid that runs twice because net/http resends it: net/http itself resends a request
// with an Idempotency-Key and with no body or a short one, if a reused connection breaks. The
// connection breaks after the endpoint has read the bid.
func TestTransportDoesNotRepeat(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "short body": "12"} {
		t.Run(name, func(t *testing.T) {
			d := &desk{}
			tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
				if n <= 1 {
					d.serve(w, r, n)
					return
				}
				d.crash(w, r, n)
			})
			require.Equal(t, http.StatusCreated, tb.bid("lot-1", body).status) // opens a connection that could be reused
			require.Equal(t, "endpoint_failed", tb.bid("lot-2", body).failure.Code)
			require.EqualValues(t, 2, d.started.Load())
		})
	}
}

// Guards against non-repeatable work that is cancelled, or whose answer is discarded, when its caller
// disconnects: the caller could never find out whether its bid was accepted. The caller disconnects
// while the bid runs, and resends it after the answer.
func TestAnswerIsRecordedWithoutCaller(t *testing.T) {
	d := &desk{}
	started, proceed := make(chan struct{}), make(chan struct{})
	tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
		close(started)
		<-proceed
		d.serve(w, r, n)
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan answer, 1)
	go func() {
		done <- tb.callAs(ctx, "house-token", http.MethodPost, bids, "12", "Idempotency-Key", "lot-7")
	}()
	receive(t, started)
	require.Equal(t, "key_spent", tb.bid("lot-7", "12").failure.Code, "a resend while the bid runs must not run")
	cancel()
	receive(t, done)
	close(proceed)
	tb.endings(2)
	got := tb.bid("lot-7", "12")
	require.Equal(t, "POST /bids 12", got.body)
	require.Equal(t, "true", got.headers.Get("Idempotency-Replayed"))
	require.EqualValues(t, 1, d.started.Load())
}

// Guards against a lookup of a key that is not atomic with its claim: of many resends at the same moment,
// more than one would run.
func TestConcurrentResendsRunOnce(t *testing.T) {
	d := &desk{}
	tb := newTestbed(t, relayer.Limits{}, d.serve)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { tb.bid("lot-7", "12") })
	}
	group.Wait()
	require.EqualValues(t, 1, d.started.Load())
	require.Equal(t, "POST /bids 12", tb.bid("lot-7", "12").body)
}

// Guards against records without a size limit, and against a second run of a request whose answer was
// too large to record.
func TestLargeAnswerIsRecordedWithoutBody(t *testing.T) {
	d := &desk{}
	tb := newTestbed(t, relayer.Limits{RecordBytes: 10}, d.serve)
	require.Equal(t, "POST /bids 12", tb.bid("lot-7", "12").body)
	got := tb.bid("lot-7", "12")
	require.Equal(t, http.StatusConflict, got.status)
	require.Equal(t, "key_spent", got.failure.Code)
	require.Equal(t, "unknown", got.headers.Get("X-Outcome"))
	require.Contains(t, got.failure.Message, "ran and was answered")
	require.EqualValues(t, 1, d.started.Load())
}

// Guards against chats that are taken for repeatable although their callers declare them non-repeatable,
// and so run again or are resumed. A chat is answered and resent, with and without streaming, or its
// stream breaks.
func TestChatsThatMayNotRepeat(t *testing.T) {
	once := []string{"X-Not-Repeatable", "yes", "Idempotency-Key", "draft-1"}
	t.Run("replayed", func(t *testing.T) {
		var started atomic.Int32
		tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
			started.Add(1)
			healthy(w, r, n)
		})
		for _, streamed := range []bool{true, false, true} {
			require.Equal(t, fullAnswer, tb.chat(streamed, once...).text(t))
		}
		require.EqualValues(t, 1, started.Load())
	})
	t.Run("broken", func(t *testing.T) {
		tb := newTestbed(t, relayer.Limits{}, crashAfter(2), healthy)
		require.True(t, tb.chat(true, once...).truncated)
		require.Equal(t, "key_spent", tb.chat(true, once...).failure.Code)
	})
}

// Guards against a claim for a call that may repeat, and against the lack of one for a call that may not.
func TestRepeatableCalls(t *testing.T) {
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
			tb := newTestbed(t, relayer.Limits{}, healthy)
			got := tb.call(test.method, test.path, "", test.headers...)
			require.Equal(t, http.StatusCreated, got.status)
			require.Equal(t, test.claims, tb.claimer.claimCount)
			require.Equal(t, test.claims == 1, got.headers.Get("Idempotency-Key") != "", "a generated key must be sent to the caller")
		})
	}
}

// Guards against keys that are too long or unprintable.
func TestMalformedKeyIsRefused(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, healthy)
	for name, key := range map[string]string{"long": strings.Repeat("k", 256), "not ASCII": "lösung"} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, "bad_body", tb.bid(key, "12").failure.Code, fmt.Sprint(key))
		})
	}
	require.Zero(t, tb.claimer.claimCount)
}
