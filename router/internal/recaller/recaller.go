// Package recaller knows at which software version streams began: those that this router began,
// and by asking keepers those of others.
//
// Each stream's record goes to the keeper that this router reports to, with its next report, and
// from there to the other keepers. So a client may take its stream up at any router, also when the
// one that began it is gone. The first event of a stream waits for none of this: a record that is
// lost costs its stream, which is refused, and never lets two versions meet.
//
// Invariants: what neither this router nor a keeper knows is not known; records that a keeper has
// not acknowledged are told again.
package recaller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/versioner"
)

const (
	// patience is how long keepers are waited for: a few times what they take in another zone.
	patience = 200 * time.Millisecond
	// mostUntold bounds the records that wait for a keeper that takes reports.
	mostUntold = 1 << 14
)

// Options are what a Recaller is made of.
type Options struct {
	// Keepers returns those that answer. Without it none is asked.
	Keepers func() []netip.AddrPort
	Dial    func(address netip.AddrPort) messenger.Planning
	// Name is the router's own. Learn is told of the endpoints that a keeper has named.
	Name  string
	Learn func(keeper netip.AddrPort, listings []*messenger.Listing)
	Clock clockwork.Clock
	Log   zerolog.Logger
}

// Recaller is safe for concurrent use.
type Recaller struct {
	options Options
	memory  versioner.Store
	lines   damper.Damper

	mutex  sync.Mutex
	untold []versioner.Record
	first  uint64                    // number of the first of them, counted over all
	asked  map[netip.AddrPort]uint64 // number behind the last one that the keeper's poll under way tells
}

// New returns a recaller that knows no stream.
func New(options Options) *Recaller {
	return &Recaller{options: options, asked: make(map[netip.AddrPort]uint64)}
}

// Begun notes where a stream has begun or goes on.
func (r *Recaller) Begun(name versioner.StreamID, origin versioner.Origin) {
	for _, stream := range name.Hashes() {
		if r.memory.Add(r.options.Clock.Now(), stream, origin) {
			r.queue(versioner.Record{Stream: stream, Origin: origin})
		}
	}
}

// queue keeps a record for the keeper that is reported to.
func (r *Recaller) queue(record versioner.Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.untold) >= mostUntold {
		r.untold = r.untold[1:]
		r.first++
	}
	r.untold = append(r.untold, record)
}

// Report returns what the keeper that is reported to does not know yet.
func (r *Recaller) Report(keeper netip.AddrPort) []*messenger.Begun {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.asked[keeper] = r.first + uint64(len(r.untold))
	return versioner.ToWire(r.untold)
}

// Told notes that a keeper has answered a report.
func (r *Recaller) Told(keeper netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if behind := r.asked[keeper]; behind > r.first {
		r.untold = r.untold[behind-r.first:]
		r.first = behind
	}
}

// Lost forgets a report that was not answered.
func (r *Recaller) Lost(keeper netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.asked, keeper)
}

// Find returns where a stream began, if this router or a keeper that answers knows it.
func (r *Recaller) Find(ctx context.Context, name versioner.StreamID) (versioner.Origin, bool) {
	stream := name.Hash()
	if origin, found := r.memory.Find(r.options.Clock.Now(), stream); found {
		return origin, true
	}
	origin, found := r.ask(ctx, stream)
	if found {
		r.memory.Add(r.options.Clock.Now(), stream, origin)
	}
	return origin, found
}

// ask asks the keepers where a stream began.
func (r *Recaller) ask(ctx context.Context, stream uint64) (versioner.Origin, bool) {
	return first(ctx, r, func(ctx context.Context, keeper netip.AddrPort) (versioner.Origin, bool, error) {
		answer, err := r.options.Dial(keeper).Recall(ctx, &messenger.RecallRequest{Stream: stream})
		return versioner.Origin{Service: answer.GetService(), Version: answer.GetVersion()}, answer.GetVersion() != "", err
	})
}

// Widen learns of endpoints where streams of an origin may go on. Of a service with many a router
// is told of a part only, and of one version that may be none.
func (r *Recaller) Widen(ctx context.Context, origin versioner.Origin) {
	request := &messenger.LocateRequest{Service: origin.Service, Version: origin.Version, Node: r.options.Name}
	named, found := first(ctx, r, func(ctx context.Context, keeper netip.AddrPort) (named, bool, error) {
		answer, err := r.options.Dial(keeper).Locate(ctx, request)
		return named{by: keeper, listings: answer.GetListings()}, len(answer.GetListings()) > 0, err
	})
	if found {
		r.options.Learn(named.by, named.listings)
	}
}

// named is endpoints that a keeper has named.
type named struct {
	by       netip.AddrPort
	listings []*messenger.Listing
}

// first asks all keepers that answer at once, and returns what the first says that knows.
func first[T any](
	ctx context.Context, r *Recaller, ask func(ctx context.Context, keeper netip.AddrPort) (T, bool, error),
) (known T, found bool) {
	if r.options.Keepers == nil {
		return known, false
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	keepers := r.options.Keepers()
	answers := make(chan *T, len(keepers))
	for _, keeper := range keepers {
		go func() {
			answer, knows, err := ask(ctx, keeper)
			if err != nil && ctx.Err() == nil && r.lines.Admit(r.options.Clock.Now(), r.options.Log) {
				r.options.Log.Info().Err(err).Stringer("keeper", keeper).Msg("a keeper does not tell of a stream's version")
			}
			if err != nil || !knows {
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	for range keepers {
		if answer := <-answers; answer != nil {
			return *answer, true
		}
	}
	return known, false
}
