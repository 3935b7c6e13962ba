package proxier

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/budgeter"
)

// truncationSeed seeds the random choice of pieces and offsets.
const truncationSeed = 57

// wireAnswer is an answer as an endpoint writes it.
type wireAnswer struct {
	head string
	body []string // pieces, including their framing
	text string   // the body without framing
	// framed reports whether the end of the answer can be detected without the end of the connection.
	framed bool
}

// framings are the ways in which an answer may mark its end.
var framings = map[string]func(head, text string, draw *rand.Rand) wireAnswer{
	"length": func(head, text string, _ *rand.Rand) wireAnswer {
		return wireAnswer{head: fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head, len(text)), body: []string{text}, text: text, framed: true}
	},
	"chunks": func(head, text string, draw *rand.Rand) wireAnswer {
		w := wireAnswer{head: "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n", text: text, framed: true}
		for rest := text; rest != ""; {
			n := min(1+draw.IntN(max(len(text)/4, 1)), len(rest))
			w.body = append(w.body, fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n]))
			rest = rest[n:]
		}
		w.body = append(w.body, "0\r\nSum: 1\r\n\r\n")
		return w
	},
	"connection": func(head, text string, _ *rand.Rand) wireAnswer {
		return wireAnswer{head: "HTTP/1.1 200 OK\r\n" + head + "\r\n", body: []string{text}, text: text}
	},
	"connection of HTTP/1.0": func(head, text string, _ *rand.Rand) wireAnswer {
		return wireAnswer{head: "HTTP/1.0 200 OK\r\n" + head + "\r\n", body: []string{text}, text: text}
	},
}

// cutAt returns the first bytes of an answer, split into the pieces to write.
func (w wireAnswer) cutAt(count int, draw *rand.Rand) *[]string {
	all := w.head + strings.Join(w.body, "")
	var pieces []string
	for rest := all[:count]; rest != ""; {
		n := min(1+draw.IntN(len(all)), len(rest))
		pieces = append(pieces, rest[:n])
		rest = rest[n:]
	}
	return &pieces
}

// write sends the pieces of an answer.
func write(conn net.Conn, pieces []string) {
	for _, piece := range pieces {
		io.WriteString(conn, piece) //nolint:errcheck // the reader may be gone
	}
}

func (w wireAnswer) size() int {
	return len(w.head) + len(strings.Join(w.body, ""))
}

// bodyUpTo returns the part of an unframed body within the first count bytes of the answer.
func (w wireAnswer) bodyUpTo(count int) string {
	return w.text[:max(0, min(count-len(w.head), len(w.text)))]
}

// cutOffsets returns the offsets at which an answer is truncated: each byte of a short answer, the last
// bytes and some random offsets of a long one.
func (w wireAnswer) cutOffsets(draw *rand.Rand) []int {
	const most, rim, drawn = 4 << 10, 8, 24
	size := w.size()
	var offsets []int
	for i := range size + 1 {
		if size <= most || i > size-rim {
			offsets = append(offsets, i)
		}
	}
	for range drawn {
		offsets = append(offsets, draw.IntN(size))
	}
	slices.Sort(offsets)
	return slices.Compact(offsets)
}

// clientView is what a client can conclude from an answer.
type clientView struct {
	status   int // 0 if no head arrived
	body     string
	cleanEnd bool // the answer ended without an error
	framed   bool // the answer states its length or is chunked
}

// observe sends a client's request and reads the answer.
func (f *fixture) observe(method, path string) clientView {
	response, err := f.send(f.t.Context(), method, path, "prompt")
	if err != nil {
		return clientView{}
	}
	defer response.Body.Close()
	body, err := readText(response)
	return clientView{
		status: response.StatusCode, body: body, cleanEnd: err == nil,
		framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
	}
}

