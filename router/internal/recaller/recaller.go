// Package recaller finds the software version at which a stream began: from its own records for
// streams that began at this router, and from the keepers for all others.
//
// The record of each stream goes to the keeper that gets this router's reports, with the next report,
// and from there to the other keepers. So a client may resume its stream at any router, even if the
// router at which it began is gone. The first event of a stream does not wait for its record to be
// reported, unless several versions serve. If the record is lost, resuming the stream is refused: it
// never mixes events of two versions.
//
// A stream whose client does not name the request that began it is known by its content alone, which
// streams of equal requests share. Its origin is known if this router and all keepers that answer know
// of no second one.
//
// Invariants: an origin is returned only if this router or a keeper has a record of it, and none has a
// record that contradicts it; that of a stream that its client does not name only if a keeper has
// answered; records that a keeper has not acknowledged are reported again.
package recaller

import (
	"context"
	"iter"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/versioner"
)

const (
	// askTimeout bounds the wait for keepers: a few times the response time of a keeper in another zone.
	askTimeout = 200 * time.Millisecond
	// maxUnreported bounds the records that wait to be reported to a keeper.
	maxUnreported = 1 << 14
)

// Options configures a Recaller.
type Options struct {
	// Keepers returns the keepers that answer. If it is nil, no keeper is asked.
	Keepers func() []netip.AddrPort
	// Followed returns all keepers that this router follows. They are asked for streams if none answers: after a
	// freeze polls fail although keepers can be reached again. It may be nil.
	Followed func() []netip.AddrPort
	// ListAge returns how old the list of endpoints is, and with it what is known of their versions. It may be nil.
	ListAge func() time.Duration
	Dial    func(address netip.AddrPort) messenger.Planning
	// Name is the name of this router. Learn receives endpoints that a keeper has named.
	Name  string
	Learn func(keeper netip.AddrPort, listings []*messenger.Listing)
	Clock clockwork.Clock
	Log   zerolog.Logger
}

// Recaller records and finds the origins of streams. It is safe for concurrent use.
type Recaller struct {
	options   Options
	store     versioner.Store
	logDamper damper.Damper

	// unconfirmed counts the streams whose origin was not confirmed in time.
	unconfirmed atomic.Uint64

	mutex       sync.Mutex
	unreported  []versioner.Record
	firstNumber uint64                    // sequence number of unreported[0], counted since the start
	dropped     chan struct{}             // closed and replaced when firstNumber rises
	reportEnd   map[netip.AddrPort]uint64 // sequence number after the last record in the current report to a keeper
	receiver    reportReceiver            // of the last answered report
	mixed       map[string]bool           // services that have several software versions
	waiting     int                       // streams that wait until their records are confirmed
	confirming  bool                      // a goroutine confirms records
}

// reportReceiver is one run of a keeper that has received a report.
type reportReceiver struct {
	keeper netip.AddrPort
	epoch  uint64
}

// New returns a recaller without records.
func New(options Options) *Recaller {
	return &Recaller{options: options, reportEnd: make(map[netip.AddrPort]uint64), dropped: make(chan struct{})}
}

// RecordOrigin records the origin of a stream that begins or is resumed. While the origin's service has
// several versions, it waits until keepers have the record, for confirmTimeout at most: if the record
// were lost with this router, the stream could be taken for an equal one.
func (r *Recaller) RecordOrigin(ctx context.Context, name versioner.StreamID, origin versioner.Origin) {
	end := uint64(0)
	for _, stream := range name.Hashes() {
		if r.store.Add(r.options.Clock.Now(), stream, origin) {
			end = r.queue(versioner.Record{Stream: stream, Origin: origin})
		}
	}
	if end > 0 && r.isMixed(origin.Service) && !r.confirm(ctx, end) {
		r.unconfirmed.Add(1)
	}
}

