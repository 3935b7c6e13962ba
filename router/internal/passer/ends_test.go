package passer

import (
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

// endsSeed is of how answers are cut into pieces.
const endsSeed = 57

// wire is an answer as an endpoint writes it.
type wire struct {
	head string
	body []string // pieces, with what frames them
	text string   // the body without what frames it
	// framed tells whether the end of the answer can be told from that of its connection.
	framed bool
}

// framings are the ways in which an answer may tell its end.
var framings = map[string]func(head, text string, draw *rand.Rand) wire{
	"length": func(head, text string, _ *rand.Rand) wire {
		return wire{head: fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head, len(text)), body: []string{text}, text: text, framed: true}
	},
	"chunks": func(head, text string, draw *rand.Rand) wire {
		w := wire{head: "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n", text: text, framed: true}
		for rest := text; rest != ""; {
			n := min(1+draw.IntN(max(len(text)/4, 1)), len(rest))
			w.body = append(w.body, fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n]))
			rest = rest[n:]
		}
		w.body = append(w.body, "0\r\nSum: 1\r\n\r\n")
		return w
	},
	"connection": func(head, text string, _ *rand.Rand) wire {
		return wire{head: "HTTP/1.1 200 OK\r\n" + head + "\r\n", body: []string{text}, text: text}
	},
	"connection of HTTP/1.0": func(head, text string, _ *rand.Rand) wire {
		return wire{head: "HTTP/1.0 200 OK\r\n" + head + "\r\n", body: []string{text}, text: text}
	},
}

// cutAt returns the first bytes of an answer, in the pieces in which they are written.
func (w wire) cutAt(count int, draw *rand.Rand) *[]string {
	all := w.head + strings.Join(w.body, "")
	var pieces []string
	for rest := all[:count]; rest != ""; {
		n := min(1+draw.IntN(len(all)), len(rest))
		pieces = append(pieces, rest[:n])
		rest = rest[n:]
	}
	return &pieces
}

// write writes an answer's pieces.
func write(conn net.Conn, pieces []string) {
	for _, piece := range pieces {
		io.WriteString(conn, piece) //nolint:errcheck // the reader may be gone
	}
}

func (w wire) size() int {
	return len(w.head) + len(strings.Join(w.body, ""))
}

// sent returns how much of the body the first bytes hold, where nothing frames it.
func (w wire) sent(count int) string {
	return w.text[:max(0, min(count-len(w.head), len(w.text)))]
}

// places are where an answer is cut: each byte of a short one, its rims and some drawn
// bytes of a long one.
func (w wire) places(draw *rand.Rand) []int {
	const most, rim, drawn = 4 << 10, 8, 24
	size := w.size()
	var places []int
	for i := range size + 1 {
		if size <= most || i > size-rim {
			places = append(places, i)
		}
	}
	for range drawn {
		places = append(places, draw.IntN(size))
	}
	slices.Sort(places)
	return slices.Compact(places)
}

// concluded is what a client may conclude from an answer.
type concluded struct {
	status int // 0 if no head of an answer came
	body   string
	ended  bool // it saw a clean end
	framed bool // and can tell that the answer is whole
}

// conclude sends a client's request and reads what comes.
func (b *bed) conclude(method, path string) concluded {
	response, err := b.try(b.t.Context(), method, path, "prompt")
	if err != nil {
		return concluded{}
	}
	defer response.Body.Close()
	body, err := text(response)
	return concluded{
		status: response.StatusCode, body: body, ended: err == nil,
		framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
	}
}

// An answer that was broken off reached its caller as if it were complete.
func TestAnswerThatBreaksOffNeverLooksComplete(t *testing.T) {
	long := strings.Repeat("a long answer. ", (wholeBytes+5000)/15)
	tests := map[string]struct {
		method, path, text string
		events             bool
	}{
		"stream":                 {method: "POST", path: "/draft/", text: events1to(3), events: true},
		"resumable stream":       {method: "POST", path: "/list/", text: events1to(3), events: true},
		"stream with CRLF":       {method: "POST", path: "/draft/", text: strings.ReplaceAll(events1to(2), "\n", "\r\n"), events: true},
		"stream inside an event": {method: "POST", path: "/list/", text: events1to(2) + "id: 3\nda", events: true},
		"stream without events":  {method: "POST", path: "/list/", events: true},
		"repeatable":             {method: "GET", path: "/read/", text: "the whole answer"},
		"once":                   {method: "POST", path: "/book/", text: "booked: cottage 7"},
		"long":                   {method: "GET", path: "/read/", text: long},
	}
	for name, test := range tests {
		for framing, frame := range framings {
			for ending, end := range map[string]func(net.Conn, *http.Request){"closed": func(conn net.Conn, _ *http.Request) { conn.Close() }, "reset": cut} {
				t.Run(name+", "+framing+", "+ending, func(t *testing.T) {
					t.Parallel()
					draw := rand.New(rand.NewPCG(endsSeed, 0))
					kind := ""
					if test.events {
						kind = "Content-Type: text/event-stream\r\n"
					}
					b := newBed(t)
					answer := frame(stampHeader+": stamp\r\n"+kind, test.text, draw)
					var pieces atomic.Pointer[[]string]
					address := b.listen(func(conn net.Conn, request *http.Request) {
						write(conn, *pieces.Load())
						end(conn, request)
					})
					for _, place := range answer.places(draw) {
						pieces.Store(answer.cutAt(place, draw))
						id := b.add(address)
						requireTrue(t, answer, place, ending == "closed", test.events, b.conclude(test.method, test.path))
						b.remove(id)
					}
				})
			}
		}
	}
}