// Guards against a truncated answer that looks complete to its client, for each framing, each offset
// and each way in which the connection ends.
func TestTruncatedAnswerNeverLooksComplete(t *testing.T) {
	long := strings.Repeat("a long answer. ", (maxBufferedAnswerBytes+5000)/15)
	tests := map[string]struct {
		method, path, text string
		events             bool
	}{
		"stream":                 {method: "POST", path: "/draft/", text: eventsUpTo(3), events: true},
		"resumable stream":       {method: "POST", path: "/list/", text: eventsUpTo(3), events: true},
		"stream with CRLF":       {method: "POST", path: "/draft/", text: strings.ReplaceAll(eventsUpTo(2), "\n", "\r\n"), events: true},
		"stream inside an event": {method: "POST", path: "/list/", text: eventsUpTo(2) + "id: 3\nda", events: true},
		"stream without events":  {method: "POST", path: "/list/", events: true},
		"repeatable":             {method: "GET", path: "/read/", text: "the whole answer"},
		"once":                   {method: "POST", path: "/book/", text: "booked: cottage 7"},
		"long":                   {method: "GET", path: "/read/", text: long},
	}
	for name, test := range tests {
		for framing, frame := range framings {
			for ending, end := range map[string]func(net.Conn, *http.Request){"closed": func(conn net.Conn, _ *http.Request) { conn.Close() }, "reset": resetConn} {
				t.Run(name+", "+framing+", "+ending, func(t *testing.T) {
					t.Parallel()
					draw := rand.New(rand.NewPCG(truncationSeed, 0))
					kind := ""
					if test.events {
						kind = "Content-Type: text/event-stream\r\n"
					}
					f := newFixture(t)
					answer := frame(stampHeader+": stamp\r\n"+kind, test.text, draw)
					var pieces atomic.Pointer[[]string]
					address := f.listen(func(conn net.Conn, request *http.Request) {
						write(conn, *pieces.Load())
						end(conn, request)
					})
					for _, offset := range answer.cutOffsets(draw) {
						pieces.Store(answer.cutAt(offset, draw))
						id := f.add(address)
						requireConsistent(t, answer, offset, ending == "closed", test.events, f.observe(test.method, test.path))
						f.remove(id)
					}
				})
			}
		}
	}
}

// requireConsistent checks a client's view of an answer of which count bytes were sent.
func requireConsistent(t *testing.T, w wireAnswer, count int, closed, events bool, got clientView) {
	t.Helper()
	where := fmt.Sprintf("cut after byte %d of %d", count, w.size())
	complete := w.framed && count == w.size() && (!events || atEventBoundary(w.text))
	if got.status != http.StatusOK {
		require.GreaterOrEqual(t, got.status, 500, where)
		require.False(t, complete && closed, "%s: a complete answer was not relayed", where)
		return
	}
	require.True(t, strings.HasPrefix(w.text, got.body), "%s: the body differs", where)
	switch {
	case got.cleanEnd && got.framed:
		require.True(t, complete, "%s: it looks complete", where)
		require.Equal(t, w.text, got.body, where)
	case got.cleanEnd:
		require.False(t, w.framed, where)
		require.True(t, closed, "%s: a reset looks like a clean end", where)
		require.Equal(t, w.bodyUpTo(count), got.body, where)
		require.True(t, !events || atEventBoundary(got.body), "%s: it ends inside an event", where)
	default:
		ends := !w.framed && count > len(w.head) && (!events || atEventBoundary(w.bodyUpTo(count)))
		require.False(t, closed && (complete || ends), "%s: a complete answer looks truncated", where)
	}
}

// atEventBoundary reports whether the start of a stream ends between two events.
func atEventBoundary(text string) bool {
	return text == "" || strings.HasSuffix(text, "\n\n") || strings.HasSuffix(text, "\n\r\n")
}

