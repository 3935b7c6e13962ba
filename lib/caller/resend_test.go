package caller_test

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/answerer"
	"shallotkeel.example/lib/caller"
)

// breakingRouter answers the first request of its first connection, and closes that connection when it has
// read the second one whole. With closed set nothing listens from then on, otherwise later connections are
// answered. Each request's path is sent to arrived.
func breakingRouter(t *testing.T, closed bool, arrived chan<- string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveConnection(conn, first, func() {
				if closed {
					listener.Close()
				}
			}, arrived)
		}
	}()
	return "http://" + listener.Addr().String()
}

// serveConnection answers the requests of a connection. If breaks is set it calls broken and closes the
// connection once it has read the second request.
func serveConnection(conn net.Conn, breaks bool, broken func(), arrived chan<- string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, request.ContentLength)
		if _, err := reader.Read(body); err != nil {
			return
		}
		arrived <- request.URL.Path
		if breaks && number == 2 {
			broken()
			return
		}
		text := answerer.Plain(request.Method, "/x", body)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Outcome: answered\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text))
	}
}

// Guards against a booking that its client sends a second time by itself, when the router that has read it
// is killed: the second router answers key_spent, or the caller believes that nothing was sent.
func TestBookingIsSentOnce(t *testing.T) {
	for name, closed := range map[string]bool{"the router is back at once": false, "nothing listens any more": true} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan string, 4)
			target := breakingRouter(t, closed, arrived)
			c := caller.Caller{Client: caller.NewClient(), Clock: clockwork.NewRealClock(), Timeout: 5 * time.Second}
			booking := caller.Request{
				Workspace: "w", Token: "t", Kind: caller.Plain, Service: "s", Method: http.MethodPost, Path: "/x",
				Body: "{}", Key: "k", Once: true,
			}
			require.Equal(t, caller.Answered, c.Call(t.Context(), target, booking).Ending)
			booking.Key = "l"
			result := c.Call(t.Context(), target, booking)
			require.Equal(t, caller.Lost, result.Ending, result.Error)
			require.Len(t, arrived, 2)
		})
	}
}