// RenewOrigin records the origin of a stream that goes on for long, before others drop their records.
func (r *Recaller) RenewOrigin(name versioner.StreamID, origin versioner.Origin) {
	for _, stream := range name.Hashes() {
		r.store.Add(r.options.Clock.Now(), stream, origin)
		r.queue(versioner.Record{Stream: stream, Origin: origin})
	}
}

// queue adds a record to those that are to be reported, and returns the number of the next one. If there
// are too many, the oldest is dropped.
func (r *Recaller) queue(record versioner.Record) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.unreported) >= maxUnreported {
		r.drop(r.firstNumber + 1)
	}
	r.unreported = append(r.unreported, record)
	return r.end()
}

// end returns the sequence number of the next record. The caller holds the mutex.
func (r *Recaller) end() uint64 {
	return r.firstNumber + uint64(len(r.unreported))
}

// drop drops the records before a sequence number from those that are to be reported. The caller holds
// the mutex.
func (r *Recaller) drop(end uint64) {
	if end <= r.firstNumber {
		return
	}
	r.unreported = r.unreported[end-r.firstNumber:]
	r.firstNumber = end
	close(r.dropped)
	r.dropped = make(chan struct{})
}

// Report returns the records for the report to a keeper: those that no keeper has acknowledged.
func (r *Recaller) Report(keeper netip.AddrPort) []*messenger.Begun {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reportEnd[keeper] = r.end()
	return versioner.ToWire(r.unreported)
}

// ReportAnswered records that a keeper has answered its report, and drops the records in it. All records
// are reported again if the last answer came from another keeper, or from this one before it started
// again: what only the former one knew may be lost.
func (r *Recaller) ReportAnswered(keeper netip.AddrPort, epoch uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.drop(min(r.reportEnd[keeper], r.end()))
	answered := reportReceiver{keeper: keeper, epoch: epoch}
	before := r.receiver
	r.receiver = answered
	if before == answered || before == (reportReceiver{}) {
		return
	}
	records := r.store.Records(r.options.Clock.Now())
	r.unreported = append(r.unreported, records[:min(len(records), maxUnreported-len(r.unreported))]...)
}

// ReportLost records that a report was not answered; its records are reported again.
func (r *Recaller) ReportLost(keeper netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.reportEnd, keeper)
}

// Find returns the origin of a stream. The error is versioner.ErrUnknown if it is not known, and
// versioner.ErrUnconfirmed if that could not be found out because no keeper answered.
func (r *Recaller) Find(ctx context.Context, name versioner.StreamID) (versioner.Origin, error) {
	stream := name.Hash()
	own, recorded := r.store.Find(r.options.Clock.Now(), stream)
	switch {
	case recorded && !own.Known():
		return own, versioner.ErrUnknown
	case name.Request == "":
		return r.agreed(ctx, stream, own)
	case recorded:
		return own, nil
	}
	origin, asked := versioner.Origin{}, false
	for answer := range answers(ctx, r, r.recall(stream)) {
		asked = true
		if answer.positive {
			origin = originOf(answer.value)
			r.store.Add(r.options.Clock.Now(), stream, origin)
			break
		}
	}
	return origin, r.check(origin, asked)
}

// agreed returns the origin of all streams with a key, if there is only one. Own is that which this
// router knows. At least one keeper has to agree: this router does not know of streams that began elsewhere, nor, cut
// off or frozen until now, of the versions that have come since. The answer is not recorded: another stream may begin at
// any time.
func (r *Recaller) agreed(ctx context.Context, stream uint64, own versioner.Origin) (versioner.Origin, error) {
	asked := false
	for answer := range answers(ctx, r, r.recall(stream)) {
		asked = true
		if !answer.positive {
			continue
		}
		told := originOf(answer.value)
		if own.Known() && own != told || !told.Known() {
			return versioner.Origin{}, versioner.ErrUnknown
		}
		own = told
	}
	return own, r.check(own, asked)
}

