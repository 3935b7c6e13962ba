package subscriber

import (
	"context"
	"net/netip"
	"time"

	"shallotkeel.example/lib/messenger"
)

// Know adds keepers.
func (s *Subscriber) Know(addresses ...netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	now := s.options.Clock.Now()
	for _, address := range addresses {
		s.note(now, address, "")
	}
	s.review(now)
	s.choose()
}

// Keepers returns how many keepers there probably are to share the routers.
func (s *Subscriber) Keepers() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, count := s.options.Clock.Now(), 0
	for address, known := range s.members {
		f, found := s.followed[address]
		if found && f.answer || !found && !now.Before(known.passed) {
			count++
		}
	}
	return count
}

// Unheard returns the keepers that do not answer.
func (s *Subscriber) Unheard() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var unheard []string
	for address := range s.members {
		if f, found := s.followed[address]; !found || !f.answer {
			unheard = append(unheard, address.String())
		}
	}
	return unheard
}

// partial tells whether only some of the keepers are followed.
func (s *Subscriber) partial() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.options.Primary != nil && len(s.members) > fewKeepers
}

// note notes that a keeper was named, and tells whether that is news.
func (s *Subscriber) note(now time.Time, address netip.AddrPort, zone string) bool {
	if !address.IsValid() || address == s.options.Own {
		return false
	}
	known, found := s.members[address]
	if !found {
		if len(s.members) >= maxKeepers {
			s.options.Log.Warn().Stringer("keeper", address).Msg("too many keepers are known; this one is left out")
			return false
		}
		known = &member{}
		if s.options.Primary != nil {
			known.rank = s.options.Primary.rank(address)
		}
		s.members[address] = known
	}
	known.named = now
	if zone == "" || zone == known.zone {
		return !found
	}
	known.zone = zone
	return true
}

// learn takes the group that an answer names, and tells whether anything of it is news. An
// answer that names none means the one that its keeper named before.
func (s *Subscriber) learn(now time.Time, f *followed, news *messenger.FollowResponse) bool {
	if len(news.GetKeepers()) == 0 {
		for _, address := range f.names {
			s.note(now, address, "")
		}
		return false
	}
	changed := false
	f.group, f.names = news.GetGroup(), nil
	for i, text := range news.GetKeepers() {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			s.options.Log.Warn().Str("keeper", text).Msg("a keeper's address cannot be read; it is not followed")
			continue
		}
		zone := ""
		if i < len(news.GetZones()) {
			zone = news.GetZones()[i]
		}
		f.names = append(f.names, address)
		changed = s.note(now, address, zone) || changed
	}
	return changed
}

// judge notes whether a keeper is to rank behind the others.
func (s *Subscriber) judge(now time.Time, address netip.AddrPort, f *followed) {
	known, found := s.members[address]
	switch {
	case !found:
	case f.answer && !f.isolated:
		known.failed, known.passed = false, time.Time{}
	default:
		known.failed, known.passed = true, now.Add(passTime)
	}
}

// review begins to follow the keepers that are to be followed, and ends with the others.
func (s *Subscriber) review(now time.Time) {
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	s.reviewed = now
	s.forget(now)
	wanted := make(map[netip.AddrPort]bool)
	for _, address := range s.wanted(now) {
		wanted[address] = true
		if s.followed[address] == nil {
			s.begin(address)
		}
	}
	for address, f := range s.followed {
		if !wanted[address] {
			delete(s.followed, address)
			s.ending[address] = f.ended
			f.end()
		}
	}
}

// forget drops keepers that no group names any more and that do not answer.
func (s *Subscriber) forget(now time.Time) {
	for address, known := range s.members {
		f, found := s.followed[address]
		answers := found && f.answer
		if now.Sub(known.named) >= retired && !answers {
			delete(s.members, address)
		}
	}
}

// wanted returns the keepers that are to be followed.
func (s *Subscriber) wanted(now time.Time) []netip.AddrPort {
	known := make([]standing, 0, len(s.members))
	for address, m := range s.members {
		known = append(known, standing{
			candidate: candidate{address: address, zone: m.zone}, rank: m.rank,
			failed: m.failed, passed: m.passed,
		})
	}
	if s.options.Primary == nil {
		return addresses(known)
	}
	return s.options.Primary.selected(now, known)
}

// begin begins to follow a keeper, after a former following of it has ended.
func (s *Subscriber) begin(address netip.AddrPort) {
	ctx, end := context.WithCancel(s.ctx)
	f := &followed{end: end, ended: make(chan struct{})}
	former, delay := s.ending[address], s.delay(address)
	delete(s.ending, address)
	s.followed[address] = f
	s.group.Go(func() {
		if former != nil {
			<-former
		}
		if s.stagger(ctx, delay) {
			s.follow(ctx, address, f)
		}
		s.leave(address, f)
	})
}

// firstDelay is by how much later than the one before a router asks each further keeper that the
// settings name, as long as none has answered. All routers are told of the same few keepers. The
// first answer names the others, and then most routers have no need of these.
const firstDelay = 100 * time.Millisecond

// delay returns how long to wait for another keeper's answer before one is asked first.
func (s *Subscriber) delay(address netip.AddrPort) time.Duration {
	if s.answered || s.options.Primary == nil {
		return 0
	}
	delay := time.Duration(0)
	for _, other := range s.members {
		if other.rank > s.members[address].rank {
			delay += firstDelay
		}
	}
	return delay
}

// stagger waits until a keeper is to be asked first, and tells whether it still is to be.
func (s *Subscriber) stagger(ctx context.Context, delay time.Duration) bool {
	if delay > 0 {
		select {
		case <-ctx.Done():
		case <-s.begun:
		case <-s.options.Clock.After(delay):
		}
	}
	return ctx.Err() == nil
}
