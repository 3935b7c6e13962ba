package subscriber

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"shallotkeel.example/lib/messenger"
)

// SetSeeds sets the control addresses that the settings name. They are polled whenever no keeper
// answers, whatever was learned since. It has no effect before Run.
func (s *Subscriber) SetSeeds(seeds ...netip.AddrPort) {
	s.mutex.Lock()
	s.seeds = slices.Clone(seeds)
	s.mutex.Unlock()
	s.AddKeepers(seeds...)
}

// AddKeepers adds keepers by their control addresses. It has no effect before Run.
func (s *Subscriber) AddKeepers(addresses ...netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	now := s.options.Clock.Now()
	for _, address := range addresses {
		s.noteMember(now, address, "")
	}
	s.reconcile(now)
	s.choosePrimary()
}

// Keepers returns the estimated number of keepers that share the routers: those that answer,
// and those that are neither followed nor demoted.
func (s *Subscriber) Keepers() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, count := s.options.Clock.Now(), 0
	for address, known := range s.members {
		f, found := s.followed[address]
		if found && f.answering || !found && !now.Before(known.demotedUntil) {
			count++
		}
	}
	return count
}

// UnansweringKeepers returns the addresses of the keepers that do not answer or are not followed.
func (s *Subscriber) UnansweringKeepers() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var unanswering []string
	for address := range s.members {
		if f, found := s.followed[address]; !found || !f.answering {
			unanswering = append(unanswering, address.String())
		}
	}
	return unanswering
}

// partial reports whether only some of the keepers are followed.
func (s *Subscriber) partial() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.options.Primary != nil && len(s.members) > maxFullGroup
}

// noteMember records that an answer or the settings named a keeper, and reports whether the keeper
// or its zone is new.
func (s *Subscriber) noteMember(now time.Time, address netip.AddrPort, zone string) bool {
	if !address.IsValid() || address == s.options.Own {
		return false
	}
	known, found := s.members[address]
	if !found {
		if len(s.members) >= maxKeepers {
			s.options.Log.Warn().Stringer("keeper", address).Msg("number of known keepers is at its limit; this keeper is ignored")
			return false
		}
		known = &member{}
		if s.options.Primary != nil {
			known.rank = s.options.Primary.rank(address)
		}
		s.members[address] = known
	}
	known.lastNamed = now
	if zone == "" || zone == known.zone {
		return !found
	}
	known.zone = zone
	return true
}

// updateGroup applies the group that an answer names, and reports whether it contains a new
// keeper or zone. An answer without a group refers to the group that its keeper named before.
func (s *Subscriber) updateGroup(now time.Time, f *subscription, answer *messenger.FollowResponse) bool {
	if len(answer.GetKeepers()) == 0 {
		if len(f.groupAddresses) > 0 {
			s.noteNaming(now)
		}
		for _, address := range f.groupAddresses {
			s.noteMember(now, address, "")
		}
		return false
	}
	s.noteNaming(now)
	changed := false
	f.group, f.groupAddresses = answer.GetGroup(), nil
	for i, text := range answer.GetKeepers() {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			s.options.Log.Warn().Str("keeper", text).Msg("address of a keeper is invalid; this keeper is not followed")
			continue
		}
		zone := ""
		if i < len(answer.GetZones()) {
			zone = answer.GetZones()[i]
		}
		f.groupAddresses = append(f.groupAddresses, address)
		changed = s.noteMember(now, address, zone) || changed
	}
	return changed
}

// noteNaming records that an answer names a group. Nobody could name a keeper in a silence before it.
func (s *Subscriber) noteNaming(now time.Time) {
	if silence := now.Sub(s.lastNaming); !s.lastNaming.IsZero() && silence >= silenceTimeout {
		for _, known := range s.members {
			if known.lastNamed = known.lastNamed.Add(silence); known.lastNamed.After(now) {
				known.lastNamed = now // the settings have named it meanwhile
			}
		}
	}
	s.lastNaming = now
}

