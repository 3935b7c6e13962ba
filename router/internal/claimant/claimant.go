// Package claimant takes and settles idempotency keys at the keepers.
//
// Claims that come while a call is in flight go together into the next one, so
// that one sync of the keepers' disks serves many.
//
// Invariants: every claim has an owner of its own (router, incarnation,
// number), so that a claim whose answer was lost is granted again to it and to
// nobody else; a claim that was granted after its request had given up is freed
// again as not run; a record carries its claim's owner. Memory is bounded by
// maxRecords and maxRecordBytes; the oldest record is dropped beyond that,
// which leaves its key spent: at most once still holds.
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

	"shallotkeel.example/lib/messenger"
)

// ErrNoQuorum is the kind of the error when no quorum answered a claim.
var ErrNoQuorum = merry.Sentinel("the claim was not taken")

const (
	maxBatch       = 512
	maxRecords     = 4096
	maxRecordBytes = 32 << 20
	recordPause    = 200 * time.Millisecond
	// recordWindow is how long a record is tried; the keepers forget the claim
	// after an hour.
	recordWindow = time.Hour
	// callTimeout bounds one call to the keepers. Claims are sent one batch at
	// a time, so a request in a zone without a quorum waits for at most two of
	// them before it is refused; an election takes a fraction of one.
	callTimeout = 2 * time.Second
)

// Keeping is the part of messenger.Keeping that claims need.
type Keeping interface {
	Claim(ctx context.Context, request *messenger.ClaimRequest) (*messenger.ClaimResponse, error)
	Record(ctx context.Context, request *messenger.RecordRequest) (*messenger.RecordResponse, error)
}

// Options are what a Claimant is made of.
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

	mutex       sync.Mutex
	waiting     []*claim
	calling     bool // a goroutine makes calls until no claim waits
	inFlight    bool // a call is under way whose outcome is not known yet
	lost        bool // the last call reached no quorum
	records     []record
	recordBytes int
	recording   bool
	idle        chan struct{} // closed when no record waits
}

type claim struct {
	entry  *messenger.ClaimEntry
	result chan result
	gone   bool
}

type result struct {
	answer *messenger.ClaimResult
	err    error
	unsent bool // no call carried the claim
}

type record struct {
	entry *messenger.RecordEntry
	since time.Time
}

// New returns a claimant.
func New(options Options) *Claimant {
	c := &Claimant{
		options: options,
		prefix:  options.Name + "/" + strconv.FormatUint(options.Incarnation, 36) + "/",
		idle:    make(chan struct{}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_records_dropped_total",
			Help: "Outcomes that could not be recorded; their keys stay spent.",
		}),
	}
	close(c.idle)
	if options.Registry != nil {
		options.Registry.MustRegister(c.dropped)
	}
	return c
}

// Claim takes a key. It sets the entry's owner if that is empty; the record of
// the outcome needs the same owner.
func (c *Claimant) Claim(ctx context.Context, entry *messenger.ClaimEntry) (*messenger.ClaimResult, error) {
	if entry.GetOwner() == "" {
		entry.Owner = c.prefix + strconv.FormatUint(c.number.Add(1), 36)
	}
	waiting := &claim{entry: entry, result: make(chan result, 1)}
	c.mutex.Lock()
	if c.lost && c.inFlight {
		// One call at a time finds out whether a quorum is back. Waiting for it
		// would hold this request's slot, and with the slots of all of them the
		// whole service would stop in a zone that is cut off. A claim that comes
		// after that call has failed and before the goroutine has come round is
		// the next probe: refusing it would leave nobody who asks.
		c.mutex.Unlock()
		return nil, merry.Errorf("%w: no quorum of keepers was reached; send the request again with the same key", ErrNoQuorum)
	}
	c.waiting = append(c.waiting, waiting)
	if !c.calling {
		c.calling = true
		go c.callClaims()
	}
	c.mutex.Unlock()
	select {
	case answered := <-waiting.result:
		return answered.answer, answered.err
	case <-ctx.Done():
		return nil, c.abandon(waiting, ctx.Err())
	}
}

// abandon marks a claim whose request has given up, and frees the key if it
// was granted at the same moment.
func (c *Claimant) abandon(waiting *claim, err error) error {
	c.mutex.Lock()
	waiting.gone = true
	c.mutex.Unlock()
	select {
	case answered := <-waiting.result:
		c.free(waiting, answered)
	default:
	}
	return merry.Errorf("%w: %v; send the request again with the same key", ErrNoQuorum, err)
}

