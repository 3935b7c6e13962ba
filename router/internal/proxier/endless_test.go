package proxier

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
)

// maxEndlessMemory bounds in bytes what a router may allocate in total for one request to an endpoint that
// sends without end, and for its client.
const maxEndlessMemory = 8 << 20

// endlessAnswers are the heads after which an endpoint sends a piece without end. The verb in a head is the
// id of the request.
var endlessAnswers = map[string]struct {
	head, piece string
	// begins reports that a part of an answer without events is passed on before its fault shows.
	begins bool
	// declines reports that the answer says that the request has not run.
	declines bool
}{
	"status line":           {head: "HTTP/1.1 200 ", piece: "x"},
	"header line":           {head: "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\nName: ", piece: "x"},
	"header fields":         {head: "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\n", piece: "A: b\r\n"},
	"no protocol":           {piece: "\x00garbage"},
	"interim answers":       {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
	"answer to another":     {head: "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n" + stampHeader + ": stamp\r\n\r\n", piece: "x"},
	"trailer":               {head: signedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", piece: "A: b\r\n"},
	"trailer of a long one": {head: signedHead + "Transfer-Encoding: chunked\r\n\r\n" + longChunk + "0\r\n", piece: "A: b\r\n", begins: true},
	"chunk extension":       {head: signedHead + "Transfer-Encoding: chunked\r\n\r\n2;", piece: "x"},
	"unsigned answer":       {head: "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\n\r\n", piece: "x"},
	"error in chunks":       {head: "HTTP/1.1 500 Fault\r\n" + idHeader + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n"},
	"error without framing": {head: "HTTP/1.1 500 Fault\r\n" + idHeader + ": %s\r\n\r\n", piece: "x"},
	"refusal":               {head: refusalHead + "\r\n", piece: "x", declines: true},
	"refusal in chunks":     {head: refusalHead + "Transfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n", declines: true},
	"refusal's trailer":     {head: refusalHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: "A: b\r\n", declines: true},
}

const (
	signedHead  = "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\n" + stampHeader + ": stamp\r\n"
	errorHead   = "HTTP/1.1 500 Fault\r\n" + idHeader + ": %s\r\n"
	refusalHead = "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": %s\r\n" + notRunHeader + ": 1\r\n"
)

// longChunk is a chunk that is longer than an answer that is buffered.
var longChunk = fmt.Sprintf("%x\r\n%s\r\n", 2*maxBufferedAnswerBytes, strings.Repeat("y", 2*maxBufferedAnswerBytes))

// sendEndlessly sends a head, and then pieces until the router closes the connection.
func sendEndlessly(conn net.Conn, request *http.Request, head, piece string) {
	_, err := io.WriteString(conn, strings.Replace(head, "%s", request.Header.Get(idHeader), 1))
	pieces := []byte(strings.Repeat(piece, max(1, 16<<10/len(piece))))
	for err == nil {
		_, err = conn.Write(pieces)
	}
}

// Guards against an endpoint that sends without end and thereby uses up the router's memory, holds requests
// until their deadlines, or is not recognized as faulty.
func TestEndlessAnswerCountsAsABrokenConnection(t *testing.T) {
	for name, test := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			outcomes := make(chan balancer.Outcome, 1)
			f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
				q := &request{http: h, writer: w, received: f.proxier.options.Clock.Now(), tried: make(map[string]bool)}
				q.in = f.proxier.options.Dialect.Read(h.Header)
				require.True(t, f.proxier.admit(q))
				failure := f.proxier.attempt(h.Context(), q)
				require.NotNil(t, failure)
				require.Equal(t, test.declines, failure.notRun)
				outcomes <- failure.outcome
				f.proxier.giveUp(h.Context(), q, *failure)
			})
			f.endpoint(func(conn net.Conn, request *http.Request) { sendEndlessly(conn, request, test.head, test.piece) })
			response, err := f.send(t.Context(), "POST", "/book/", "prompt")
			if err == nil {
				readText(response) //nolint:errcheck // only the endpoint's outcome counts
			}
			require.Equal(t, balancer.ConnectionBroken, <-outcomes)
		})
	}
}

