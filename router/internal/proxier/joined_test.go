package proxier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// streamText returns a script that sends a whole event stream with any text.
func streamText(text string) answerScript {
	return func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 0)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		endStream(conn)
	}
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

// Guards against pieces of another run behind the events of a stream: an endpoint that is to go on after the
// last event begins anew, or earlier, or nothing shows where it begins.
func TestEventsThatDoNotGoOnAreNotRelayed(t *testing.T) {
	for name, second := range map[string]answerScript{
		"from the beginning":        events(1, 6),
		"from the last event":       events(3, 6),
		"an earlier event only":     events(2, 2),
		"the last event only":       events(3, 3),
		"id without a number":       streamText("id: four\ndata: piece 4\n\n"),
		"negative id":               streamText("id: -4\ndata: piece 4\n\n"),
		"no ids":                    streamText("data: piece 1\n\ndata: piece 2\n\n"),
		"id alone, then no id":      streamText("id: 4\n\ndata: other\n\n"),
		"empty id":                  streamText("id:\ndata: piece 1\n\n"),
		"carriage returns":          streamText(strings.ReplaceAll(event(2), "\n", "\r\n")),
		"id behind its data":        streamText("data: piece 1\nid: 1\n\n"),
		"id that is less by digits": streamText("id: 03\ndata: piece 3\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			requireNotJoined(t, second)
			requireTakenUpElsewhere(t, second)
		})
	}
}

// Guards against a stream with a gap: an endpoint goes on behind events that the client does not have.
func TestEventsBehindAGapAreNotRelayed(t *testing.T) {
	for name, second := range map[string]answerScript{
		"one event is missing": events(5, 6), "many are missing": events(900, 901),
	} {
		t.Run(name, func(t *testing.T) { requireNotJoined(t, second) })
	}
}

// Guards against a gap in a stream whose numbers begin at 0.
func TestGapIsFoundInNumbersFromZero(t *testing.T) {
	f := newFixture(t)
	requests := f.serveInTurn(brokenEvents(0, 2), events(4, 6), events(3, 5))
	body, err := f.fetch("POST", "/digest/", "prompt")
	require.NoError(t, err)
	require.Equal(t, event(0)+eventsUpTo(5), body)
	require.EqualValues(t, 3, requests.Load())
}

// Guards against a stream that is cut although its second endpoint goes on soundly.
func TestEventsThatGoOnAreRelayed(t *testing.T) {
	for name, test := range map[string]struct{ first, second string }{
		"numbers":                     {first: eventsUpTo(3), second: event(4) + event(5)},
		"numbers of two sizes":        {first: eventsUpTo(9), second: event(10) + event(11)},
		"uneven steps":                {first: event(7) + event(14), second: event(21) + event(30)},
		"carriage returns":            {first: "id: 1\r\ndata: a\r\n\r\n", second: "id: 2\r\ndata: b\r\n\r\n"},
		"comments":                    {first: event(1) + ": wait\n\n", second: ": wait\n\n" + event(2) + ": wait\n\n"},
		"header line":                 {first: event(1), second: "x-version: 3\nid: 2\ndata: b\n\n"},
		"names":                       {first: "id: a\ndata: a\n\n", second: "id: b\ndata: b\n\n"},
		"nothing is missing":          {first: eventsUpTo(3)},
		"comment only":                {first: ": wait\n\n", second: eventsUpTo(3)},
		"id of the last without data": {first: eventsUpTo(2), second: "id: 2\n\n" + event(3)},
		"end without an id":           {first: eventsUpTo(2), second: event(3) + "data: end\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.serveInTurn(func(conn net.Conn, request *http.Request) {
				beginStream(conn, request, 1, 0)
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(test.first), test.first)
			}, streamText(test.second))
			body, err := f.fetch("POST", "/list/", "prompt")
			require.NoError(t, err)
			require.Equal(t, test.first+test.second, body)
		})
	}
}