// check returns the error for an origin that was searched for, by whether a keeper has answered.
func (r *Recaller) check(origin versioner.Origin, asked bool) error {
	switch {
	case !asked && r.options.Keepers != nil:
		return versioner.ErrUnconfirmed
	case !origin.Known():
		return versioner.ErrUnknown
	}
	return nil
}

// originOf decodes the origin in a keeper's answer.
func originOf(answer *messenger.RecallResponse) versioner.Origin {
	return versioner.Origin{Service: answer.GetService(), Version: answer.GetVersion()}
}

// recall returns the query for the record of a stream.
func (r *Recaller) recall(stream uint64) query[*messenger.RecallResponse] {
	return func(ctx context.Context, keeper netip.AddrPort) (*messenger.RecallResponse, bool, error) {
		answer, err := r.options.Dial(keeper).Recall(ctx, &messenger.RecallRequest{Stream: stream})
		return answer, answer.GetRecorded() || answer.GetVersion() != "", err
	}
}

// LearnEndpoints asks the keepers for endpoints where streams of an origin can be resumed, and passes
// them to Options.Learn. Of a service with many endpoints a router knows only a part, which may have
// no endpoint of the origin's version.
func (r *Recaller) LearnEndpoints(ctx context.Context, origin versioner.Origin) {
	request := &messenger.LocateRequest{Service: origin.Service, Version: origin.Version, Node: r.options.Name}
	located, found := firstAnswer(ctx, r, func(ctx context.Context, keeper netip.AddrPort) (keeperListings, bool, error) {
		answer, err := r.options.Dial(keeper).Locate(ctx, request)
		return keeperListings{keeper: keeper, listings: answer.GetListings()}, len(answer.GetListings()) > 0, err
	})
	if found {
		r.options.Learn(located.keeper, located.listings)
	}
}

// keeperListings holds endpoints that a keeper has named.
type keeperListings struct {
	keeper   netip.AddrPort
	listings []*messenger.Listing
}

// query asks one keeper. It reports whether the answer is positive.
type query[T any] func(ctx context.Context, keeper netip.AddrPort) (answer T, positive bool, err error)

// firstAnswer queries all keepers that answer concurrently, and returns the first positive answer.
func firstAnswer[T any](ctx context.Context, r *Recaller, ask query[T]) (known T, found bool) {
	for answer := range answers(ctx, r, ask) {
		if answer.positive {
			return answer.value, true
		}
	}
	return known, false
}

// reply is what one keeper answers to a query.
type reply[T any] struct {
	value    T
	positive bool
}

// answers queries all keepers that answer concurrently, and yields their answers as they arrive.
func answers[T any](ctx context.Context, r *Recaller, ask query[T]) iter.Seq[reply[T]] {
	return func(yield func(reply[T]) bool) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		keepers := r.keepers()
		arrived := make(chan *reply[T], len(keepers))
		for _, keeper := range keepers {
			go func() { arrived <- askOne(ctx, r, keeper, ask) }()
		}
		for range keepers {
			if answer := <-arrived; answer != nil && !yield(*answer) {
				return
			}
		}
	}
}

// keepers returns the keepers to ask for a stream.
func (r *Recaller) keepers() []netip.AddrPort {
	if r.options.Keepers == nil {
		return nil
	}
	keepers := r.options.Keepers()
	if len(keepers) == 0 && r.options.Followed != nil {
		return r.options.Followed()
	}
	return keepers
}

// askOne queries one keeper and returns its answer, nil if there is none.
func askOne[T any](ctx context.Context, r *Recaller, keeper netip.AddrPort, ask query[T]) *reply[T] {
	value, positive, err := ask(ctx, keeper)
	if err == nil {
		return &reply[T]{value: value, positive: positive}
	}
	if ctx.Err() == nil && r.logDamper.Admit(r.options.Clock.Now(), r.options.Log) {
		r.options.Log.Info().Err(err).Stringer("keeper", keeper).Msg("query to a keeper for a stream failed; the other keepers' answers are used")
	}
	return nil
}
