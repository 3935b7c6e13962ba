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

// working is a leader that answers; every other call panics.
type working struct{ messenger.Keeping }

func (working) Record(context.Context, *messenger.RecordRequest) (*messenger.RecordResponse, error) {
	return &messenger.RecordResponse{}, nil
}

func leaderAt(id replicator.ID, address string) *view {
	return &view{status: replicator.Status{
		ID: 1, State: replicator.Follower, Leader: id,
		Group: replicator.Group{{ID: id, Name: "leader", Address: address, Role: replicator.Voter}},
	}}
}

// Symptom: after a leader froze, calls through the other keepers fail for much
// longer than the election took. Sequence: a call was passed on to the frozen
// leader, which holds the connection and answers nothing; another is elected
// meanwhile.
func TestFrozenLeaderIsLeftForTheNext(t *testing.T) {
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
	next.Config = dialer.Server(secret, messenger.NewKeepingServer(working{}))
	next.Start()
	defer next.Close()

	s := newServer(&settings.Settings{Secret: secret, Timing: settings.Timing{
		Heartbeat: loader.Duration{Duration: 10 * time.Millisecond},
		Election:  loader.Duration{Duration: time.Minute}, // the timeout of an attempt would be later than that of the call
	}}, zerolog.Nop(), clockwork.NewRealClock())
	defer s.sender.Close()
	s.callTimeout = time.Minute // a busy machine is no reason to give up
	s.view.Store(leaderAt(2, frozen.Addr().String()))
	answered := make(chan error, 1)
	go func() {
		_, err := keeping{s}.Record(context.Background(), &messenger.RecordRequest{})
		answered <- err
	}()
	conn := <-accepted
	defer conn.Close()
	_, err = io.CopyN(io.Discard, conn, int64(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")))
	require.NoError(t, err)
	require.True(t, sends(conn, headersFrame))
	s.view.Store(leaderAt(3, next.Listener.Addr().String()))
	s.leadershipChanged.notify()
	require.NoError(t, <-answered)
	require.True(t, sends(conn, resetFrame), "the attempt was not cancelled: it ended as the connection was given up")
}

// The types of HTTP/2 frames that the test looks for (RFC 9113, section 6).
const (
	headersFrame = 1
	resetFrame   = 3
)

// sends reads what an HTTP/2 client sends up to the first frame of a type, and tells whether
// that comes before the client closes the connection.
func sends(conn io.Reader, frame byte) bool {
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

// Symptom: two keepers pass a call back and forth. Sequence: each takes the
// other for the leader.
func TestForwardedCallIsNotForwardedAgain(t *testing.T) {
	t.Parallel()
	s := newServer(&settings.Settings{Secret: secret}, zerolog.Nop(), clockwork.NewRealClock())
	defer s.sender.Close()
	s.view.Store(leaderAt(2, "127.0.0.1:1"))
	ctx := context.WithValue(context.Background(), forwardedKey{}, true)
	_, err := keeping{s}.Record(ctx, &messenger.RecordRequest{})
	require.ErrorContains(t, err, "not the leader")
}