// Guards against a resumed stream that looks complete although its first endpoint truncated it, or
// although the second endpoint's end is unframed.
func TestRetryNeverMakesATruncatedStreamLookComplete(t *testing.T) {
	const last = 5
	for first, firstFraming := range framings {
		for second, secondFraming := range framings {
			t.Run(first+", "+second, func(t *testing.T) {
				t.Parallel()
				draw := rand.New(rand.NewPCG(truncationSeed, 1))
				head := stampHeader + ": stamp\r\nConnection: close\r\nContent-Type: text/event-stream\r\n"
				begun := firstFraming(head, eventsUpTo(3), draw)
				f := newFixture(t)
				f.proxier.options.Budget = &budgeter.Budgeter{Bound: budgeter.Bound{Slack: 1 << 20, Window: time.Minute}}
				var broken atomic.Pointer[[]string] // what the first attempt gets
				address := f.listen(func(conn net.Conn, request *http.Request) {
					defer conn.Close()
					if pieces := broken.Swap(nil); pieces != nil {
						write(conn, *pieces)
						return
					}
					from := 0                                             // the last event that the client got
					fmt.Sscan(request.Header.Get("Last-Event-Id"), &from) //nolint:errcheck // without the header the stream begins at its first event
					rest := secondFraming(head, strings.TrimPrefix(eventsUpTo(last), eventsUpTo(from)), rand.New(rand.NewPCG(truncationSeed, uint64(from))))
					write(conn, []string{rest.head + strings.Join(rest.body, "")})
				})
				for offset := range begun.size() {
					broken.Store(begun.cutAt(offset, draw))
					ids := []string{f.add(address), f.add(address)}
					got := f.observe("POST", "/list/")
					f.remove(ids...)
					where := fmt.Sprintf("cut after byte %d of %d", offset, begun.size())
					require.Equal(t, http.StatusOK, got.status, where)
					alone := !begun.framed && offset >= len(begun.head) && atEventBoundary(begun.bodyUpTo(offset))
					if alone {
						require.Equal(t, begun.bodyUpTo(offset), got.body, where)
						require.True(t, got.cleanEnd && !got.framed, "%s: the end must be unframed", where)
						continue
					}
					require.Equal(t, eventsUpTo(last), got.body, where)
					require.Equal(t, secondFraming(head, "", draw).framed || !got.framed, got.cleanEnd, "%s: the end must match the endpoint's", where)
				}
			})
		}
	}
}

// Guards against a client without chunked encoding that takes a truncated stream for a complete
// one: its connection must be reset, not closed as after a complete stream.
func TestTruncatedStreamResetsAClientWithoutChunks(t *testing.T) {
	for name, test := range map[string]struct {
		end      func(net.Conn)
		complete bool
	}{
		"whole":  {end: endStream, complete: true},
		"broken": {end: func(conn net.Conn) { conn.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.endpoint(func(conn net.Conn, request *http.Request) {
				beginStream(conn, request, 1, 3)
				test.end(conn)
			})
			conn, err := net.Dial("tcp", f.address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /draft/ HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			got, err := io.ReadAll(conn)
			require.Equal(t, test.complete, err == nil, "%v", err)
			require.Contains(t, string(got), eventsUpTo(3))
		})
	}
}

// Guards against a slow reader of an unframed answer that takes the cut at its deadline for the end.
func TestSlowReaderOfAnUnframedAnswerIsReset(t *testing.T) {
	const size = 64 << 20 // larger than all buffers between client and endpoint
	f := newFixture(t)
	f.endpoint(func(conn net.Conn, _ *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: stamp\r\n\r\n", stampHeader)
		conn.Write(make([]byte, size)) //nolint:errcheck // the reader may be gone
		conn.Close()
	})
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /book/ HTTP/1.1\r\nHost: h\r\n%s: 2000\r\n\r\n", deadlineHeader)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode, "the answer has begun before the deadline")
	require.Eventually(t, func() bool { return f.proxier.Running() == 0 && f.proxier.Received() == 1 }, waitTimeout, pollInterval)
	_, err = io.Copy(io.Discard, response.Body)
	require.Error(t, err, "a truncated answer ended cleanly")
}

// Guards against a stream whose head could not be sent being resumed at another endpoint, after events
// that its client never got.
func TestStreamWithUnsentHeadIsNotResumed(t *testing.T) {
	f := newFixture(t)
	bare := httptest.NewServer(f.proxier) // its connections cannot be reset by the proxier
	defer bare.Close()
	f.address = bare.Listener.Addr().String()
	sends := &atomic.Int64{}
	address := f.listen(func(conn net.Conn, _ *http.Request) {
		sends.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: stamp\r\nContent-Type: text/event-stream\r\n\r\n%s", stampHeader, eventsUpTo(3))
		conn.Close()
	})
	f.add(address)
	f.add(address)
	got := f.observe("POST", "/list/")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.EqualValues(t, 1, sends.Load())
}
