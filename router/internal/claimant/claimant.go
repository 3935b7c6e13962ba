// Package claimant claims idempotency keys at the keepers and records the outcomes
// of their requests.
//
// Claims that arrive while a call is in flight are batched into the next call, so
// that one sync of the keepers' disks serves many claims.
//
// Invariants: every claim has its own owner (router, incarnation, number), so that a
// claim whose answer was lost is granted again to that owner only; a claim that was
// granted after its request had given up is released as not run; a record carries
// its claim's owner. Memory is bounded by maxRecords and maxRecordBytes; beyond that
// the oldest record is dropped, which leaves its key spent, so that at-most-once
// execution still holds.
package claimant

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
)

// ErrNoQuorum is the kind of the error when no quorum answered a claim.
var ErrNoQuorum = merry.Sentinel("the claim was not taken")

const (
	maxBatch            = 512  // claims or records in one call
	maxRecords          = 4096 // records that wait to be sent
	maxRecordBytes      = 32 << 20
	recordRetryInterval = 200 * time.Millisecond
	// recordRetryWindow is how long a record is retried; the keepers drop the claim
	// after an hour.
	recordRetryWindow = time.Hour
	// callTimeout bounds one call to the keepers. Claims are sent one batch at a
	// time, so a request in a zone without a quorum waits for at most two calls
	// before it is refused; an election takes a fraction of one.
	callTimeout = 2 * time.Second
)

// Keeping is the subset of messenger.Keeping that claims and records need.
type Keeping interface {
	Claim(ctx context.Context, request *messenger.ClaimRequest) (*messenger.ClaimResponse, error)
	Record(ctx context.Context, request *messenger.RecordRequest) (*messenger.RecordResponse, error)
}

// Options configures a Claimant.
type Options struct {
	Keeping     Keeping
	Name        string // of the router
	Incarnation uint64
	Clock       clockwork.Clock
	Registry    *prometheus.Registry
}

// Claimant implements relayer.Claimer.
type Claimant struct {
	options Options
	prefix  string
	number  atomic.Uint64
	dropped prometheus.Counter

	mutex           sync.Mutex
	waiting         []*claim
	senderRunning   bool // a goroutine runs sendClaims
	inFlight        bool // a claim call is in flight and its outcome is still open
	quorumLost      bool // the last claim call reached no quorum
	records         []record
	recordBytes     int
	recorderRunning bool
	recordsDrained  chan struct{} // closed while no record is pending
}

type claim struct {
	entry     *messenger.ClaimEntry
	result    chan result
	abandoned bool
}

type result struct {
	answer *messenger.ClaimResult
	err    error
	unsent bool // the claim was in no call
}

type record struct {
	entry    *messenger.RecordEntry
	queuedAt time.Time
}

// New returns a claimant.
func New(options Options) *Claimant {
	c := &Claimant{
		options:        options,
		prefix:         options.Name + "/" + strconv.FormatUint(options.Incarnation, 36) + "/",
		recordsDrained: make(chan struct{}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_records_dropped_total",
			Help: "Outcomes that could not be recorded; their keys stay spent.",
		}),
	}
	close(c.recordsDrained)
	if options.Registry != nil {
		options.Registry.MustRegister(c.dropped)
	}
	return c
}

// Claim claims a key. It sets the entry's owner if that is empty; the record of the
// outcome needs the same owner.
func (c *Claimant) Claim(ctx context.Context, entry *messenger.ClaimEntry) (*messenger.ClaimResult, error) {
	if entry.GetOwner() == "" {
		entry.Owner = c.prefix + strconv.FormatUint(c.number.Add(1), 36)
	}
	waiting := &claim{entry: entry, result: make(chan result, 1)}
	c.mutex.Lock()
	if c.quorumLost && c.inFlight {
		// Only one call at a time checks whether a quorum is back. Waiting for it
		// would hold this request's slot, and with the slots of all such requests
		// the whole service would stop in a partitioned zone. A claim that arrives
		// after that call has failed, while sendClaims still runs, becomes the next
		// probe: if it were refused, no call would check for a quorum.
		c.mutex.Unlock()
		return nil, merry.Errorf("%w: no quorum of keepers was reached; send the request again with the same key", ErrNoQuorum)
	}
	c.waiting = append(c.waiting, waiting)
	if !c.senderRunning {
		c.senderRunning = true
		go c.sendClaims()
	}
	c.mutex.Unlock()
	select {
	case answered := <-waiting.result:
		return answered.answer, answered.err
	case <-ctx.Done():
		return nil, c.abandon(waiting, ctx.Err())
	}
}

// abandon marks a claim whose request has given up, and releases the key if it was
// granted at the same moment.
func (c *Claimant) abandon(waiting *claim, err error) error {
	c.mutex.Lock()
	waiting.abandoned = true
	c.mutex.Unlock()
	select {
	case answered := <-waiting.result:
		c.release(waiting, answered)
	default:
	}
	return merry.Errorf("%w: %v; send the request again with the same key", ErrNoQuorum, err)
}