// Guards against pieces that come twice or out of order within the answer of one endpoint.
func TestEventsThatGoBackEndTheirAttempt(t *testing.T) {
	for name, back := range map[string]string{"to the beginning": event(1), "by one": event(2), "the same again": event(3)} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.serveInTurn(streamText(eventsUpTo(3)+back+event(4)), events(4, 6))
			body, err := f.fetch("POST", "/list/", "prompt")
			require.NoError(t, err)
			require.Equal(t, eventsUpTo(6), body)

			f = newFixture(t)
			f.serveInTurn(streamText(eventsUpTo(3) + back + event(4)))
			body, err = f.fetch("POST", "/draft/", "prompt")
			require.Error(t, err)
			require.Equal(t, eventsUpTo(3), body)
		})
	}
}

// Guards against events that come twice because the last one has no id, so that no endpoint knows where to
// go on.
func TestStreamWithoutAResumePointIsNotResumed(t *testing.T) {
	for name, begun := range map[string]string{
		"no ids":             "data: piece 1\n\ndata: piece 2\n\n",
		"empty id":           "id:\ndata: piece 1\n\n",
		"an id, then none":   event(1) + "data: piece 2\n\n",
		"a number, then not": event(1) + "id: \ndata: piece 2\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			requests := f.serveInTurn(func(conn net.Conn, request *http.Request) {
				beginStream(conn, request, 1, 0)
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(begun), begun)
			}, events(1, 6))
			body, err := f.fetch("POST", "/list/", "prompt")
			require.Error(t, err)
			require.Equal(t, begun, body)
			require.EqualValues(t, 1, requests.Load())
		})
	}
}

// Guards against an event that is missing because the router counted it as relayed and then had no memory
// for it.
func TestStreamIsResumedAfterTheLastRelayedEvent(t *testing.T) {
	f := newFixture(t)
	f.proxier.answerMemory.limit = 1
	long := "id: 2\ndata: " + strings.Repeat("x", minBufferBytes) + "\n\n"
	f.serveInTurn(streamText(event(1)+long+event(3)), func(conn net.Conn, request *http.Request) {
		from := 0
		fmt.Sscan(request.Header.Get("Last-Event-Id"), &from) //nolint:errcheck // without the header the stream begins at its first event
		events(from+1, 3)(conn, request)
	})
	body, err := f.fetch("POST", "/list/", "prompt")
	require.NoError(t, err)
	require.Equal(t, eventsUpTo(3), body)
}

// failingWriter is a client's connection of which one write fails.
type failingWriter struct {
	*httptest.ResponseRecorder
	failed bool
}

func (w *failingWriter) Write(piece []byte) (int, error) {
	if !w.failed {
		w.failed = true
		n, _ := w.ResponseRecorder.Write(piece[:len(piece)/2])
		return n, io.ErrShortWrite
	}
	return w.ResponseRecorder.Write(piece)
}

// Guards against events behind a part of an answer that could not be written to its client.
func TestNothingFollowsAnAnswerThatWasNotWritten(t *testing.T) {
	long := strings.Repeat("a long answer. ", (maxBufferedAnswerBytes+5000)/15)
	for name, first := range map[string]answerScript{
		"stream": events(4, 6), "plain": plain(http.StatusNotFound, long), "short": plain(http.StatusNotFound, "none"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.recordOrigin()
			requests := f.serveInTurn(first, events(5, 6))
			request := httptest.NewRequest("POST", "/digest/", strings.NewReader("prompt"))
			request.Host = "h"
			request.Header.Set("Authorization", "Bearer key")
			request.Header.Set("Last-Event-Id", "3")
			request.Header.Set(resumesHeader, "first")
			answer := &failingWriter{ResponseRecorder: httptest.NewRecorder()}
			func() {
				defer func() { recover() }() //nolint:errcheck // a cut answer panics
				f.proxier.ServeHTTP(answer, request)
			}()
			require.EqualValues(t, 1, requests.Load())
			require.NotContains(t, answer.Body.String(), event(6))
		})
	}
}
