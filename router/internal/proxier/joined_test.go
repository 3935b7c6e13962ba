package proxier

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/versioner"
)

// answerScript writes an endpoint's answer to a request.
type answerScript func(conn net.Conn, request *http.Request)

// serveInTurn lists as many endpoints as there are scripts. The requests get the scripts in order, whichever
// endpoints they reach, and each connection is closed behind its answer.
func (f *fixture) serveInTurn(scripts ...answerScript) *atomic.Int64 {
	requests := &atomic.Int64{}
	for range scripts {
		f.endpoint(func(conn net.Conn, request *http.Request) {
			defer conn.Close()
			if n := requests.Add(1); int(n) <= len(scripts) {
				scripts[n-1](conn, request)
			}
		})
	}
	return requests
}

// events returns a script that sends the events numbered from..to and ends the stream.
func events(from, to int) answerScript {
	return func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, from, to)
		endStream(conn)
	}
}

// brokenEvents returns a script that sends the events numbered from..to and breaks off.
func brokenEvents(from, to int) answerScript {
	return func(conn net.Conn, request *http.Request) { beginStream(conn, request, from, to) }
}

// typed returns a script that sends a successful answer with a content type.
func typed(kind, body string) answerScript {
	return func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
			idHeader, request.Header.Get(idHeader), stampHeader, kind, len(body), body)
	}
}

// plain returns a script that sends an answer with a status and a body.
func plain(status int, body string) answerScript {
	return func(conn net.Conn, request *http.Request) { reply(conn, request, status, body) }
}

// requireNotJoined checks that an answer to a resumed stream does not reach the client behind the events of
// the first endpoint: the stream goes on at a third endpoint, and without one it is cut.
func requireNotJoined(t *testing.T, second answerScript) {
	t.Helper()
	f := newFixture(t)
	requests := f.serveInTurn(brokenEvents(1, 3), second, events(4, 6))
	body, err := f.fetch("POST", "/digest/", "prompt")
	require.NoError(t, err, "a third endpoint goes on")
	require.Equal(t, eventsUpTo(6), body)
	require.EqualValues(t, 3, requests.Load())

	f = newFixture(t)
	f.serveInTurn(brokenEvents(1, 3), second)
	body, err = f.fetch("POST", "/digest/", "prompt")
	require.Equal(t, eventsUpTo(3), body)
	require.Error(t, err, "a truncated stream ended as complete")
}

// recordOrigin makes a stream known that a client takes up.
func (f *fixture) recordOrigin() {
	f.proxier.options.Streams.RecordOrigin(f.t.Context(), versioner.StreamID{Request: "first"}, versioner.Origin{Service: "desk", Version: "v1"})
}

// takeUp sends the request of a client that takes up a stream behind an event.
func (f *fixture) takeUp(last string) *http.Response {
	f.t.Helper()
	return f.do("POST", "/digest/", "prompt", "Last-Event-Id", last, resumesHeader, "first")
}

// Guards against a plain answer that is written behind the events of a stream, which then ends as complete.
func TestPlainAnswerIsNotWrittenBehindEvents(t *testing.T) {
	long := strings.Repeat("a long answer. ", (maxBufferedAnswerBytes+5000)/15)
	for _, status := range []int{201, 202, 204, 206, 226, 301, 304, 400, 404, 408, 409, 413, 421, 429, 500, 502, 503} {
		for name, body := range map[string]string{"empty": "", "short": "no", "long": long} {
			if body != "" && (status == http.StatusNoContent || status == http.StatusNotModified) {
				continue
			}
			t.Run(fmt.Sprint(status, ", ", name), func(t *testing.T) { requireNotJoined(t, plain(status, body)) })
		}
	}
}

// Guards against a plain answer that a client does not get because it takes a stream up.
func TestPlainAnswerToAClientsResumeIsRelayed(t *testing.T) {
	for _, status := range []int{204, 404, 413, 429} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			f := newFixture(t)
			f.recordOrigin()
			f.serveInTurn(plain(status, ""))
			response := f.takeUp("3")
			body, err := readText(response)
			require.NoError(t, err)
			require.Equal(t, status, response.StatusCode)
			require.Empty(t, body)
		})
	}
}

// Guards against an answer of another content type that is written behind the events of a stream.
func TestTextIsNotWrittenBehindEvents(t *testing.T) {
	for _, kind := range []string{"text/plain", "application/json", "text/html; charset=utf-8", "broken;;"} {
		t.Run(kind, func(t *testing.T) {
			requireNotJoined(t, typed(kind, "no"))
			requireTakenUpElsewhere(t, typed(kind, "no"))
		})
	}
}

// requireTakenUpElsewhere checks that an answer is not passed on to a client that takes a stream up, and that
// another endpoint is asked instead.
func requireTakenUpElsewhere(t *testing.T, first answerScript) {
	t.Helper()
	f := newFixture(t)
	f.recordOrigin()
	requests := f.serveInTurn(first, events(4, 6))
	response := f.takeUp("3")
	defer response.Body.Close()
	body, err := readText(response)
	require.NoError(t, err)
	require.Equal(t, event(4)+event(5)+event(6), body)
	require.EqualValues(t, 2, requests.Load())
}
