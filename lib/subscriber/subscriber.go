// Package subscriber follows keepers: it keeps one long poll open at each followed keeper,
// sends this process's reports with the polls, and passes the answers to its host.
//
// Keepers are discovered from a few seed addresses: each answer names the whole group.
// Keepers follow all their peers; routers follow only a few keepers of a large group.
//
// A router reports to one of the followed keepers, its primary, which aggregates the report
// with those of the other keepers and returns the sums. The others are followed with brief
// polls, for changes and to verify that the path works. With reports and sums at every
// keeper, each of them would carry the traffic of the whole fleet, most of it between zones.
// When the primary is lost, another keeper that answers replaces it immediately.
//
// Invariants:
//   - every poll is bounded in time, because a connection may go silent without a reset;
//   - a keeper that does not answer is polled again after a pause that grows to MaxPause at
//     most, or after demotionTime if another keeper is followed in its place, so that its
//     return is detected within that time;
//   - the silence of one keeper does not delay the updates of another;
//   - the silence of all keepers makes none of them unknown: when they answer again after any time,
//     this process follows them without a restart.
package subscriber

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/messenger"
)

const (
	// DefaultWait is how long a keeper holds a poll when there are no updates. Each side
	// uses the other's messages as heartbeats, so this is a fraction of the three seconds
	// within which a lost path must be detected.
	DefaultWait = 500 * time.Millisecond
	// slack is how long after the poll's wait time an answer may arrive before the poll times out.
	slack = 700 * time.Millisecond
	// MinPause is the pause after the first failed poll.
	MinPause = 100 * time.Millisecond
	// MaxPause is the upper bound of the exponential backoff after repeated failures.
	MaxPause = 800 * time.Millisecond
	// InitialPause is the pause between polls while no keeper has answered yet. After a power
	// loss the processes start within some 0.3 s of one another: with longer pauses routers
	// have no configuration for 0.6 s after their start, and refuse all requests.
	InitialPause = 50 * time.Millisecond
	// InitialTries is the number of polls of a keeper for which InitialPause applies.
	InitialTries = 40
	// initialSlack replaces slack for the first polls of a keeper while no keeper has answered
	// yet; it doubles every slackDoublingTries polls, up to slack. A machine without power
	// sends no answer at all; waiting for it as long as for a busy keeper would delay the
	// detection that it is up.
	initialSlack       = 120 * time.Millisecond
	slackDoublingTries = 5
	// unnamedTimeout is how long a keeper is still polled while other keepers answer and name a
	// group without it. Time in which none of them answers does not count.
	unnamedTimeout = 30 * time.Second
	// silenceTimeout is the time without an answer that names a group after which the keepers count
	// as silent. It is longer than the longest poll.
	silenceTimeout = 3 * time.Second
	// settleTime is the period after the first complete list in which a primary that answers is
	// replaced only by a keeper of the own zone, and a primary of the own zone not at all.
	settleTime = 2 * time.Second
	// maxKeepers bounds the number of known keepers, as the size of a group is bounded.
	maxKeepers = 64
	// reconcileInterval is how often the selection of followed keepers is recomputed when nothing
	// has changed: the demotion of a keeper ends after some time.
	reconcileInterval = time.Second
)

// ErrReplaced is passed to Host.Lost when a keeper is no longer followed because others are.
var ErrReplaced = merry.Sentinel("another keeper is followed in its place")

// Host is implemented by the process that follows keepers: a router or a keeper.
type Host interface {
	// Report returns the request of the next poll of a keeper. The subscriber fills in epoch,
	// after, wait, brief, group and partial. A brief report omits the fields that only the
	// primary needs.
	Report(keeper netip.AddrPort, brief bool) *messenger.FollowRequest
	// Update receives a keeper's answer. It is called from one goroutine per keeper.
	Update(ctx context.Context, keeper netip.AddrPort, answer *messenger.FollowResponse)
	// Lost is called when a keeper that answered before stops answering or is no longer followed.
	Lost(keeper netip.AddrPort, err error)
}

// Options configures a Subscriber.
type Options struct {
	Host  Host
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Dial returns a client for the keeper at an address.
	Dial func(address netip.AddrPort) messenger.Planning
	// Own is the control address of this process; it is never followed.
	Own netip.AddrPort
	// Wait is how long keepers hold a poll, DefaultWait if 0. Pace changes it.
	Wait time.Duration
	// Primary selects the followed keepers and the one that gets the reports. If nil, all
	// keepers are followed and get the reports.
	Primary *Primary
}

// Subscriber follows keepers by long polls.
type Subscriber struct {
	options Options

	wait           atomic.Int64 // time.Duration for which the primary holds polls
	brief          atomic.Int64 // time.Duration for which the other keepers hold polls
	mutex          sync.Mutex
	ctx            context.Context
	members        map[netip.AddrPort]*member
	followed       map[netip.AddrPort]*subscription
	ending         map[netip.AddrPort]<-chan struct{} // closed when the goroutine of a former subscription has ended
	primary        netip.AddrPort
	seeds          []netip.AddrPort
	lastNaming     time.Time     // time of the last answer that named a group, zero if there was none
	lastReconciled time.Time     // time of the last reconcile
	firstListing   time.Time     // time of the first complete list from a keeper
	answered       bool          // whether any keeper has answered since the start
	firstAnswer    chan struct{} // closed at the first answer of any keeper
	failures       map[Failure]uint64
	group          sync.WaitGroup
}

