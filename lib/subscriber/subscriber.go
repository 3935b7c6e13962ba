// Package subscriber follows keepers: it keeps one long poll open at each that it
// follows, hands in what this process reports, and hands out the news.
//
// Keepers are found from a few addresses: answers name the whole group. Keepers follow all
// others, routers a few of them where the group is large.
//
// A router reports to one of them, its primary, which adds its report to those that
// the other keepers have and tells the sums. The rest is followed briefly: for changes,
// and to know that the path works. Reports and sums at every keeper would cost each of
// them the whole fleet, most of it between zones. Where the primary is lost, another
// one that answers takes its place at once.
//
// Invariants: every poll is bounded in time, because a connection may go silent
// without a reset; a keeper that does not answer is asked again after a pause
// that rises to MaxPause and never further, or after passTime where another one is
// followed in its place, so that one that is back is heard of within that time; one
// keeper's silence delays no other keeper's news.
package subscriber

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/messenger"
)

const (
	// DefaultWait is how long a keeper holds a poll without news. Each end takes
	// the other's answer for a heartbeat, so that it is a fraction of the three
	// seconds after which a lost path must have been noticed.
	DefaultWait = 500 * time.Millisecond
	// slack is how long an answer may be late before the poll is given up.
	slack = 700 * time.Millisecond
	// MinPause is the pause after a poll that failed.
	MinPause = 100 * time.Millisecond
	// MaxPause is the longest pause that repeated failures lead to.
	MaxPause = 800 * time.Millisecond
	// FirstPause is the pause as long as no keeper at all has answered. After a loss of
	// power processes start within some 0.3 s of one another: with longer pauses routers
	// were without a configuration for 0.6 s after their start, and refused all that came.
	FirstPause = 50 * time.Millisecond
	// FirstTries is for how many polls of a keeper that pause holds.
	FirstTries = 40
	// firstSlack bounds the first polls of a keeper as long as none has answered; it doubles
	// with each patienceTries of them, up to slack. An instance that has no power yet says
	// nothing, and who waits for it as long as for one that is busy finds it late when it is
	// up.
	firstSlack    = 120 * time.Millisecond
	patienceTries = 5
	// retired is how long a keeper that no group names any more is still asked.
	retired = 30 * time.Second
	// settleTime is how long after the first whole list a keeper that answers is left only for
	// one of the own zone, and one of the own zone for none.
	settleTime = 2 * time.Second
	// maxKeepers bounds the keepers that are known, as the largest group is bounded.
	maxKeepers = 64
	// reviewPause is how often it is looked at who is to be followed where nothing has happened:
	// a keeper that was passed over has its place again after a while.
	reviewPause = time.Second
)

// ErrLeft means that a keeper is followed no more because others are.
var ErrLeft = merry.Sentinel("another keeper is followed in its place")

// Host is who follows.
type Host interface {
	// Report returns what the keeper at an address is told with the next poll. Epoch,
	// after, wait, brief, group and partial are filled in by the subscriber. A brief report leaves out
	// what only the primary is told.
	Report(keeper netip.AddrPort, brief bool) *messenger.FollowRequest
	// News takes an answer. It is called by one goroutine for each keeper.
	News(ctx context.Context, keeper netip.AddrPort, news *messenger.FollowResponse)
	// Lost tells that a keeper that answered before does not, or is followed no more.
	Lost(keeper netip.AddrPort, err error)
}

// Options are what a Subscriber is made of.
type Options struct {
	Host  Host
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Dial returns the client of a keeper.
	Dial func(address netip.AddrPort) messenger.Planning
	// Own is this process's control address, which is never followed.
	Own netip.AddrPort
	// Wait is DefaultWait if 0. Pace changes it.
	Wait time.Duration
	// Primary chooses the keepers that are followed and the one that is reported to. Without
	// it all of them are.
	Primary *Primary
}

// Subscriber follows keepers.
type Subscriber struct {
	options Options

	wait     atomic.Int64 // a time.Duration, of polls of the primary
	brief    atomic.Int64 // a time.Duration, of the others
	mutex    sync.Mutex
	ctx      context.Context
	members  map[netip.AddrPort]*member
	followed map[netip.AddrPort]*followed
	ending   map[netip.AddrPort]<-chan struct{} // followings that were ended, until they have
	primary  netip.AddrPort
	reviewed time.Time     // when it was looked at last who is to be followed
	listed   time.Time     // when a keeper told its whole list first
	answered bool          // any keeper has answered since the start
	begun    chan struct{} // closed then
	group    sync.WaitGroup
}

