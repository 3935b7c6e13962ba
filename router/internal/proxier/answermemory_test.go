package proxier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// awaitNoAnswerMemory waits until no answer holds memory.
func (f *fixture) awaitNoAnswerMemory() {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.proxier.answerMemory.reserved.Load() == 0 }, waitTimeout, pollInterval)
}

// Guards against buffered answers that together exceed the instance's memory: an answer for which there is
// no memory is relayed as it arrives.
func TestTotalMemoryOfBufferedAnswersIsBounded(t *testing.T) {
	const limit, answers = 100 << 10, 8
	f := newFixture(t)
	f.proxier.answerMemory.limit = limit
	half := strings.Repeat("x", maxBufferedAnswerBytes/2-1)
	release := make(chan struct{})
	var waiting atomic.Int64
	f.endpoint(func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: %d\r\n\r\n%s",
			idHeader, request.Header.Get(idHeader), stampHeader, 2*len(half), half)
		waiting.Add(1)
		<-release
		fmt.Fprint(conn, half)
	})
	bodies := make(chan string, answers)
	for range answers {
		go func() {
			body, err := f.fetch("POST", "/book/", "prompt")
			if err != nil {
				body = err.Error()
			}
			bodies <- body
		}()
	}
	require.Eventually(t, func() bool { return waiting.Load() == answers && f.proxier.answerMemory.reserved.Load() > limit/2 }, waitTimeout, pollInterval)
	require.LessOrEqual(t, f.proxier.answerMemory.reserved.Load(), int64(limit))
	close(release)
	for range answers {
		require.True(t, <-bodies == half+half, "an answer is not complete")
	}
	f.awaitNoAnswerMemory()
}

// Guards against long events that together exceed the instance's memory, and against streams of short events
// that are cut because of them.
func TestTotalMemoryOfEventsIsBounded(t *testing.T) {
	const limit = 150 << 10
	f := newFixture(t)
	f.proxier.answerMemory.limit = limit
	begin := "data: " + strings.Repeat("x", 100<<10)
	held, release := make(chan struct{}), make(chan struct{})
	f.endpoint(func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 1)
		if request.URL.Path == "/draft/short" {
			sendEvent(conn, 2)
			endStream(conn)
			return
		}
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(begin), begin)
		if request.URL.Path == "/draft/held" {
			close(held)
			<-release
		}
		fmt.Fprint(conn, "2\r\n\n\n\r\n")
		endStream(conn)
	})
	first := f.do("POST", "/draft/held", "prompt")
	defer first.Body.Close()
	<-held
	require.Eventually(t, func() bool { return f.proxier.answerMemory.reserved.Load() >= int64(len(begin)) }, waitTimeout, pollInterval)
	body, err := f.fetch("POST", "/draft/long", "prompt")
	require.Error(t, err, "two long events exceed the bound")
	require.Equal(t, event(1), body)
	body, err = f.fetch("POST", "/draft/short", "prompt")
	require.NoError(t, err)
	require.Equal(t, eventsUpTo(2), body)
	close(release)
	body, err = readText(first)
	require.NoError(t, err)
	require.Equal(t, event(1)+begin+"\n\n", body)
	f.awaitNoAnswerMemory()
	body, err = f.fetch("POST", "/draft/long", "prompt")
	require.NoError(t, err)
	require.Equal(t, event(1)+begin+"\n\n", body)
}

// Guards against clients that read nothing and for which the router holds more and more: what their streams
// and answers hold is bounded, and released when they leave.
func TestMemoryOfUnreadAnswersIsBounded(t *testing.T) {
	const limit, clients = 300 << 10, 12
	event := "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	for name, test := range map[string]struct {
		path, kind, piece string
		most              int64 // that one request holds while its client reads nothing
	}{
		"long events":  {path: "/draft/", kind: "text/event-stream", piece: event, most: int64(len(event)) + 2*streamBufferBytes},
		"long answers": {path: "/book/", kind: "text/plain", piece: strings.Repeat("x", 64<<10), most: copyBufferBytes},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.proxier.answerMemory.limit = limit
			f.endpoint(func(conn net.Conn, request *http.Request) {
				_, err := fmt.Fprintf(conn, signedHead+"Content-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get(idHeader), test.kind)
				for err == nil {
					_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(test.piece), test.piece)
				}
			})
			for n := range clients {
				conn, err := net.Dial("tcp", f.address)
				require.NoError(t, err)
				defer conn.Close()
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %d\r\n%s: 1000\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", test.path, idHeader, n, deadlineHeader)
			}
			var highest int64
			require.Eventually(t, func() bool {
				highest = max(highest, f.proxier.answerMemory.reserved.Load())
				return f.proxier.Received() == clients && f.proxier.Running() == 0
			}, waitTimeout, pollInterval)
			require.LessOrEqual(t, highest, int64(limit))
			require.Greater(t, highest, limit-test.most, "the bound was not reached")
			f.awaitNoAnswerMemory()
		})
	}
}

// Guards against a client that takes an answer for complete that its endpoint has cut off because it was
// unread for too long.
func TestUnreadAnswerThatIsCutOffLooksTruncated(t *testing.T) {
	// The endpoint sends at most half of it: more than the kernel's buffers of both connections, which grow to
	// 32 MB each on some hosts.
	const size = 256 << 20
	for path, kind := range map[string]string{"/draft/": "text/event-stream", "/book/": "text/plain"} {
		for framing, head := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n", size), "chunks": "Transfer-Encoding: chunked\r\n", "connection": "",
		} {
			for ending, end := range map[string]func(net.Conn, *http.Request){"closed": func(conn net.Conn, _ *http.Request) { conn.Close() }, "reset": resetConn} {
				if framing == "connection" && ending == "closed" {
					continue // such an end cannot be distinguished from that of a complete answer
				}
				t.Run(path+framing+" "+ending, func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					stalled := make(chan struct{})
					f.endpoint(func(conn net.Conn, request *http.Request) {
						defer close(stalled)
						defer end(conn, request)
						fmt.Fprintf(conn, signedHead+"Content-Type: %s\r\n%s\r\n", request.Header.Get(idHeader), kind, head)
						piece := eventsUpTo(1000)
						if framing == "chunks" {
							piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
						}
						for sent := 0; sent < size/2; sent += len(piece) {
							conn.SetWriteDeadline(f.proxier.options.Clock.Now().Add(unreadTimeout)) //nolint:errcheck // the write fails then
							if _, err := io.WriteString(conn, piece); err != nil {
								return
							}
						}
						t.Error("the answer was read by the router although its client read nothing")
					})
					response := f.do("POST", path, "prompt")
					defer response.Body.Close()
					<-stalled
					_, err := io.Copy(io.Discard, response.Body)
					require.Error(t, err, "a truncated answer ended cleanly")
				})
			}
		}
	}
}

// unreadTimeout is how long the test's endpoint waits for its answer to be read.
const unreadTimeout = 200 * time.Millisecond
