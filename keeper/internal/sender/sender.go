// Package sender sends the messages of the replication protocol to the other keepers.
//
// Invariants: sending never blocks the control loop; messages to one keeper
// arrive in order, except snapshots, which are sent in parallel so that
// heartbeats do not wait for them; a keeper that does not answer takes up no
// more than a bounded queue. The replication protocol tolerates lost
// messages and resends what is still needed.
package sender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

const (
	// queueLength bounds the queued messages to one keeper.
	queueLength = 1024
	// maxBatchBytes is the payload size at which a call takes no further message. A single
	// message may be larger.
	maxBatchBytes = 4 << 20
	// snapshotTimeout bounds the transfer of a whole snapshot over a slow link.
	snapshotTimeout = 30 * time.Second
	// maxAddresses bounds the known addresses, because every caller can add one.
	maxAddresses = 256
)

// Sender sends messages to all other keepers. It is safe for concurrent use.
type Sender struct {
	client     *http.Client
	ownAddress string // this keeper's control address
	timeout    time.Duration

	lock      sync.Mutex
	peers     map[string]*peer // by control address
	addresses map[replicator.ID]string
	dropped   uint64

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// peer holds the queue and the client of one keeper.
type peer struct {
	queue        chan replicator.Message
	snapshotSlot chan struct{} // holds a token while a snapshot is in flight
	service      messenger.Replication
}

// New returns a sender. The timeout bounds each call, so that later messages are
// sent to a keeper that hung and has recovered.
func New(client *http.Client, own string, timeout time.Duration) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		client: client, ownAddress: own, timeout: timeout,
		peers: make(map[string]*peer), addresses: make(map[replicator.ID]string),
		ctx: ctx, cancel: cancel,
	}
}

// Close cancels all calls and waits until they have ended.
func (s *Sender) Close() {
	s.cancel()
	s.wait.Wait()
}

// Learn sets the control address of a replica: from the membership, or from a
// message of a keeper that is not in the membership known here yet.
func (s *Sender) Learn(id replicator.ID, address string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, found := s.addresses[id]; !found && len(s.addresses) >= maxAddresses {
		clear(s.addresses)
	}
	s.addresses[id] = address
}

// Dropped returns the number of messages that were not delivered: because a queue was full, an
// address was unknown, a snapshot was in flight already, or a call failed.
func (s *Sender) Dropped() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.dropped
}

// Send queues messages. It does not block, and drops messages whose queue is full.
func (s *Sender) Send(messages []replicator.Message) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	for _, message := range messages {
		s.enqueue(message)
	}
}

func (s *Sender) enqueue(message replicator.Message) {
	address, found := s.addresses[message.To]
	if !found {
		s.dropped++
		return
	}
	to := s.peer(address)
	if message.Kind == replicator.Install {
		s.sendSnapshot(to, message)
		return
	}
	select {
	case to.queue <- message:
	default:
		s.dropped++
	}
}

func (s *Sender) peer(address string) *peer {
	known, found := s.peers[address]
	if !found {
		known = &peer{
			queue:        make(chan replicator.Message, queueLength),
			snapshotSlot: make(chan struct{}, 1),
			service:      messenger.NewReplicationProtobufClient("http://"+address, s.client),
		}
		s.peers[address] = known
		s.wait.Add(1)
		go s.run(known)
	}
	return known
}

// run sends the queued messages to one keeper, one call at a time, so that their order
// is kept and a burst shares a call.
func (s *Sender) run(to *peer) {
	defer s.wait.Done()
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-to.queue:
			s.deliver(to, collect(first, to.queue), s.timeout)
		}
	}
}

// collect returns the first message and further queued ones, up to about maxBatchBytes.
func collect(first replicator.Message, queue <-chan replicator.Message) []replicator.Message {
	batch := []replicator.Message{first}
	size := payloadSize(first)
	for size < maxBatchBytes {
		select {
		case next := <-queue:
			batch = append(batch, next)
			size += payloadSize(next)
		default:
			return batch
		}
	}
	return batch
}

// payloadSize returns the size in bytes of a message's log entries.
func payloadSize(message replicator.Message) int {
	size := 0
	for _, entry := range message.Entries {
		size += len(entry.Data)
	}
	return size
}

// sendSnapshot sends a snapshot, or drops it if one is in flight to that keeper.
func (s *Sender) sendSnapshot(to *peer, message replicator.Message) {
	select {
	case to.snapshotSlot <- struct{}{}:
	default:
		s.dropped++
		return
	}
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		s.deliver(to, []replicator.Message{message}, snapshotTimeout)
		<-to.snapshotSlot
	}()
}

// deliver makes one call. Errors are only counted: the replication protocol resends what is
// still needed.
func (s *Sender) deliver(to *peer, batch []replicator.Message, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	request := &messenger.DeliverRequest{From: s.ownAddress, Message: replicator.EncodeMessages(batch)}
	if _, err := to.service.Deliver(ctx, request); err != nil {
		s.lock.Lock()
		s.dropped += uint64(len(batch))
		s.lock.Unlock()
	}
}