// followed is the following of one keeper.
type followed struct {
	end      context.CancelFunc
	ended    chan struct{}
	epoch    uint64
	after    uint64
	group    uint64           // digest of the group as it was named last
	names    []netip.AddrPort // that group
	answer   bool             // the last poll was answered
	isolated bool             // it had had no contact with a quorum for long
	zone     string
	whole    bool // it has told its whole list, and every change since; a brief answer leaves some out
	// promote ends the poll that is under way, because the keeper has become the primary.
	// It is nil while a poll of the primary is under way, or none.
	promote  context.CancelFunc
	promoted bool // promote was called
}

// New returns a subscriber that follows nobody yet.
func New(options Options) *Subscriber {
	if options.Wait == 0 {
		options.Wait = DefaultWait
	}
	s := &Subscriber{
		options: options, members: make(map[netip.AddrPort]*member),
		followed: make(map[netip.AddrPort]*followed), ending: make(map[netip.AddrPort]<-chan struct{}),
		begun: make(chan struct{}),
	}
	s.Pace(options.Wait, options.Wait)
	return s
}

// Pace sets how long polls of the primary and of the other keepers are held from now on.
func (s *Subscriber) Pace(primary, others time.Duration) {
	s.wait.Store(int64(primary))
	s.brief.Store(int64(others))
}

// Run follows until the context ends.
func (s *Subscriber) Run(ctx context.Context, seeds ...netip.AddrPort) {
	s.mutex.Lock()
	s.ctx = ctx
	s.mutex.Unlock()
	s.Know(seeds...)
	<-ctx.Done()
	s.group.Wait()
}

// Answerers returns the keepers that answered their last poll.
func (s *Subscriber) Answerers() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keepers []netip.AddrPort
	for address, known := range s.followed {
		if known.answer {
			keepers = append(keepers, address)
		}
	}
	return keepers
}

// Answering returns how many keepers answered their last poll.
func (s *Subscriber) Answering() int {
	return len(s.Answerers())
}

// follow polls one keeper until the context ends.
func (s *Subscriber) follow(ctx context.Context, address netip.AddrPort, f *followed) {
	client := s.options.Dial(address)
	pause, tries := MinPause, 0
	for ctx.Err() == nil {
		news, err := s.poll(ctx, client, address, f, s.slackFor(tries))
		if err == nil {
			pause = MinPause
			s.options.Host.News(ctx, address, news)
			continue
		}
		if ctx.Err() == nil && s.wasPromoted(f) {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.lost(address, f, err)
		select {
		case <-ctx.Done():
		case <-s.options.Clock.After(s.pause(tries, pause)):
		}
		tries++
		pause = min(2*pause, MaxPause)
	}
}

// wasPromoted tells, once, whether a poll was ended because its keeper is the primary now.
func (s *Subscriber) wasPromoted(f *followed) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	was := f.promoted
	f.promoted = false
	return was
}

// pause returns how long to wait after a poll that failed.
func (s *Subscriber) pause(tries int, usual time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.answered && tries < FirstTries {
		return FirstPause
	}
	return usual
}

// slackFor returns how late an answer may be after so many polls without one.
func (s *Subscriber) slackFor(tries int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.answered || tries >= FirstTries {
		return slack
	}
	return min(firstSlack<<(tries/patienceTries), slack)
}