// requireTrue checks what a client was told of an answer of which so many bytes were sent.
func requireTrue(t *testing.T, w wire, count int, closed, events bool, got concluded) {
	t.Helper()
	where := fmt.Sprintf("cut behind byte %d of %d", count, w.size())
	whole := w.framed && count == w.size() && (!events || between(w.text))
	if got.status != http.StatusOK {
		require.GreaterOrEqual(t, got.status, 500, where)
		require.False(t, whole && closed, "%s: a whole answer was not passed on", where)
		return
	}
	require.True(t, strings.HasPrefix(w.text, got.body), "%s: other bytes came", where)
	switch {
	case got.ended && got.framed:
		require.True(t, whole, "%s: it looks complete", where)
		require.Equal(t, w.text, got.body, where)
	case got.ended:
		require.False(t, w.framed, where)
		require.True(t, closed, "%s: an end that was a reset", where)
		require.Equal(t, w.sent(count), got.body, where)
		require.True(t, !events || between(got.body), "%s: it ends inside an event", where)
	default:
		ends := !w.framed && count > len(w.head) && (!events || between(w.sent(count)))
		require.False(t, closed && (whole || ends), "%s: what ended was cut", where)
	}
}

// between tells whether the begin of a stream ends between two events.
func between(text string) bool {
	return text == "" || strings.HasSuffix(text, "\n\n") || strings.HasSuffix(text, "\n\r\n")
}

// A stream went on as if it were complete where its first endpoint had broken off, or where
// the second one's end told nothing.
func TestSecondTryNeverMakesABrokenStreamLookComplete(t *testing.T) {
	const last = 5
	for first, begin := range framings {
		for second, goOn := range framings {
			t.Run(first+", "+second, func(t *testing.T) {
				t.Parallel()
				draw := rand.New(rand.NewPCG(endsSeed, 1))
				head := stampHeader + ": stamp\r\nConnection: close\r\nContent-Type: text/event-stream\r\n"
				begun := begin(head, events1to(3), draw)
				b := newBed(t)
				b.passer.options.Budget = &budgeter.Budgeter{Bound: budgeter.Bound{Slack: 1 << 20, Window: time.Minute}}
				var broken atomic.Pointer[[]string] // what the first try gets
				address := b.listen(func(conn net.Conn, request *http.Request) {
					defer conn.Close()
					if pieces := broken.Swap(nil); pieces != nil {
						write(conn, *pieces)
						return
					}
					from := 0                                             // the last event that the client has
					fmt.Sscan(request.Header.Get("Last-Event-Id"), &from) //nolint:errcheck // without one it begins
					rest := goOn(head, strings.TrimPrefix(events1to(last), events1to(from)), rand.New(rand.NewPCG(endsSeed, uint64(from))))
					write(conn, []string{rest.head + strings.Join(rest.body, "")})
				})
				for place := range begun.size() {
					broken.Store(begun.cutAt(place, draw))
					ids := []string{b.add(address), b.add(address)}
					got := b.conclude("POST", "/list/")
					b.remove(ids...)
					where := fmt.Sprintf("cut behind byte %d of %d", place, begun.size())
					require.Equal(t, http.StatusOK, got.status, where)
					alone := !begun.framed && place >= len(begun.head) && between(begun.sent(place))
					if alone {
						require.Equal(t, begun.sent(place), got.body, where)
						require.True(t, got.ended && !got.framed, "%s: an end that tells nothing", where)
						continue
					}
					require.Equal(t, events1to(last), got.body, where)
					require.Equal(t, goOn(head, "", draw).framed || !got.framed, got.ended, "%s: its end is told as it is", where)
				}
			})
		}
	}
}

// A client that knows no chunks took the end of a broken stream for the end of the answer: its
// connection was closed as behind a whole one.
func TestBrokenStreamResetsAClientWithoutChunks(t *testing.T) {
	for name, test := range map[string]struct {
		end   func(net.Conn)
		whole bool
	}{
		"whole":  {end: endStream, whole: true},
		"broken": {end: func(conn net.Conn) { conn.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.endpoint(func(conn net.Conn, request *http.Request) {
				beginStream(conn, request, 1, 3)
				test.end(conn)
			})
			conn, err := net.Dial("tcp", b.address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /draft/ HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			got, err := io.ReadAll(conn)
			require.Equal(t, test.whole, err == nil, "%v", err)
			require.Contains(t, string(got), events1to(3))
		})
	}
}

// A client that read too slowly saw an answer that ends with its connection cut as if it had ended.
func TestSlowReaderOfAnAnswerWithoutFramingIsReset(t *testing.T) {
	const size = 64 << 20 // more than any buffer between the two
	b := newBed(t)
	b.endpoint(func(conn net.Conn, _ *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: stamp\r\n\r\n", stampHeader)
		conn.Write(make([]byte, size)) //nolint:errcheck // the reader may be gone
		conn.Close()
	})
	conn, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /brief/ HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.passer.Running() == 0 && b.passer.Taken() == 1 }, patience, tick)
	_, err = io.Copy(io.Discard, conn)
	require.Error(t, err, "an end that is none")
}

// A stream whose head could not be sent went on at another endpoint behind events that its client
// had never got.
func TestStreamWhoseHeadIsNotSentIsNotGoneOnWith(t *testing.T) {
	b := newBed(t)
	bare := httptest.NewServer(b.passer) // its connections cannot be reset
	defer bare.Close()
	b.address = bare.Listener.Addr().String()
	sends := &atomic.Int64{}
	address := b.listen(func(conn net.Conn, _ *http.Request) {
		sends.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: stamp\r\nContent-Type: text/event-stream\r\n\r\n%s", stampHeader, events1to(3))
		conn.Close()
	})
	b.add(address)
	b.add(address)
	got := b.conclude("POST", "/list/")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.EqualValues(t, 1, sends.Load())
}
