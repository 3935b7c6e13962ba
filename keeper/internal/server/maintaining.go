package server

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

// ErrRemoved means that this keeper's disk is no longer a member.
var ErrRemoved = merry.Sentinel("this keeper was removed from the group")

const (
	// lookPause is how often a keeper looks after its own membership.
	lookPause = 200 * time.Millisecond
	// silentElections is how many election timeouts without a quorum make a
	// member ask whether it still is one.
	silentElections = 20
)

// maintain looks after this keeper's membership: it founds a group with the
// others, joins one, tells a changed address, and notices its removal.
func (s *Server) maintain(ctx context.Context) error {
	var m maintenance
	for s.pause(ctx, lookPause) == nil {
		if err := s.look(ctx, &m); err != nil {
			return err
		}
	}
	return nil
}

// maintenance is what maintain remembers between two looks.
type maintenance struct {
	blankSince time.Time // since when all keepers have said that they are blank
	quorumAt   time.Time // when this keeper last had contact with a quorum
	guests     blankKeepers
}

func (s *Server) look(ctx context.Context, m *maintenance) error {
	now := s.clock.Now()
	status := s.view.Load().status
	self, member := status.Group.Find(status.ID)
	if status.Quorum || m.quorumAt.IsZero() {
		m.quorumAt = now
	}
	switch {
	case status.ID == 0:
		return nil
	case status.Newcomer:
		s.foundOrJoin(ctx, status, m)
	case member && self.Address != s.settings.Address().String():
		s.join(ctx, status, s.others(ctx))
	case member && now.Sub(m.quorumAt) < s.patience():
		return nil
	default:
		return s.checkRemoved(ctx, status, s.others(ctx))
	}
	return nil
}

// patience is how long this keeper may be without a quorum before it asks
// whether it still is a member. Where the group removes silent members by
// itself, one that is back must not stay out for long.
func (s *Server) patience() time.Duration {
	if s.timing.Retire > 0 {
		return s.timing.Retire
	}
	return silentElections * s.timing.Election
}

// answer is what another keeper knows.
type answer struct {
	*messenger.KeeperStatusResponse
	address string
}

// others asks all other keepers that are known what they know, side by side: one
// that is cut off answers nothing, and must not use up the others' time.
func (s *Server) others(ctx context.Context) []answer {
	return s.statuses(ctx, s.peerAddresses())
}

func (s *Server) statuses(ctx context.Context, addresses []string) []answer {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	found := make([]answer, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			response, err := s.peers.forAddress(address).Status(ctx, &messenger.KeeperStatusRequest{Local: true})
			if err == nil {
				found[i] = answer{KeeperStatusResponse: response, address: address}
			}
		})
	}
	group.Wait()
	return slices.DeleteFunc(found, func(a answer) bool { return a.KeeperStatusResponse == nil })
}

// peerAddresses returns where other keepers may be found: as the settings list
// them, or, where those name seeds only, there and where the group says.
func (s *Server) peerAddresses() []string {
	named := make(map[string]bool)
	for _, address := range s.settings.Keepers {
		named[address.String()] = true
	}
	if len(s.settings.Seeds) > 0 {
		for _, address := range *s.seeds.Load() {
			named[address.String()] = true
		}
		for _, address := range s.memberAddresses() {
			named[address.String()] = true
		}
	}
	delete(named, s.settings.Address().String())
	return slices.Sorted(maps.Keys(named))
}

// founds tells whether this keeper is the one that founds the first group.
func (s *Server) founds() bool {
	if len(s.settings.Seeds) > 0 {
		seeds := s.settings.SeedAddresses()
		return s.settings.Bootstrap && slices.MinFunc(seeds, netip.AddrPort.Compare) == s.settings.Address()
	}
	return !s.settings.Join && s.settings.Names()[0] == s.settings.Name
}

