package sender_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/sender"
	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

const secret = "secret"

// receiver passes the messages that it receives to a channel.
type receiver struct{ messages chan replicator.Message }

func (r receiver) Deliver(_ context.Context, request *messenger.DeliverRequest) (*messenger.DeliverResponse, error) {
	messages, err := replicator.DecodeMessages(request.GetMessage())
	for _, message := range messages {
		r.messages <- message
	}
	return &messenger.DeliverResponse{}, err
}

func newSender(t *testing.T) *sender.Sender {
	t.Helper()
	s := sender.New(dialer.Client(secret, &dialer.Counter{}), "127.0.0.1:1", 200*time.Millisecond)
	t.Cleanup(s.Close)
	return s
}

// Guards against messages to one keeper that are reordered or lost.
func TestMessagesArriveInOrder(t *testing.T) {
	t.Parallel()
	const count = 500
	got := receiver{messages: make(chan replicator.Message, count)}
	server := httptest.NewUnstartedServer(nil)
	server.Config = dialer.Server(secret, messenger.NewReplicationServer(got))
	server.Start()
	defer server.Close()
	s := newSender(t)
	s.Learn(2, server.Listener.Addr().String())
	for i := range count {
		s.Send([]replicator.Message{{Kind: replicator.Append, To: 2, Term: uint64(i)}})
	}
	for i := range count {
		require.EqualValues(t, i, (<-got.messages).Term)
	}
	require.Zero(t, s.Dropped())
}

// Guards against a group that stalls while one keeper is frozen: the keeper accepts
// connections and does not answer, and its queue fills up.
func TestFrozenKeeperDoesNotBlockSend(t *testing.T) {
	t.Parallel()
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer frozen.Close()
	s := newSender(t)
	s.Learn(2, frozen.Addr().String())
	for range 10_000 {
		s.Send([]replicator.Message{{Kind: replicator.Append, To: 2}, {Kind: replicator.Append, To: 3}})
	}
	require.Greater(t, s.Dropped(), uint64(10_000), "messages to the unknown keeper and those beyond the queue's capacity are dropped")
}