// sendClaims sends batches until no claim waits.
func (c *Claimant) sendClaims() {
	for {
		c.mutex.Lock()
		batch := c.waiting[:min(maxBatch, len(c.waiting))]
		c.waiting = c.waiting[len(batch):]
		c.senderRunning = len(batch) > 0
		c.inFlight = c.senderRunning
		c.mutex.Unlock()
		if len(batch) == 0 {
			return
		}
		c.sendClaimBatch(batch)
	}
}

func (c *Claimant) sendClaimBatch(batch []*claim) {
	request := &messenger.ClaimRequest{}
	for _, waiting := range batch {
		request.Claims = append(request.Claims, waiting.entry)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := c.options.Keeping.Claim(ctx, request)
	if err == nil && len(response.GetResults()) != len(batch) {
		err = merry.Errorf("the keeper answered %d of %d claims", len(response.GetResults()), len(batch))
	}
	c.updateQuorum(err == nil)
	for i, waiting := range batch {
		if err != nil {
			c.deliver(waiting, result{err: merry.Errorf("%w: %v; send the request again with the same key", ErrNoQuorum, err)})
			continue
		}
		c.deliver(waiting, result{answer: response.GetResults()[i]})
	}
}

// updateQuorum records whether a call reached a quorum. If it did not, the claims
// queued for the next call are refused too: they were not sent, and would wait for
// another timeout.
func (c *Claimant) updateQuorum(reached bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight = false
	c.quorumLost = !reached
	if reached {
		return
	}
	for _, waiting := range c.waiting {
		waiting.result <- result{unsent: true, err: merry.Errorf(
			"%w: no quorum of keepers was reached; send the request again with the same key", ErrNoQuorum)}
	}
	c.waiting = nil
}

func (c *Claimant) deliver(waiting *claim, answered result) {
	c.mutex.Lock()
	abandoned := waiting.abandoned
	if !abandoned {
		waiting.result <- answered
	}
	c.mutex.Unlock()
	if abandoned {
		c.release(waiting, answered)
	}
}

// release releases the key of a request that gave up before its claim was answered.
// Otherwise the answer to the client's retry would be that the request may have run.
// A call without an answer may have claimed the key as well, so it is released too.
func (c *Claimant) release(waiting *claim, answered result) {
	if answered.unsent || answered.err == nil && answered.answer.GetOutcome() != messenger.ClaimOutcome_CLAIM_GRANTED {
		return
	}
	entry := waiting.entry
	c.Record(&messenger.RecordEntry{
		Workspace: entry.GetWorkspace(), Key: entry.GetKey(), Digest: entry.GetDigest(), Owner: entry.GetOwner(),
		Answer: &messenger.Answer{NotRun: true},
	})
}

// Record queues an outcome, which is sent to the keepers in the background. One that no message can carry is dropped:
// it would fail each call with the others that are sent together with it.
func (c *Claimant) Record(entry *messenger.RecordEntry) {
	if _, err := proto.Marshal(entry); err != nil {
		c.dropped.Inc()
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, record{entry: entry, queuedAt: c.options.Clock.Now()})
	c.recordBytes += len(entry.GetAnswer().GetBody())
	for len(c.records) > maxRecords || c.recordBytes > maxRecordBytes {
		c.dropOldest()
	}
	if !c.recorderRunning {
		c.recorderRunning = true
		c.recordsDrained = make(chan struct{})
		go c.sendRecords()
	}
}

func (c *Claimant) dropOldest() {
	c.recordBytes -= len(c.records[0].entry.GetAnswer().GetBody())
	c.records = c.records[1:]
	c.dropped.Inc()
}

// sendRecords sends batches until no record waits. It retries a failed batch after
// recordRetryInterval.
func (c *Claimant) sendRecords() {
	for {
		batch := c.nextRecordBatch()
		if len(batch) == 0 {
			return
		}
		if c.sendRecordBatch(batch) {
			continue
		}
		c.requeueRecords(batch)
		c.options.Clock.Sleep(recordRetryInterval)
	}
}

func (c *Claimant) nextRecordBatch() []record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Clock.Now()
	for len(c.records) > 0 && now.Sub(c.records[0].queuedAt) > recordRetryWindow {
		c.dropOldest()
	}
	batch := c.records[:min(maxBatch, len(c.records))]
	c.records = c.records[len(batch):]
	for _, queued := range batch {
		c.recordBytes -= len(queued.entry.GetAnswer().GetBody())
	}
	if len(batch) == 0 {
		c.recorderRunning = false
		close(c.recordsDrained)
	}
	return batch
}

func (c *Claimant) sendRecordBatch(batch []record) bool {
	request := &messenger.RecordRequest{}
	for _, queued := range batch {
		request.Entries = append(request.Entries, queued.entry)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := c.options.Keeping.Record(ctx, request)
	return err == nil
}

func (c *Claimant) requeueRecords(batch []record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(append([]record(nil), batch...), c.records...)
	for _, queued := range batch {
		c.recordBytes += len(queued.entry.GetAnswer().GetBody())
	}
}

// Drain waits until every outcome is recorded, or the context ends.
func (c *Claimant) Drain(ctx context.Context) error {
	c.mutex.Lock()
	idle := c.recordsDrained
	c.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return merry.Errorf("outcomes are not recorded: %v; their keys stay spent until they expire", ctx.Err())
	}
}