// Guards against a caller that waits for the end of an endless answer, gets a part of it as the complete
// one, or whose request runs twice although it must not.
func TestCallerOfAnEndlessEndpointGetsAnAnswer(t *testing.T) {
	for name, test := range endlessAnswers {
		for path, repeatable := range map[string]bool{"/read/": true, "/book/": false, "/list/": true, "/draft/": false} {
			t.Run(name+path, func(t *testing.T) {
				f := newFixture(t)
				var sends atomic.Int64
				serve := func(conn net.Conn, request *http.Request) {
					if sends.Add(1) == 1 {
						sendEndlessly(conn, request, test.head, test.piece)
						return
					}
					reply(conn, request, http.StatusOK, event(1))
				}
				f.endpoint(serve)
				f.endpoint(serve)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				response, err := f.send(t.Context(), "POST", path, "prompt")
				require.NoError(t, err)
				body, err := readText(response)
				runtime.ReadMemStats(&after)
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxEndlessMemory))
				switch {
				case test.begins && !isStream(path):
					require.Error(t, err, "a truncated answer ended cleanly")
					require.EqualValues(t, 1, sends.Load())
				case repeatable || test.declines && f.attempts(path) > 1:
					require.NoError(t, err)
					require.Equal(t, event(1), body)
					require.EqualValues(t, 2, sends.Load())
				case test.declines:
					require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
					require.EqualValues(t, 1, sends.Load())
				default:
					require.Equal(t, http.StatusBadGateway, response.StatusCode)
					require.EqualValues(t, 1, sends.Load())
				}
			})
		}
	}
}

func isStream(path string) bool {
	return path == "/list/" || path == "/draft/"
}

// attempts returns how many attempts the route of a path allows.
func (f *fixture) attempts(path string) int {
	route, found := f.fleetState.Table().Route("h", path)
	require.True(f.t, found)
	return route.Attempts
}

// Guards against a request that waits until its deadline for the body of a refusal.
func TestRefusalWithoutItsBodyIsRetriedAtOnce(t *testing.T) {
	f := newFixture(t)
	var sends atomic.Int64
	serve := func(conn net.Conn, request *http.Request) {
		if sends.Add(1) == 1 {
			fmt.Fprintf(conn, refusalHead+"Content-Length: 9\r\n\r\npart", request.Header.Get(idHeader))
			awaitClose(conn)
			return
		}
		reply(conn, request, http.StatusOK, "whole")
	}
	f.endpoint(serve)
	f.endpoint(serve)
	body, err := f.fetch("POST", "/read/", "prompt")
	require.NoError(t, err)
	require.Equal(t, "whole", body)
}

// Guards against a long error answer of a healthy endpoint that is replaced by the router's own, or for which
// the endpoint counts as broken.
func TestLongErrorAnswerIsRelayed(t *testing.T) {
	for framing, reply := range map[string]func(conn net.Conn, request *http.Request, body string){
		"length": func(conn net.Conn, request *http.Request, body string) {
			reply(conn, request, http.StatusInternalServerError, body)
		},
		"chunks":     replyErrorInChunks,
		"connection": replyErrorUnframed,
	} {
		for _, size := range []int{80 << 10, maxErrorBytes - 1, 2 * maxErrorBytes} {
			if framing != "length" && size == 2*maxErrorBytes {
				continue // it counts as endless
			}
			for _, limit := range []int64{0, 1} {
				t.Run(fmt.Sprint(framing, " ", size, " memory ", limit), func(t *testing.T) {
					f := newFixture(t)
					f.proxier.answerMemory.limit = limit
					outcomes := f.recordOutcomes()
					long := strings.Repeat("x", size)
					f.endpoint(func(conn net.Conn, request *http.Request) { reply(conn, request, long) })
					response := f.do("POST", "/book/", "prompt")
					body, err := readText(response)
					require.NoError(t, err)
					require.Equal(t, http.StatusInternalServerError, response.StatusCode)
					require.True(t, body == long)
					require.NotEqual(t, balancer.ConnectionBroken, <-outcomes)
				})
			}
		}
	}
}

func replyErrorInChunks(conn net.Conn, request *http.Request, body string) {
	fmt.Fprintf(conn, errorHead+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", request.Header.Get(idHeader), len(body), body)
}

func replyErrorUnframed(conn net.Conn, request *http.Request, body string) {
	fmt.Fprintf(conn, errorHead+"\r\n%s", request.Header.Get(idHeader), body)
	conn.Close()
}

// Guards against a request that may be repeated and gets the error answer of one endpoint as final because other
// answers hold the memory, although another endpoint is well.
func TestErrorAnswerWithoutMemoryIsRepeated(t *testing.T) {
	for name, test := range map[string]struct {
		reply func(conn net.Conn, request *http.Request)
		want  balancer.Outcome
	}{
		"length": {func(conn net.Conn, request *http.Request) {
			reply(conn, request, http.StatusInternalServerError, strings.Repeat("x", 20<<10))
		}, balancer.Faulty},
		"chunks": {func(conn net.Conn, request *http.Request) {
			replyErrorInChunks(conn, request, strings.Repeat("x", 20<<10))
		}, balancer.Faulty},
		"endless": {func(conn net.Conn, request *http.Request) { sendEndlessly(conn, request, errorHead+"\r\n", "x") }, balancer.ConnectionBroken},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.proxier.answerMemory.limit = 1
			outcomes := f.recordOutcomes()
			var sends atomic.Int64
			serve := func(conn net.Conn, request *http.Request) {
				if sends.Add(1) == 1 {
					test.reply(conn, request)
					return
				}
				reply(conn, request, http.StatusOK, "whole")
			}
			f.endpoint(serve)
			f.endpoint(serve)
			body, err := f.fetch("POST", "/read/", "prompt")
			require.NoError(t, err)
			require.Equal(t, "whole", body)
			require.Equal(t, test.want, <-outcomes)
		})
	}
}