// updateDemotion ranks a keeper that is lost or isolated behind the others for demotionTime, and
// ends the demotion of a keeper that answers and is not isolated.
func (s *Subscriber) updateDemotion(now time.Time, address netip.AddrPort, f *subscription) {
	known, found := s.members[address]
	switch {
	case !found:
	case f.answering && !f.isolated:
		known.failed, known.demotedUntil = false, time.Time{}
	default:
		known.failed, known.demotedUntil = true, now.Add(demotionTime)
	}
}

// reconcile starts following the selected keepers and stops following the others.
func (s *Subscriber) reconcile(now time.Time) {
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	s.lastReconciled = now
	s.forget()
	if now.Sub(s.lastNaming) >= silenceTimeout {
		for _, address := range s.seeds {
			s.noteMember(now, address, "")
		}
	}
	wanted := make(map[netip.AddrPort]bool)
	for _, address := range s.wanted(now) {
		wanted[address] = true
		if s.followed[address] == nil {
			s.startFollowing(address)
		}
	}
	for address, f := range s.followed {
		if !wanted[address] {
			delete(s.followed, address)
			s.ending[address] = f.ended
			f.cancel()
		}
	}
}

// forget removes keepers that do not answer and that the answers of others have not named for
// unnamedTimeout. While no keeper answers, none is removed: nothing would name them again.
func (s *Subscriber) forget() {
	for address, known := range s.members {
		f, found := s.followed[address]
		answers := found && f.answering
		if s.lastNaming.Sub(known.lastNamed) >= unnamedTimeout && !answers {
			s.options.Log.Info().Stringer("keeper", address).Msg("keeper is forgotten: it does not answer, and the others name a group without it")
			delete(s.members, address)
		}
	}
}

// wanted returns the keepers to follow.
func (s *Subscriber) wanted(now time.Time) []netip.AddrPort {
	known := make([]rankedKeeper, 0, len(s.members))
	for address, m := range s.members {
		known = append(known, rankedKeeper{
			candidate: candidate{address: address, zone: m.zone}, rank: m.rank,
			failed: m.failed, demotedUntil: m.demotedUntil,
		})
	}
	if s.options.Primary == nil {
		return addresses(known)
	}
	return s.options.Primary.selected(now, known)
}

// startFollowing starts to follow a keeper as soon as a former subscription to it has ended.
func (s *Subscriber) startFollowing(address netip.AddrPort) {
	ctx, end := context.WithCancel(s.ctx)
	f := &subscription{cancel: end, ended: make(chan struct{})}
	former, delay := s.ending[address], s.delay(address)
	delete(s.ending, address)
	s.followed[address] = f
	s.group.Go(func() {
		if former != nil {
			<-former
		}
		if s.awaitStart(ctx, delay) {
			s.follow(ctx, address, f)
		}
		s.finish(address, f)
	})
}

// initialDelay is the delay between a router's first polls of successive keepers named in the
// settings, while none has answered. The settings of all routers name the same few keepers. The
// first answer names the others, and then most routers do not need the remaining ones.
const initialDelay = 100 * time.Millisecond

// delay returns how long to wait for another keeper's answer before the first poll of a keeper.
func (s *Subscriber) delay(address netip.AddrPort) time.Duration {
	if s.answered || s.options.Primary == nil {
		return 0
	}
	delay := time.Duration(0)
	for _, other := range s.members {
		if other.rank > s.members[address].rank {
			delay += initialDelay
		}
	}
	return delay
}

// awaitStart waits until the delay has passed or another keeper has answered, and reports whether
// the keeper is still to be followed.
func (s *Subscriber) awaitStart(ctx context.Context, delay time.Duration) bool {
	if delay > 0 {
		select {
		case <-ctx.Done():
		case <-s.firstAnswer:
		case <-s.options.Clock.After(delay):
		}
	}
	return ctx.Err() == nil
}