// callClaims makes calls until no claim waits.
func (c *Claimant) callClaims() {
	for {
		c.mutex.Lock()
		batch := c.waiting[:min(maxBatch, len(c.waiting))]
		c.waiting = c.waiting[len(batch):]
		c.calling = len(batch) > 0
		c.inFlight = c.calling
		c.mutex.Unlock()
		if len(batch) == 0 {
			return
		}
		c.callBatch(batch)
	}
}

func (c *Claimant) callBatch(batch []*claim) {
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
	c.noteContact(err == nil)
	for i, waiting := range batch {
		if err != nil {
			c.settle(waiting, result{err: merry.Errorf("%w: %v; send the request again with the same key", ErrNoQuorum, err)})
			continue
		}
		c.settle(waiting, result{answer: response.GetResults()[i]})
	}
}

// noteContact remembers whether a quorum was reached. When it was not, the
// claims that wait for the next call are refused with this one: they were not
// sent, and would wait for as long again.
func (c *Claimant) noteContact(reached bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight = false
	c.lost = !reached
	if reached {
		return
	}
	for _, waiting := range c.waiting {
		waiting.result <- result{unsent: true, err: merry.Errorf(
			"%w: no quorum of keepers was reached; send the request again with the same key", ErrNoQuorum)}
	}
	c.waiting = nil
}

func (c *Claimant) settle(waiting *claim, answered result) {
	c.mutex.Lock()
	gone := waiting.gone
	if !gone {
		waiting.result <- answered
	}
	c.mutex.Unlock()
	if gone {
		c.free(waiting, answered)
	}
}

// free gives a key back whose request gave up before it was claimed. Otherwise
// the caller's resend would be told that the request may have run. A call
// without an answer may have claimed the key as well.
func (c *Claimant) free(waiting *claim, answered result) {
	if answered.unsent || answered.err == nil && answered.answer.GetOutcome() != messenger.ClaimOutcome_CLAIM_GRANTED {
		return
	}
	entry := waiting.entry
	c.Record(&messenger.RecordEntry{
		Workspace: entry.GetWorkspace(), Key: entry.GetKey(), Digest: entry.GetDigest(), Owner: entry.GetOwner(),
		Answer: &messenger.Answer{NotRun: true},
	})
}

// Record stores an outcome in the background.
func (c *Claimant) Record(entry *messenger.RecordEntry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, record{entry: entry, since: c.options.Clock.Now()})
	c.recordBytes += len(entry.GetAnswer().GetBody())
	for len(c.records) > maxRecords || c.recordBytes > maxRecordBytes {
		c.dropOldest()
	}
	if !c.recording {
		c.recording = true
		c.idle = make(chan struct{})
		go c.callRecords()
	}
}

func (c *Claimant) dropOldest() {
	c.recordBytes -= len(c.records[0].entry.GetAnswer().GetBody())
	c.records = c.records[1:]
	c.dropped.Inc()
}

// callRecords makes calls until no record waits.
func (c *Claimant) callRecords() {
	for {
		batch := c.takeRecords()
		if len(batch) == 0 {
			return
		}
		if c.store(batch) {
			continue
		}
		c.giveBack(batch)
		c.options.Clock.Sleep(recordPause)
	}
}

func (c *Claimant) takeRecords() []record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Clock.Now()
	for len(c.records) > 0 && now.Sub(c.records[0].since) > recordWindow {
		c.dropOldest()
	}
	batch := c.records[:min(maxBatch, len(c.records))]
	c.records = c.records[len(batch):]
	for _, taken := range batch {
		c.recordBytes -= len(taken.entry.GetAnswer().GetBody())
	}
	if len(batch) == 0 {
		c.recording = false
		close(c.idle)
	}
	return batch
}

func (c *Claimant) store(batch []record) bool {
	request := &messenger.RecordRequest{}
	for _, taken := range batch {
		request.Entries = append(request.Entries, taken.entry)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := c.options.Keeping.Record(ctx, request)
	return err == nil
}

func (c *Claimant) giveBack(batch []record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(append([]record(nil), batch...), c.records...)
	for _, taken := range batch {
		c.recordBytes += len(taken.entry.GetAnswer().GetBody())
	}
}

// Drain waits until every outcome is recorded, or the context ends.
func (c *Claimant) Drain(ctx context.Context) error {
	c.mutex.Lock()
	idle := c.idle
	c.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return merry.Errorf("outcomes are not recorded: %v; their keys stay spent until they expire", ctx.Err())
	}
}
