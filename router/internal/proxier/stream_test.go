package proxier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/versioner"
)

// Guards against events that are held back until the next one arrives.
func TestEventsAreRelayedImmediately(t *testing.T) {
	f := newFixture(t)
	more := make(chan struct{})
	f.endpoint(func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 1)
		<-more
		sendEvent(conn, 2)
		endStream(conn)
	})
	for name, path := range map[string]string{"plain": "/draft/", "resumable": "/list/"} {
		t.Run(name, func(t *testing.T) {
			response := f.do("POST", path, "prompt")
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			first := make([]byte, len(event(1)))
			_, err := io.ReadFull(reader, first)
			require.NoError(t, err)
			require.Equal(t, event(1), string(first))
			more <- struct{}{} // the endpoint continues only now
			rest, err := io.ReadAll(reader)
			require.NoError(t, err)
			require.Equal(t, event(2), string(rest))
		})
	}
}

// Guards against a resumed stream that misses an event or repeats one: an endpoint truncates
// its stream after an event or inside one, and another endpoint continues.
func TestResumedStreamIsComplete(t *testing.T) {
	tests := map[string]func(conn net.Conn){
		"between two events":      func(net.Conn) {},
		"inside an event":         func(conn net.Conn) { conn.Write([]byte("7\r\nid: 4\nd\r\n")) },         //nolint:errcheck // the reader may be gone
		"in an event's last line": func(conn net.Conn) { conn.Write([]byte("e\r\nid: 4\ndata: p\n\r\n")) }, //nolint:errcheck // the reader may be gone
	}
	for name, last := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			serve := func(conn net.Conn, request *http.Request) {
				if request.Header.Get("Last-Event-Id") == "" {
					beginStream(conn, request, 1, 3)
					last(conn)
					conn.Close()
					return
				}
				require.Equal(t, "3", request.Header.Get("Last-Event-Id"))
				beginStream(conn, request, 4, 6)
				endStream(conn)
			}
			f.endpoint(serve)
			f.endpoint(serve)
			body, err := f.fetch("POST", "/list/", "prompt")
			require.NoError(t, err)
			require.Equal(t, eventsUpTo(6), body)
		})
	}
}

// Guards against a client that takes half a draft for the complete one: an endpoint is lost in the
// middle of a stream that is not resumable.
func TestTruncatedStreamLooksTruncated(t *testing.T) {
	f := newFixture(t)
	f.endpoint(func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 3)
		conn.Close()
	})
	f.endpoint(func(net.Conn, *http.Request) { t.Error("the stream ran twice") })
	body, err := f.fetch("POST", "/draft/", "prompt")
	require.Error(t, err)
	require.Equal(t, eventsUpTo(3), body)
}

// Guards against a resume that loses the client's last event id on the way to the endpoint.
func TestStreamResumesAfterTheClientsLastEvent(t *testing.T) {
	f := newFixture(t)
	f.endpoint(func(conn net.Conn, request *http.Request) {
		if request.Header.Get("Last-Event-Id") != "2" {
			t.Error("the client's last event id was not forwarded")
		}
		beginStream(conn, request, 3, 4)
		endStream(conn)
	})
	f.proxier.options.Streams.RecordOrigin(t.Context(), versioner.StreamID{Request: "first"}, versioner.Origin{Service: "desk", Version: "v1"})
	body, err := f.fetch("POST", "/list/", "prompt", "Last-Event-Id", "2", resumesHeader, "first")
	require.NoError(t, err)
	require.Equal(t, event(3)+event(4), body)
}

// Checks that a stream split into any pieces yields complete events, in order and once, and the id of
// the last complete event.
func TestEventsAreSplitAtAnyPiece(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := eventsUpTo(rapid.IntRange(1, 8).Draw(t, "events"))
		end := rapid.IntRange(0, len(all)).Draw(t, "end")
		var e eventSplitter
		var out strings.Builder
		for rest := all[:end]; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			complete, err := e.split([]byte(rest[:n]))
			require.NoError(t, err)
			out.Write(complete)
			rest = rest[n:]
		}
		require.True(t, strings.HasPrefix(all, out.String()))
		require.Equal(t, all[:end], out.String()+string(e.partial))
		require.Equal(t, strings.Count(out.String(), "\n\n"), strings.Count(out.String(), "id: "))
		if out.Len() > 0 {
			count := strings.Count(out.String(), "id: ")
			require.Equal(t, eventsUpTo(count), out.String())
		}
	})
}

// Guards against an endless event that uses up memory.
func TestOversizedEventIsRefused(t *testing.T) {
	var e eventSplitter
	_, err := e.split(make([]byte, maxEventBytes+1))
	require.Error(t, err)
}

// Guards against streams of a slow engine that are ended and restarted elsewhere, because one of its
// streams, or all of them, send nothing for a while.
func TestSlowStreamIsNotRestartedElsewhere(t *testing.T) {
	for name, anotherGoesOn := range map[string]bool{"another stream goes on": true, "all streams are silent": false} {
		t.Run(name, func(t *testing.T) {
			clock := newSteppedClock()
			f := newFixtureAt(t, clock)
			goOn := map[string]chan struct{}{"/list/slow": make(chan struct{}), "/list/another": make(chan struct{})}
			f.endpoint(func(conn net.Conn, request *http.Request) {
				beginStream(conn, request, 1, 1)
				<-goOn[request.URL.Path]
				sendEvent(conn, 2)
				endStream(conn)
			})
			slow := f.do("POST", "/list/slow", "prompt")
			defer slow.Body.Close()
			another := f.do("POST", "/list/another", "prompt")
			defer another.Body.Close()
			var restarted atomic.Int64
			f.endpoint(func(conn net.Conn, request *http.Request) {
				restarted.Add(1)
				beginStream(conn, request, 2, 2)
				endStream(conn)
			})
			requireRest := func(path string, response *http.Response) {
				close(goOn[path])
				body, err := readText(response)
				require.NoError(t, err)
				require.Equal(t, eventsUpTo(2), body)
			}
			clock.Advance(time.Second)
			if anotherGoesOn {
				requireRest("/list/another", another)
			}
			clock.Advance(2 * time.Second)
			requireRest("/list/slow", slow)
			if !anotherGoesOn {
				requireRest("/list/another", another)
			}
			require.Zero(t, restarted.Load())
		})
	}
}
