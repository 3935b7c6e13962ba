// Package sender carries the agreement's messages to the other keepers.
//
// Invariants: sending never blocks the control loop; messages to one keeper
// arrive in order, except snapshots, which travel beside the others so that
// heartbeats do not wait for them; a keeper that does not answer costs a
// bounded queue and nothing else. Lost messages are the agreement's concern.
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
	// queueLength bounds the messages that wait for one keeper.
	queueLength = 1024
	// batchBytes bounds one call, though not below one message.
	batchBytes = 4 << 20
	// snapshotTimeout is for a whole state over a slow link.
	snapshotTimeout = 30 * time.Second
	// maxAddresses bounds the addresses that were learnt from callers.
	maxAddresses = 256
)

// Sender sends to all other keepers.
type Sender struct {
	client  *http.Client
	own     string // this keeper's control address
	timeout time.Duration

	lock    sync.Mutex
	peers   map[string]*peer // by address
	known   map[replicator.ID]string
	dropped uint64

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// peer is the queue to one keeper.
type peer struct {
	queue      chan replicator.Message
	installing chan struct{} // holds a token while a snapshot is under way
	service    messenger.Replication
}

// New returns a sender. Calls take at most the timeout, so that a keeper that
// hangs is tried again.
func New(client *http.Client, own string, timeout time.Duration) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		client: client, own: own, timeout: timeout,
		peers: make(map[string]*peer), known: make(map[replicator.ID]string),
		ctx: ctx, cancel: cancel,
	}
}

// Close ends all calls and waits for them.
func (s *Sender) Close() {
	s.cancel()
	s.wait.Wait()
}

// Learn notes where a replica is reached: from the membership, or from a
// message of a keeper whose membership this one does not know yet.
func (s *Sender) Learn(id replicator.ID, address string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, found := s.known[id]; !found && len(s.known) >= maxAddresses {
		clear(s.known)
	}
	s.known[id] = address
}

// Dropped returns how many messages found a full queue or no address.
func (s *Sender) Dropped() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.dropped
}

// Send puts messages into the queues.
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
	address, found := s.known[message.To]
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
			queue:      make(chan replicator.Message, queueLength),
			installing: make(chan struct{}, 1),
			service:    messenger.NewReplicationProtobufClient("http://"+address, s.client),
		}
		s.peers[address] = known
		s.wait.Add(1)
		go s.run(known)
	}
	return known
}

// run sends what waits for one keeper, one call at a time, so that order is kept
// and a burst shares a call.
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

func collect(first replicator.Message, queue <-chan replicator.Message) []replicator.Message {
	batch := []replicator.Message{first}
	size := bytesOf(first)
	for size < batchBytes {
		select {
		case next := <-queue:
			batch = append(batch, next)
			size += bytesOf(next)
		default:
			return batch
		}
	}
	return batch
}

func bytesOf(message replicator.Message) int {
	size := 0
	for _, entry := range message.Entries {
		size += len(entry.Data)
	}
	return size
}

// sendSnapshot sends a snapshot unless one is under way to that keeper.
func (s *Sender) sendSnapshot(to *peer, message replicator.Message) {
	select {
	case to.installing <- struct{}{}:
	default:
		s.dropped++
		return
	}
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		s.deliver(to, []replicator.Message{message}, snapshotTimeout)
		<-to.installing
	}()
}

// deliver leaves errors to the agreement, which sends again what matters.
func (s *Sender) deliver(to *peer, batch []replicator.Message, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	request := &messenger.DeliverRequest{From: s.own, Message: replicator.EncodeMessages(batch)}
	if _, err := to.service.Deliver(ctx, request); err != nil {
		s.lock.Lock()
		s.dropped += uint64(len(batch))
		s.lock.Unlock()
	}
}