// subscription is the state of the polls of one followed keeper.
type subscription struct {
	cancel         context.CancelFunc
	ended          chan struct{}
	epoch          uint64
	after          uint64
	group          uint64           // digest of the group that the keeper named last
	groupAddresses []netip.AddrPort // addresses of that group
	answering      bool             // whether the last poll was answered
	failure        Failure          // of the last poll, empty if it was answered
	isolated       bool             // whether the keeper reported that it has been without contact with a quorum for long
	zone           string
	complete       bool // the keeper has sent its complete list and every change since; a brief answer omits some
	// promote cancels the brief poll in flight because the keeper has become the primary.
	// It is nil while no brief poll is in flight.
	promote  context.CancelFunc
	promoted bool // whether promote was called
}

// New returns a subscriber that does not follow any keeper yet.
func New(options Options) *Subscriber {
	if options.Wait == 0 {
		options.Wait = DefaultWait
	}
	s := &Subscriber{
		options: options, members: make(map[netip.AddrPort]*member),
		followed: make(map[netip.AddrPort]*subscription), ending: make(map[netip.AddrPort]<-chan struct{}),
		firstAnswer: make(chan struct{}), failures: make(map[Failure]uint64),
	}
	s.Pace(options.Wait, options.Wait)
	return s
}

// Pace sets how long the primary and the other keepers hold polls from now on.
func (s *Subscriber) Pace(primary, others time.Duration) {
	s.wait.Store(int64(primary))
	s.brief.Store(int64(others))
}

// Run follows keepers, starting from the seed addresses, until the context ends.
func (s *Subscriber) Run(ctx context.Context, seeds ...netip.AddrPort) {
	s.mutex.Lock()
	s.ctx = ctx
	s.mutex.Unlock()
	s.SetSeeds(seeds...)
	<-ctx.Done()
	s.group.Wait()
}

// AnsweringKeepers returns the keepers that answered their last poll.
func (s *Subscriber) AnsweringKeepers() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keepers []netip.AddrPort
	for address, known := range s.followed {
		if known.answering {
			keepers = append(keepers, address)
		}
	}
	return keepers
}

// FollowedKeepers returns the keepers that are polled, whether or not they answer.
func (s *Subscriber) FollowedKeepers() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.followed))
}

// AnsweringCount returns the number of keepers that answered their last poll.
func (s *Subscriber) AnsweringCount() int {
	return len(s.AnsweringKeepers())
}

// follow polls one keeper until the context ends.
func (s *Subscriber) follow(ctx context.Context, address netip.AddrPort, f *subscription) {
	client := s.options.Dial(address)
	pause, tries := MinPause, 0
	for ctx.Err() == nil {
		answer, err := s.poll(ctx, client, address, f, s.slackFor(tries))
		if err == nil {
			pause = MinPause
			s.options.Host.Update(ctx, address, answer)
			continue
		}
		if ctx.Err() == nil && s.takePromoted(f) {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.handleLoss(address, f, err)
		select {
		case <-ctx.Done():
		case <-s.options.Clock.After(s.pause(tries, pause)):
		}
		tries++
		pause = min(2*pause, MaxPause)
	}
}

// takePromoted reports and clears whether the last poll was cancelled because its keeper has
// become the primary.
func (s *Subscriber) takePromoted(f *subscription) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	promoted := f.promoted
	f.promoted = false
	return promoted
}

// pause returns how long to wait after a failed poll; usual is the backoff that applies once
// any keeper has answered.
func (s *Subscriber) pause(tries int, usual time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.answered && tries < InitialTries {
		return InitialPause
	}
	return usual
}

// slackFor returns how long after the wait time an answer may arrive, by the number of failed
// polls.
func (s *Subscriber) slackFor(tries int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.answered || tries >= InitialTries {
		return slack
	}
	return min(initialSlack<<(tries/slackDoublingTries), slack)
}

