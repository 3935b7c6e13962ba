package proxier

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/versioner"
)

// answerAs returns a script that answers with a status, a content type and a body.
func answerAs(status int, content, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), idHeader, request.Header.Get(idHeader), stampHeader, content, len(body), body)
	}
}

// Guards against an answer behind a client's events that metrics and logs do not tell from a sound one.
func TestPartsAreCountedByHowTheyContinue(t *testing.T) {
	const events = "text/event-stream"
	tests := map[string]struct {
		serve  func(conn net.Conn, request *http.Request)
		result partResult
		end    string
		// relayedToClient says that the part is relayed whole if the client takes the stream up.
		relayedToClient bool
	}{
		"the next event":          {serve: answerAs(200, events, event(4)+event(5)), result: partContinues, end: "whole"},
		"a later event":           {serve: answerAs(200, events, event(5)), result: partSkips, end: "rejected", relayedToClient: true},
		"all events":              {serve: answerAs(200, events, eventsUpTo(5)), result: partRepeats, end: "rejected"},
		"an event without an id":  {serve: answerAs(200, events, "data: piece 4\n\n"), result: partIsUnnamed, end: "rejected"},
		"an id that is no number": {serve: answerAs(200, events, "id: d\ndata: piece 4\n\n"), result: partIncomparable, end: "rejected"},
		"a comment":               {serve: answerAs(200, events, ": alive\n\n"), result: partIsEmpty, end: "whole"},
		"no event":                {serve: answerAs(200, events, ""), result: partIsEmpty, end: "whole"},
		"another type":            {serve: answerAs(200, "text/plain", "text"), result: partIsOther, end: "rejected"},
		"an error":                {serve: answerAs(409, "text/plain", "text"), result: partIsPlain, end: "rejected", relayedToClient: true},
		"half of an event":        {serve: answerAs(200, events, "id: 4\nd"), result: partIsBroken, end: "event"},
		"a head alone": {serve: func(conn net.Conn, request *http.Request) {
			beginStream(conn, request, 4, 3)
			conn.Close()
		}, result: partIsBroken, end: "between"},
	}
	for name, test := range tests {
		serve := func(conn net.Conn, request *http.Request) {
			if request.Header.Get("Last-Event-Id") == "3" {
				test.serve(conn, request)
				return
			}
			beginStream(conn, request, 1, 3)
			conn.Close()
		}
		for by, header := range map[string][]string{"router": nil, "client": {"Last-Event-Id", "3", resumesHeader, "first"}} {
			t.Run(name+" for a "+by, func(t *testing.T) {
				f := newFixture(t)
				lines := make(chan string, 16)
				f.proxier.options.Log = zerolog.New(lineWriter(lines))
				registry := prometheus.NewRegistry()
				f.proxier.options.Metrics = NewMetrics(registry)
				f.proxier.options.Streams.RecordOrigin(t.Context(), versioner.StreamID{Request: "first"}, versioner.Origin{Service: "desk", Version: "v1"})
				f.endpoint(serve)
				if by == "router" {
					f.endpoint(serve)
				}
				f.fetch("POST", "/list/", "prompt", header...) //nolint:errcheck // some of the answers are cut
				var read struct{ Result, End string }
				awaitLine(t, lines, "part of a stream ended", &read)
				require.Equal(t, partLabels[test.result], read.Result)
				end := test.end
				if by == "client" && test.relayedToClient {
					end = "whole"
				}
				require.Equal(t, end, read.End)
				require.Equal(t, map[string]float64{by + " " + partLabels[test.result]: 1}, counted(t, registry, "shallotkeel_passed_parts_total"))
			})
		}
	}
}

// Guards against a resumed stream whose log line does not tell from where the client got what.
func TestRequestLineNamesTheParts(t *testing.T) {
	f := newFixture(t)
	lines := make(chan string, 16)
	f.proxier.options.Log = zerolog.New(lineWriter(lines))
	serve := func(conn net.Conn, request *http.Request) {
		if request.Header.Get("Last-Event-Id") == "" {
			beginStream(conn, request, 1, 3)
			conn.Close()
			return
		}
		beginStream(conn, request, 4, 6)
		endStream(conn)
	}
	first, second := f.endpoint(serve), f.endpoint(serve)
	body, err := f.fetch("POST", "/list/", "prompt")
	require.NoError(t, err)
	require.Equal(t, eventsUpTo(6), body)
	var read struct {
		Parts     int      `json:"answer_parts"`
		Endpoints []string `json:"answer_endpoints"`
		LastEvent string   `json:"last_event"`
	}
	awaitLine(t, lines, "request", &read)
	require.Equal(t, 2, read.Parts)
	require.ElementsMatch(t, []string{first, second}, read.Endpoints)
	require.Equal(t, "6", read.LastEvent)
}

// Guards against answers that break off at one place, or with one framing, and cannot be told from others.
func TestBrokenAnswersAreCountedByPlace(t *testing.T) {
	head := func(conn net.Conn, request *http.Request, rest string) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\n%s", idHeader, request.Header.Get(idHeader), stampHeader, rest)
		conn.Close()
	}
	tests := map[string]struct {
		path, rest string
		count      string
	}{
		"in its head":        {"/book/", "Content-Le", " head"},
		"in its body":        {"/book/", "Content-Length: 9\r\n\r\nhalf", "length body"},
		"in a chunk":         {"/book/", "Transfer-Encoding: chunked\r\n\r\n4\r\nha", "chunks body"},
		"inside an event":    {"/draft/", "Content-Length: 99\r\n\r\n" + event(1) + "id: 2\n", "length event"},
		"between two events": {"/draft/", "Content-Length: 99\r\n\r\n" + event(1), "length between"},
		"inside an event of a stream without framing": {"/draft/", "\r\n" + event(1) + "id: 2\n", "connection event"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			lines := make(chan string, 16)
			f.proxier.options.Log = zerolog.New(lineWriter(lines))
			registry := prometheus.NewRegistry()
			f.proxier.options.Metrics = NewMetrics(registry)
			f.endpoint(func(conn net.Conn, request *http.Request) { head(conn, request, test.rest) })
			response, err := f.send(t.Context(), "POST", test.path, "prompt")
			if err == nil {
				readText(response) //nolint:errcheck // it may be cut
			}
			awaitRequestLine(t, lines)
			require.Equal(t, map[string]float64{test.count: 1}, counted(t, registry, "shallotkeel_passed_broken_total"))
		})
	}
}

// Guards against figures of a part that depend on how its bytes arrive.
func TestPartIsObservedInAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := ": alive\n\n" + event(4) + "data: no id\r\n\r\n" + event(6) + ": alive\n\n" + event(7) + "data: " + strings.Repeat("long ", maxObservedBytes) + "\nid: 8\n\nid: 9\nda"
		a := part{number: 2, watched: true, inEvents: true, status: http.StatusOK, lastBefore: "3", lastID: "3"}
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			a.observe([]byte(rest[:n]))
			rest = rest[n:]
		}
		require.Equal(t, []any{"4", "8", 5, 1, 1, int64(len(text))}, []any{a.firstID, a.lastID, a.events, a.withoutID, a.uneven, a.bytes})
		require.Equal(t, partContinues, a.result(nil))
	})
}
