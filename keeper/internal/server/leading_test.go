package server

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

// respondingLeader is a leader that answers Record; every other call panics.
type respondingLeader struct{ messenger.Keeping }

func (respondingLeader) Record(context.Context, *messenger.RecordRequest) (*messenger.RecordResponse, error) {
	return &messenger.RecordResponse{}, nil
}

// viewWithLeader returns the view of a follower whose leader has an id and an address.
func viewWithLeader(id replicator.ID, address string) *view {
	return &view{status: replicator.Status{
		ID: 1, State: replicator.Follower, Leader: id,
		Group: replicator.Group{{ID: id, Name: "leader", Address: address, Role: replicator.Voter}},
	}}
}

// Guards against calls that fail for much longer than the election takes after a
// leader freezes. A call is forwarded to the frozen leader, which keeps the connection
// open and does not answer, while another leader is elected.
func TestForwardedCallMovesToNewLeader(t *testing.T) {
	t.Parallel()
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer frozen.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := frozen.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	next := httptest.NewUnstartedServer(nil)
	next.Config = dialer.Server(secret, messenger.NewKeepingServer(respondingLeader{}))
	next.Start()
	defer next.Close()

	s := newServer(&settings.Settings{Secret: secret, Timing: settings.Timing{
		Heartbeat: loader.Duration{Duration: 10 * time.Millisecond},
		Election:  loader.Duration{Duration: time.Minute}, // an attempt's timeout is longer than the call's
	}}, zerolog.Nop(), clockwork.NewRealClock())
	defer s.sender.Close()
	s.callTimeout = time.Minute // long enough that a busy machine does not cause a timeout
	s.view.Store(viewWithLeader(2, frozen.Addr().String()))
	answered := make(chan error, 1)
	go func() {
		_, err := keeping{s}.Record(context.Background(), &messenger.RecordRequest{})
		answered <- err
	}()
	conn := <-accepted
	defer conn.Close()
	_, err = io.CopyN(io.Discard, conn, int64(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")))
	require.NoError(t, err)
	require.True(t, awaitFrame(conn, headersFrame))
	s.view.Store(viewWithLeader(3, next.Listener.Addr().String()))
	s.leadershipChanged.notify()
	require.NoError(t, <-answered)
	require.True(t, awaitFrame(conn, resetFrame), "the attempt was not cancelled: the client closed the connection without a reset frame")
}

// Types of HTTP/2 frames (RFC 9113, section 6).
const (
	headersFrame = 1
	resetFrame   = 3
)

// awaitFrame reads the frames of an HTTP/2 client up to the first frame of a type, and reports
// whether that frame arrives before the client closes the connection.
func awaitFrame(conn io.Reader, frame byte) bool {
	for {
		var head [9]byte // 24 bits of length, 8 of type
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return false
		}
		length := int64(head[0])<<16 | int64(head[1])<<8 | int64(head[2])
		if _, err := io.CopyN(io.Discard, conn, length); err != nil {
			return false
		}
		if head[3] == frame {
			return true
		}
	}
}

// Guards against two keepers that forward a call back and forth because each considers
// the other the leader.
func TestForwardedCallIsNotForwardedAgain(t *testing.T) {
	t.Parallel()
	s := newServer(&settings.Settings{Secret: secret}, zerolog.Nop(), clockwork.NewRealClock())
	defer s.sender.Close()
	s.view.Store(viewWithLeader(2, "127.0.0.1:1"))
	ctx := context.WithValue(context.Background(), forwardedKey{}, true)
	_, err := keeping{s}.Record(ctx, &messenger.RecordRequest{})
	require.ErrorContains(t, err, "not the leader")
}