// foundOrJoin brings a newcomer into a group. Any keeper that has heard of one
// shows that the group exists, and then a blank disk may have lost what it held.
func (s *Server) foundOrJoin(ctx context.Context, status replicator.Status, m *maintenance) {
	answers, guests := s.others(ctx), s.queryUnlistedFollowers(ctx)
	blank := len(status.Group) == 0 && len(answers) == len(s.peerAddresses())
	for _, answer := range slices.Concat(answers, guests) {
		if len(answer.GetKeepers()) > 0 {
			m.blankSince = time.Time{}
			s.joinUnlessListed(ctx, status, answers)
			return
		}
	}
	now := s.clock.Now()
	patient := m.guests.observe(now, guests, s.timing.Election)
	switch {
	case !blank || !s.founds():
		m.blankSince = time.Time{}
	case m.blankSince.IsZero():
		m.blankSince = now
	case now.Sub(m.blankSince) >= s.timing.Election:
		s.found(ctx, status, slices.Concat(answers, patient))
	}
}

// found makes the first group of all keepers that the settings name, and of others that are
// there. It needs every one that is named to have said twice, an election timeout apart, that
// it is blank: if this keeper had founded a group before and lost its disk, then a majority
// holds what was accepted since, and the second time also a message that was
// still under way has arrived. Another one that does not answer joins later.
func (s *Server) found(ctx context.Context, status replicator.Status, answers []answer) {
	group := replicator.Group{{
		ID: status.ID, Name: s.settings.Name, Address: s.settings.Address().String(), Role: replicator.Voter,
	}}
	for _, other := range answers {
		group = append(group, replicator.Replica{
			ID: replicator.ID(other.GetDisk()), Name: other.GetName(), Address: other.address, Role: replicator.Voter,
		})
	}
	failure, err := callLoop(ctx, s, func(now time.Time, d *driver.Driver) error { return d.Found(now, group) })
	if err == nil {
		err = failure
	}
	if err != nil {
		s.log.Error().Err(err).Msg("no group could be founded; it is tried again")
		return
	}
	s.log.Info().Int("keepers", len(group)).Msg("founded a group")
}

// joinUnlessListed asks to join if no one lists this keeper. It looks at the own
// view once more: a keeper that was listed, and was removed while the others
// were being asked, would otherwise come back by itself.
func (s *Server) joinUnlessListed(ctx context.Context, status replicator.Status, answers []answer) {
	for _, answer := range answers {
		if listed(answer, status.ID) {
			return
		}
	}
	if s.view.Load().status.Newcomer {
		s.join(ctx, status, answers)
	}
}

// join asks a keeper of the group to add this one. The leader promotes it to
// voter once it has caught up.
func (s *Server) join(ctx context.Context, status replicator.Status, answers []answer) {
	request := &messenger.AlterRequest{Add: &messenger.Keeper{
		Name: s.settings.Name, Address: s.settings.Address().String(),
		Role: messenger.Role_ROLE_VOTER, Disk: uint64(status.ID),
	}}
	for _, other := range answers {
		if len(other.GetKeepers()) == 0 || other.GetLeader() == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		response, err := s.peers.forAddress(other.address).Alter(ctx, request)
		cancel()
		if err == nil && response.GetError() == "" {
			s.log.Info().Str("through", other.GetName()).Msg("asked to join the group")
			return
		}
		s.log.Debug().Err(err).Str("refusal", response.GetError()).Str("through", other.GetName()).Msg("could not join; it is tried again")
	}
}

// checkRemoved stops a keeper whose disk the group no longer counts. Only a
// leader in contact with a quorum is believed, because others may know less.
//
// Where keepers find one another by seeds, nobody looks after the members by
// hand: the group removes a member that it has not heard for a while, and one
// that comes back asks to join again. Its ballot and its log are still its own,
// so that it may.
func (s *Server) checkRemoved(ctx context.Context, status replicator.Status, answers []answer) error {
	for _, other := range answers {
		leads := other.GetQuorum() && other.GetLeader() == other.GetName()
		if !leads || len(other.GetKeepers()) == 0 || other.GetCommit() < status.Commit {
			continue
		}
		if !listed(other, status.ID) {
			if len(s.settings.Seeds) > 0 {
				s.log.Warn().Str("leader", other.GetName()).Msg("the group went on without this keeper; it joins again")
				s.join(ctx, status, answers)
				return nil
			}
			return merry.Errorf("%w; to let it join again, set its data folder aside and start it", ErrRemoved)
		}
	}
	return nil
}

func listed(other answer, id replicator.ID) bool {
	for _, keeper := range other.GetKeepers() {
		if keeper.GetDisk() == uint64(id) {
			return true
		}
	}
	return false
}