// Guards against an error answer that is appended to the events of a stream.
func TestErrorAnswerEndsAResumedStream(t *testing.T) {
	for name, size := range map[string]int{"short": 1 << 10, "no memory": 20 << 10, "long": maxErrorBytes + 1} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.proxier.answerMemory.limit = 1
			var sends atomic.Int64
			serve := func(conn net.Conn, request *http.Request) {
				if sends.Add(1) == 1 {
					beginStream(conn, request, 1, 1)
					conn.Close()
					return
				}
				reply(conn, request, http.StatusInternalServerError, strings.Repeat("x", size))
			}
			f.endpoint(serve)
			f.endpoint(serve)
			body, err := f.fetch("POST", "/list/", "prompt")
			require.Error(t, err, "a truncated stream ended cleanly")
			require.Equal(t, event(1), body)
			require.EqualValues(t, 2, sends.Load())
		})
	}
}

// Guards against an endpoint whose error answers never end and that is not charged because they are slow, or
// because there is no memory for them.
func TestEndlessErrorAnswerIsCharged(t *testing.T) {
	const piece = maxBufferedAnswerBytes + 1
	for name, test := range map[string]struct {
		limit int64
		path  string
		serve func(conn net.Conn, request *http.Request)
	}{
		"no memory": {limit: 1, path: "/book/", serve: func(conn net.Conn, request *http.Request) { sendEndlessly(conn, request, errorHead+"\r\n", "x") }},
		"until the deadline": {path: "/book/", serve: func(conn net.Conn, request *http.Request) {
			fmt.Fprintf(conn, errorHead+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", request.Header.Get(idHeader), piece, strings.Repeat("x", piece))
			awaitClose(conn)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.proxier.answerMemory.limit = test.limit
			outcomes := f.recordOutcomes()
			f.endpoint(test.serve)
			response, err := f.send(t.Context(), "POST", test.path, "prompt", deadlineHeader, "300")
			if err == nil {
				readText(response) //nolint:errcheck // only the endpoint's outcome counts
			}
			require.Equal(t, balancer.ConnectionBroken, <-outcomes)
		})
	}
}

// Guards against requests that are suspected of a crash because their endpoint sends an endless error answer.
func TestEndlessErrorAnswerIsNoCrash(t *testing.T) {
	p := &Proxier{} // a report to the observer would panic
	failure := p.failed(t.Context(), &request{}, nil, merry.Errorf("%w: %w", forwarder.ErrBroken, errEndless))
	require.Equal(t, balancer.ConnectionBroken, failure.outcome)
}

// Guards against an endpoint that is charged for a refusal whose body is late.
func TestLateRefusalIsNotCharged(t *testing.T) {
	for name, begin := range map[string]string{"nothing": "", "a part": "2\r\nno\r\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			outcomes := f.recordOutcomes()
			f.endpoint(func(conn net.Conn, request *http.Request) {
				fmt.Fprintf(conn, refusalHead+"Transfer-Encoding: chunked\r\n\r\n%s", request.Header.Get(idHeader), begin)
				awaitClose(conn)
			})
			response := f.do("POST", "/book/", "prompt")
			_, err := readText(response)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, balancer.Full, <-outcomes)
		})
	}
}

// recordOutcomes makes the server pass on what each attempt says about its endpoint.
func (f *fixture) recordOutcomes() <-chan balancer.Outcome {
	outcomes := make(chan balancer.Outcome, 8)
	p := f.proxier
	f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		q := &request{http: h, writer: w, received: p.options.Clock.Now(), tried: make(map[string]bool), in: p.options.Dialect.Read(h.Header)}
		if !p.admit(q) {
			f.t.Error("the request was refused")
			return
		}
		ctx, cancel := context.WithDeadline(h.Context(), q.deadline)
		defer cancel()
		for {
			failure := p.attempt(ctx, q)
			outcomes <- outcomeOf(ctx, failure)
			if failure == nil {
				return
			}
			q.mayHaveRun = q.mayHaveRun || !failure.unsent && !failure.notRun
			if !p.mayRetry(ctx, q, *failure) {
				p.giveUp(ctx, q, *failure)
				return
			}
		}
	})
	return outcomes
}