// poll asks a keeper once. Slack is how late its answer may be.
func (s *Subscriber) poll(ctx context.Context, client messenger.Planning, address netip.AddrPort, f *followed, slack time.Duration) (*messenger.FollowResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	brief := s.prepare(address, f, cancel)
	request := s.options.Host.Report(address, brief)
	request.Brief, request.Epoch, request.After, request.Group = brief, f.epoch, f.after, f.group
	request.Partial = s.partial()
	if !brief && !f.whole {
		request.Epoch, request.After = 0, 0
	}
	wait := s.waitFor(brief, f)
	request.WaitMs = uint32(wait / time.Millisecond)
	ctx, expire := context.WithTimeout(ctx, wait+slack)
	defer expire()
	news, err := client.Follow(ctx, request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f.promote = nil
	if err != nil {
		return nil, err
	}
	s.heard(address, f, brief, news)
	return news, nil
}

// heard notes what an answer tells of its keeper, and of who is the primary.
func (s *Subscriber) heard(address netip.AddrPort, f *followed, brief bool, news *messenger.FollowResponse) {
	if !f.answer {
		s.options.Log.Info().Stringer("keeper", address).Uint64("plan", news.GetPlan()).Msg("keeper answers")
	}
	now := s.options.Clock.Now()
	if !brief && s.listed.IsZero() {
		s.listed = now
	}
	first := !s.answered
	changed := !f.answer || f.isolated != news.GetIsolated() || now.Sub(s.reviewed) > reviewPause
	s.answered, f.answer, f.promoted, f.whole = true, true, false, !brief
	f.epoch, f.after, f.zone, f.isolated = news.GetEpoch(), news.GetNext(), news.GetZone(), news.GetIsolated()
	s.judge(now, address, f)
	if s.learn(now, f, news) || changed {
		s.review(now)
	}
	if first {
		close(s.begun)
	}
	s.choose()
}

// prepare prepares a poll, and tells whether it is a brief one.
func (s *Subscriber) prepare(address netip.AddrPort, f *followed, cancel context.CancelFunc) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.options.Primary == nil || s.primary == address {
		return false
	}
	f.promote = cancel
	return true
}

// settling tells whether the first whole list was told only just.
func (s *Subscriber) settling() bool {
	return !s.listed.IsZero() && s.options.Clock.Since(s.listed) < settleTime
}

// waitFor returns how long a keeper may hold a poll. The first answer is wanted at once:
// it tells that the path works, or the whole list.
func (s *Subscriber) waitFor(brief bool, f *followed) time.Duration {
	switch {
	case !f.answer, !brief && !f.whole:
		return 0
	case brief:
		return time.Duration(s.brief.Load())
	}
	return time.Duration(s.wait.Load())
}

// choose looks which keeper is the primary. One that becomes it is polled anew: the poll
// that it holds may last for long, and until then nobody would have the report. It is asked
// for its whole list, because what it had told briefly left endpoints out.
//
// While the keepers answer for the first time, one after the other, each of them may rank
// before the last. Each change would cost another list, of hundreds of kilobytes in a large
// fleet, told to all routers at the moment at which they are waited for.
func (s *Subscriber) choose() {
	if s.options.Primary == nil {
		return
	}
	var candidates []candidate
	for address, f := range s.followed {
		if f.answer {
			candidates = append(candidates, candidate{address: address, zone: f.zone, isolated: f.isolated})
		}
	}
	chosen := s.options.Primary.choose(candidates)
	if chosen == s.primary {
		return
	}
	present, found := s.followed[s.primary]
	near := func(f *followed) bool { return f.zone == s.options.Primary.Zone }
	if found && present.answer && !present.isolated && s.settling() && (near(present) || !near(s.followed[chosen])) {
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

// nameOf names a primary in the log.
func nameOf(address netip.AddrPort) string {
	if !address.IsValid() {
		return "none"
	}
	return address.String()
}

func (s *Subscriber) lost(address netip.AddrPort, f *followed, err error) {
	s.mutex.Lock()
	now := s.options.Clock.Now()
	answered := f.answer
	f.answer = false
	s.judge(now, address, f)
	s.review(now)
	s.choose()
	s.mutex.Unlock()
	if answered {
		s.options.Log.Warn().Stringer("keeper", address).Err(err).Msg("keeper does not answer")
		s.options.Host.Lost(address, err)
	}
}

// leave ends the following of a keeper. It is the last that the host hears of it.
func (s *Subscriber) leave(address netip.AddrPort, f *followed) {
	defer close(f.ended)
	s.mutex.Lock()
	answered := f.answer && s.ctx.Err() == nil
	f.answer = false
	s.mutex.Unlock()
	if answered {
		s.options.Log.Info().Stringer("keeper", address).Msg("keeper is followed no more")
		s.options.Host.Lost(address, ErrLeft)
	}
}
