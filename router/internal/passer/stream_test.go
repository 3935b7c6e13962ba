package passer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/versioner"
)

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	b := newBed(t)
	more := make(chan struct{})
	b.endpoint(func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 1)
		<-more
		sendEvent(conn, 2)
		endStream(conn)
	})
	for name, path := range map[string]string{"plain": "/draft/", "resumable": "/list/"} {
		t.Run(name, func(t *testing.T) {
			response := b.ask("POST", path, "prompt")
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			first := make([]byte, len(event(1)))
			_, err := io.ReadFull(reader, first)
			require.NoError(t, err)
			require.Equal(t, event(1), string(first))
			more <- struct{}{} // only now does the endpoint go on
			rest, err := io.ReadAll(reader)
			require.NoError(t, err)
			require.Equal(t, event(2), string(rest))
		})
	}
}

// Symptom: a stream misses a piece, or shows one twice, after an endpoint was
// lost. Sequence: an endpoint breaks off at an event's end, or in the middle of
// one; another goes on.
func TestResumedStreamIsWhole(t *testing.T) {
	tests := map[string]func(conn net.Conn){
		"between two events":      func(net.Conn) {},
		"in the middle of one":    func(conn net.Conn) { conn.Write([]byte("7\r\nid: 4\nd\r\n")) },         //nolint:errcheck // the reader may be gone
		"in an event's last line": func(conn net.Conn) { conn.Write([]byte("e\r\nid: 4\ndata: p\n\r\n")) }, //nolint:errcheck // the reader may be gone
	}
	for name, last := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
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
			b.endpoint(serve)
			b.endpoint(serve)
			body, err := b.fetch("POST", "/list/", "prompt")
			require.NoError(t, err)
			require.Equal(t, events1to(6), body)
		})
	}
}

// Symptom: a caller takes half a draft for the whole. Sequence: an endpoint is
// lost in the middle of a stream that may not be resumed.
func TestCutStreamLooksCut(t *testing.T) {
	b := newBed(t)
	b.endpoint(func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 3)
		conn.Close()
	})
	b.endpoint(func(net.Conn, *http.Request) { t.Error("it must not run twice") })
	body, err := b.fetch("POST", "/draft/", "prompt")
	require.Error(t, err)
	require.Equal(t, events1to(3), body)
}

func TestStreamBeginsWhereItsClientSays(t *testing.T) {
	b := newBed(t)
	b.endpoint(func(conn net.Conn, request *http.Request) {
		if request.Header.Get("Last-Event-Id") != "2" {
			t.Error("the client's last event was not passed on")
		}
		beginStream(conn, request, 3, 4)
		endStream(conn)
	})
	b.passer.options.Streams.Begun(versioner.StreamID{Request: "first"}, versioner.Origin{Service: "desk", Version: "v1"})
	body, err := b.fetch("POST", "/list/", "prompt", "Last-Event-Id", "2", resumesHeader, "first")
	require.NoError(t, err)
	require.Equal(t, event(3)+event(4), body)
}

// However a stream is cut into pieces, whole events come out, in order and once,
// and the last id is that of the last whole event.
func TestEventsAreSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := events1to(rapid.IntRange(1, 8).Draw(t, "events"))
		end := rapid.IntRange(0, len(all)).Draw(t, "end")
		var e events
		var out strings.Builder
		for rest := all[:end]; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			whole, err := e.take([]byte(rest[:n]))
			require.NoError(t, err)
			out.Write(whole)
			rest = rest[n:]
		}
		require.True(t, strings.HasPrefix(all, out.String()))
		require.Equal(t, all[:end], out.String()+string(e.held))
		require.Equal(t, strings.Count(out.String(), "\n\n"), strings.Count(out.String(), "id: "))
		if out.Len() > 0 {
			count := strings.Count(out.String(), "id: ")
			require.Equal(t, events1to(count), out.String())
		}
	})
}

func TestEndlessEventIsRefused(t *testing.T) {
	var e events
	_, err := e.take(make([]byte, maxEvent+1))
	require.Error(t, err)
}