// poll polls a keeper once. slack is how long after the wait time the answer may arrive.
func (s *Subscriber) poll(ctx context.Context, client messenger.Planning, address netip.AddrPort, f *subscription, slack time.Duration) (*messenger.FollowResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	brief := s.prepare(address, f, cancel)
	request := s.options.Host.Report(address, brief)
	request.Brief, request.Epoch, request.After, request.Group = brief, f.epoch, f.after, f.group
	request.Partial = s.partial()
	if !brief && !f.complete {
		request.Epoch, request.After = 0, 0
	}
	wait := s.waitFor(brief, f)
	request.WaitMs = uint32(wait / time.Millisecond)
	ctx, expire := context.WithTimeout(ctx, wait+slack)
	defer expire()
	answer, err := client.Follow(ctx, request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f.promote = nil
	if err != nil {
		return nil, err
	}
	s.handleAnswer(address, f, brief, answer)
	return answer, nil
}

// handleAnswer updates the state of the keeper and the group from an answer, and chooses the
// primary again.
func (s *Subscriber) handleAnswer(address netip.AddrPort, f *subscription, brief bool, answer *messenger.FollowResponse) {
	if !f.answering {
		s.options.Log.Info().Stringer("keeper", address).Uint64("plan", answer.GetPlan()).Msg("keeper answers")
	}
	now := s.options.Clock.Now()
	if !brief && s.firstListing.IsZero() {
		s.firstListing = now
	}
	first := !s.answered
	changed := !f.answering || f.isolated != answer.GetIsolated() || now.Sub(s.lastReconciled) > reconcileInterval
	s.answered, f.answering, f.failure, f.promoted, f.complete = true, true, "", false, !brief
	f.epoch, f.after, f.zone, f.isolated = answer.GetEpoch(), answer.GetNext(), answer.GetZone(), answer.GetIsolated()
	s.updateDemotion(now, address, f)
	if s.updateGroup(now, f, answer) || changed {
		s.reconcile(now)
	}
	if first {
		close(s.firstAnswer)
	}
	s.choosePrimary()
}

// prepare prepares a poll, and reports whether it is a brief one.
func (s *Subscriber) prepare(address netip.AddrPort, f *subscription, cancel context.CancelFunc) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.options.Primary == nil || s.primary == address {
		return false
	}
	f.promote = cancel
	return true
}

// settling reports whether the first complete list arrived less than settleTime ago.
func (s *Subscriber) settling() bool {
	return !s.firstListing.IsZero() && s.options.Clock.Since(s.firstListing) < settleTime
}

// waitFor returns how long a keeper may hold a poll. A keeper that did not answer the last poll,
// or has to send its complete list, must not hold it: the answer shows that the path works, or
// brings the list.
func (s *Subscriber) waitFor(brief bool, f *subscription) time.Duration {
	switch {
	case !f.answering, !brief && !f.complete:
		return 0
	case brief:
		return time.Duration(s.brief.Load())
	}
	return time.Duration(s.wait.Load())
}

// choosePrimary chooses the primary among the keepers that answer. A new primary is polled
// again immediately: it may hold the brief poll for long, and no keeper would have the report
// until it ends. It is asked for its complete list, because brief answers omit endpoints.
//
// While the keepers answer for the first time, one after the other, each may rank before the
// previous one. Every change of the primary would cost another complete list, of hundreds of
// kilobytes in a large fleet, sent to all routers just when their clients wait for them.
func (s *Subscriber) choosePrimary() {
	if s.options.Primary == nil {
		return
	}
	var candidates []candidate
	for address, f := range s.followed {
		if f.answering {
			candidates = append(candidates, candidate{address: address, zone: f.zone, isolated: f.isolated})
		}
	}
	chosen := s.options.Primary.choose(candidates)
	if chosen == s.primary {
		return
	}
	current, found := s.followed[s.primary]
	inOwnZone := func(f *subscription) bool { return f.zone == s.options.Primary.Zone }
	if found && current.answering && !current.isolated && s.settling() && (inOwnZone(current) || !inOwnZone(s.followed[chosen])) {
		return
	}
	s.options.Log.Info().Str("keeper", nameOf(chosen)).Str("before", nameOf(s.primary)).Int("answering", len(candidates)).
		Msg("another keeper gets the reports")
	s.primary = chosen
	if f, found := s.followed[chosen]; found && f.promote != nil {
		f.promoted = true
		f.promote()
	}
}

// nameOf formats the address of a primary for the log.
func nameOf(address netip.AddrPort) string {
	if !address.IsValid() {
		return "none"
	}
	return address.String()
}

// handleLoss updates the state after a failed poll, and notifies the host if the keeper answered
// before.
func (s *Subscriber) handleLoss(address netip.AddrPort, f *subscription, err error) {
	failure := failureOf(err)
	s.mutex.Lock()
	now := s.options.Clock.Now()
	answered, before := f.answering, f.failure
	f.answering, f.failure = false, failure
	s.failures[failure]++
	s.updateDemotion(now, address, f)
	s.reconcile(now)
	s.choosePrimary()
	s.mutex.Unlock()
	if answered || failure != before {
		level := zerolog.InfoLevel // at the start keepers may not listen yet
		if answered {
			level = zerolog.WarnLevel
		}
		s.options.Log.WithLevel(level).Stringer("keeper", address).Str("failed_at", string(failure)).Err(err).Msg("keeper does not answer")
	}
	if answered {
		s.options.Host.Lost(address, err)
	}
}

// finish ends the subscription to a keeper, and makes its last call to the host.
func (s *Subscriber) finish(address netip.AddrPort, f *subscription) {
	defer close(f.ended)
	s.mutex.Lock()
	answered := f.answering && s.ctx.Err() == nil
	f.answering = false
	s.mutex.Unlock()
	if answered {
		s.options.Log.Info().Stringer("keeper", address).Msg("keeper is followed no more")
		s.options.Host.Lost(address, ErrReplaced)
	}
}
