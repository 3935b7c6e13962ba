package relayer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/narrower"
)

// Guards against a request that was given up behind a cut, and that the system delivers when the cut heals.
func TestRequestThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	for name, singleUse := range map[string]bool{"may be repeated": false, "must not be repeated": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := narrower.Listen(t.Context())
			require.NoError(t, err)
			defer listener.Close()
			written := make(chan struct{})
			ctx, cancel := context.WithCancel(httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
				WroteRequest: func(httptrace.WroteRequestInfo) { close(written) },
			}))
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), opaque{strings.NewReader(strings.Repeat("x", 16<<10))})
			require.NoError(t, err)
			request.ContentLength = 16 << 10
			ended := make(chan error, 1)
			go func() {
				response, err := newTransport(time.Minute, singleUse).RoundTrip(request)
				if err == nil {
					response.Body.Close()
				}
				ended <- err
			}()
			conn, err := listener.Accept()
			require.NoError(t, err)
			defer conn.Close()
			<-written
			cancel()
			require.ErrorIs(t, <-ended, context.Canceled)
			arrived, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, err = io.Copy(io.Discard, arrived.Body)
			}
			require.Error(t, err, "the whole request arrived after it was given up")
		})
	}
}

// scripted is a connection whose read and write end as a test says.
type scripted struct {
	net.Conn
	read, write error
	blocked     chan struct{} // closed when a write has begun
	deadline    chan struct{} // closed when writes are ended
}

func (s *scripted) Read([]byte) (int, error) { return 0, s.read }

func (s *scripted) Write([]byte) (int, error) {
	close(s.blocked)
	<-s.deadline
	return 0, s.write
}

func (s *scripted) SetWriteDeadline(time.Time) error {
	close(s.deadline)
	return nil
}

// Guards against an answer without framing that its endpoint resets under a long upload and that looks whole:
// the write has got the reset, and the read ends as at an ordinary close.
func TestResetUnderAnUploadIsNoEndOfTheAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		read, write error
		pending     bool // the write still waits when the read ends
		want        error
	}{
		"the write got the reset":               {read: io.EOF, write: syscall.ECONNRESET, want: syscall.ECONNRESET},
		"the write is about to get the reset":   {read: io.EOF, write: syscall.ECONNRESET, pending: true, want: syscall.ECONNRESET},
		"an ordinary close":                     {read: io.EOF, want: io.EOF},
		"an ordinary close, the write is ended": {read: io.EOF, write: os.ErrDeadlineExceeded, pending: true, want: io.EOF},
		"the read got the reset":                {read: syscall.ECONNRESET, want: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scripted{read: test.read, write: test.write, blocked: make(chan struct{}), deadline: make(chan struct{})}
			c := &revocable{Conn: s}
			if !test.pending {
				close(s.deadline)
			}
			written := make(chan struct{})
			go func() {
				c.Write([]byte("upload")) //nolint:errcheck // the read is judged
				close(written)
			}()
			<-s.blocked
			if !test.pending {
				<-written
			}
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, test.want)
			require.NotErrorIs(t, err, map[bool]error{true: io.EOF, false: syscall.ECONNRESET}[errors.Is(test.want, syscall.ECONNRESET)])
			<-written
		})
	}
}
