package recaller

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/versioner"
)

const (
	// confirmTimeout bounds how long the first event of a stream waits for its record: below the time
	// that events may take on their way.
	confirmTimeout = 80 * time.Millisecond
	// confirmPause is the pause between two calls that confirm records, so that busy routers gather
	// the records of several streams.
	confirmPause = 10 * time.Millisecond
	// confirmCopies is the number of keepers that confirm a record: one of them may start again before
	// it has passed the record on.
	confirmCopies = 2
	// maxListAge is how old the list of endpoints may be while its versions are taken as they are. Keepers answer
	// polls at least twice a second.
	maxListAge = time.Second
	// confirmCalls is the number of keepers that are called for that: one may be frozen.
	confirmCalls = 3
)

// SetMixed sets the services whose endpoints have, or lately had, several software versions. The records
// that wait for a report are sent to keepers at once if there are further ones.
func (r *Recaller) SetMixed(services []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before, further := r.mixed, false
	r.mixed = make(map[string]bool, len(services))
	for _, service := range services {
		r.mixed[service] = true
		further = further || !before[service]
	}
	if end := r.end(); further && end > r.firstNumber {
		go r.confirm(context.Background(), end)
	}
}

// Unconfirmed returns the number of streams whose origin was not confirmed in time.
func (r *Recaller) Unconfirmed() uint64 {
	return r.unconfirmed.Load()
}

// isMixed reports whether a service has, or lately had, several versions, or may have as far as this router knows: one
// that was frozen has not heard yet of the versions that have come since.
func (r *Recaller) isMixed(service string) bool {
	r.mutex.Lock()
	mixed := r.mixed[service]
	r.mutex.Unlock()
	return mixed || r.options.ListAge != nil && r.options.ListAge() > maxListAge && len(r.options.Keepers()) > 0
}

// confirm waits until keepers have the records before a sequence number, for confirmTimeout at most, and
// reports whether they have. Records that wait at the same time share a call.
func (r *Recaller) confirm(ctx context.Context, end uint64) bool {
	timeout := r.options.Clock.After(confirmTimeout)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waiting++
	defer func() { r.waiting-- }()
	if !r.confirming {
		r.confirming = true
		go r.confirmWaiting()
	}
	for r.firstNumber < end {
		dropped := r.dropped
		r.mutex.Unlock()
		expired := false
		select {
		case <-dropped:
		case <-timeout:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		r.mutex.Lock()
		if expired {
			return r.firstNumber >= end
		}
	}
	return true
}

// confirmWaiting sends records to keepers for as long as streams wait for that.
func (r *Recaller) confirmWaiting() {
	for {
		r.mutex.Lock()
		if r.waiting == 0 {
			r.confirming = false
			r.mutex.Unlock()
			return
		}
		end, begun := r.end(), versioner.ToWire(r.unreported)
		r.mutex.Unlock()
		if len(begun) > 0 && r.begin(&messenger.BeginRequest{Begun: begun}) {
			r.mutex.Lock()
			r.drop(min(end, r.end()))
			r.mutex.Unlock()
		}
		<-r.options.Clock.After(confirmPause)
	}
}

// begin sends records to keepers, and reports whether confirmCopies of them, or the only one, have the
// records.
func (r *Recaller) begin(request *messenger.BeginRequest) bool {
	keepers := r.confirmers()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	results := make(chan error, len(keepers))
	for _, keeper := range keepers {
		go func() {
			_, err := r.options.Dial(keeper).Begin(ctx, request)
			if err != nil && ctx.Err() == nil && r.logDamper.Admit(r.options.Clock.Now(), r.options.Log) {
				r.options.Log.Info().Err(err).Stringer("keeper", keeper).Msg("keeper did not confirm the versions at which streams began; others are asked as well")
			}
			results <- err
		}()
	}
	missing := min(confirmCopies, len(keepers))
	for range keepers {
		if err := <-results; err == nil {
			missing--
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

// confirmers returns the keepers that are called to confirm records. They differ between routers.
func (r *Recaller) confirmers() []netip.AddrPort {
	if r.options.Keepers == nil {
		return nil
	}
	keepers := r.options.Keepers()
	slices.SortFunc(keepers, netip.AddrPort.Compare)
	if len(keepers) <= confirmCalls {
		return keepers
	}
	first := int(xxhash.Sum64String(r.options.Name) % uint64(len(keepers)))
	return slices.Concat(keepers[first:], keepers[:first])[:confirmCalls]
}
