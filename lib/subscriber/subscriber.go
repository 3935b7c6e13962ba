// Package subscriber follows keepers: it keeps one long poll open at each of
// them, hands in what this process reports, and hands out the news.
//
// Keepers are found from a few addresses: each answer names the whole group.
//
// Invariants: every poll is bounded in time, because a connection may go silent
// without a reset; a keeper that does not answer is asked again after a pause
// that rises to MaxPause and never further, so that one that is back is heard of
// within that time; one keeper's silence delays no other keeper's news.
package subscriber

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

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
	// retired is how long a keeper that no group names any more is still asked.
	retired = 30 * time.Second
	// maxKeepers bounds the keepers that are followed at once.
	maxKeepers = 32
)

// Host is who follows.
type Host interface {
	// Report returns what the keeper at an address is told with the next poll.
	// Epoch, after and wait are filled in by the subscriber.
	Report(keeper netip.AddrPort) *messenger.FollowRequest
	// News takes an answer. It is called by one goroutine for each keeper.
	News(ctx context.Context, keeper netip.AddrPort, news *messenger.FollowResponse)
	// Lost tells that a keeper that answered before does not.
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
}

// Subscriber follows all keepers that it knows of.
type Subscriber struct {
	options Options

	wait     atomic.Int64 // a time.Duration
	mutex    sync.Mutex
	ctx      context.Context
	followed map[netip.AddrPort]*followed
	answered bool // any keeper has answered since the start
	group    sync.WaitGroup
}

type followed struct {
	named  time.Time // when an answer or the settings named it last
	epoch  uint64
	after  uint64
	answer bool // the last poll was answered
}

// New returns a subscriber that follows nobody yet.
func New(options Options) *Subscriber {
	if options.Wait == 0 {
		options.Wait = DefaultWait
	}
	s := &Subscriber{options: options, followed: make(map[netip.AddrPort]*followed)}
	s.Pace(options.Wait)
	return s
}

// Pace sets how long polls are held from now on.
func (s *Subscriber) Pace(wait time.Duration) {
	s.wait.Store(int64(wait))
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

// Know adds keepers.
func (s *Subscriber) Know(addresses ...netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	now := s.options.Clock.Now()
	for _, address := range addresses {
		if !address.IsValid() || address == s.options.Own {
			continue
		}
		if known, found := s.followed[address]; found {
			known.named = now
			continue
		}
		if len(s.followed) >= maxKeepers {
			s.options.Log.Warn().Stringer("keeper", address).Msg("too many keepers are followed; this one is left out")
			continue
		}
		added := &followed{named: now}
		s.followed[address] = added
		s.group.Go(func() { s.follow(s.ctx, address, added) })
	}
}

// Answering returns how many keepers answered their last poll.
func (s *Subscriber) Answering() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, known := range s.followed {
		if known.answer {
			count++
		}
	}
	return count
}

// follow polls one keeper until the context ends or nobody names it any more.
func (s *Subscriber) follow(ctx context.Context, address netip.AddrPort, f *followed) {
	client := s.options.Dial(address)
	pause, tries := MinPause, 0
	for ctx.Err() == nil {
		news, err := s.poll(ctx, client, address, f)
		if err == nil {
			pause = MinPause
			s.learn(news)
			s.options.Host.News(ctx, address, news)
			continue
		}
		if ctx.Err() != nil || s.retire(address, f) {
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

// pause returns how long to wait after a poll that failed.
func (s *Subscriber) pause(tries int, usual time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.answered && tries < FirstTries {
		return FirstPause
	}
	return usual
}

func (s *Subscriber) poll(ctx context.Context, client messenger.Planning, address netip.AddrPort, f *followed) (*messenger.FollowResponse, error) {
	request := s.options.Host.Report(address)
	request.Epoch, request.After = f.epoch, f.after
	wait := time.Duration(s.wait.Load())
	if !f.answer {
		// The first answer is wanted at once: it tells that the path works.
		wait = 0
	}
	request.WaitMs = uint32(wait / time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	news, err := client.Follow(ctx, request)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answered = true
	if !f.answer {
		f.answer = true
		s.options.Log.Info().Stringer("keeper", address).Uint64("plan", news.GetPlan()).Msg("keeper answers")
	}
	f.epoch, f.after = news.GetEpoch(), news.GetNext()
	return news, nil
}

func (s *Subscriber) learn(news *messenger.FollowResponse) {
	for _, named := range news.GetKeepers() {
		address, err := netip.ParseAddrPort(named)
		if err != nil {
			s.options.Log.Warn().Str("keeper", named).Msg("a keeper's address cannot be read; it is not followed")
			continue
		}
		s.Know(address)
	}
}

func (s *Subscriber) lost(address netip.AddrPort, f *followed, err error) {
	s.mutex.Lock()
	answered := f.answer
	f.answer = false
	s.mutex.Unlock()
	if answered {
		s.options.Log.Warn().Stringer("keeper", address).Err(err).Msg("keeper does not answer")
		s.options.Host.Lost(address, err)
	}
}

// retire ends the following of a keeper that has left its group.
func (s *Subscriber) retire(address netip.AddrPort, f *followed) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.options.Clock.Since(f.named) < retired {
		return false
	}
	delete(s.followed, address)
	return true
}
