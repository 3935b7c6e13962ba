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

// ErrRemoved means that this keeper's disk is no longer a member of the group.
var ErrRemoved = merry.Sentinel("this keeper was removed from the group")

const (
	// membershipCheckInterval is the pause between two checks of a keeper's own membership.
	membershipCheckInterval = 200 * time.Millisecond
	// quorumLossElections is the number of election timeouts without a quorum after
	// which a member asks the other keepers whether it still is a member.
	quorumLossElections = 20
)

// maintainMembership maintains this keeper's membership until the context ends: it founds
// a group with the other keepers or joins one, announces a changed address, and detects its
// removal, which it returns as ErrRemoved.
func (s *Server) maintainMembership(ctx context.Context) error {
	var m membershipState
	for s.pause(ctx, membershipCheckInterval) == nil {
		if err := s.checkMembership(ctx, &m); err != nil {
			return err
		}
	}
	return nil
}

// membershipState is the state of maintainMembership between two checks.
type membershipState struct {
	blankSince     time.Time // start of the period in which all keepers report a blank disk
	quorumAt       time.Time // last contact of this keeper with a quorum
	blankFollowers blankKeepers
}

// checkMembership makes one check of this keeper's membership and acts on it.
func (s *Server) checkMembership(ctx context.Context, m *membershipState) error {
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
		s.join(ctx, status, s.peerStatuses(ctx))
	case member && now.Sub(m.quorumAt) < s.quorumLossTimeout():
		return nil
	default:
		return s.checkRemoved(ctx, status, s.peerStatuses(ctx))
	}
	return nil
}

// quorumLossTimeout returns how long this keeper may be without a quorum before it asks
// whether it still is a member. It is shorter where the group removes silent members
// automatically, so that a member that comes back rejoins soon.
func (s *Server) quorumLossTimeout() time.Duration {
	if s.timing.RetireAfter > 0 {
		return s.timing.RetireAfter
	}
	return quorumLossElections * s.timing.ElectionTimeout
}

// peerStatus is another keeper's status, with the control address that was asked.
type peerStatus struct {
	*messenger.KeeperStatusResponse
	address string
}

// peerStatuses queries the status of all other known keepers.
func (s *Server) peerStatuses(ctx context.Context) []peerStatus {
	return s.queryStatuses(ctx, s.peerAddresses())
}

// queryStatuses queries the status of keepers in parallel, so that a keeper that is cut off
// does not use up the timeout of the others. Keepers that do not answer are left out.
func (s *Server) queryStatuses(ctx context.Context, addresses []string) []peerStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	statuses := make([]peerStatus, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			response, err := s.peers.forAddress(address).Status(ctx, &messenger.KeeperStatusRequest{Local: true})
			if err == nil {
				statuses[i] = peerStatus{KeeperStatusResponse: response, address: address}
			}
		})
	}
	group.Wait()
	return slices.DeleteFunc(statuses, func(a peerStatus) bool { return a.KeeperStatusResponse == nil })
}

// peerAddresses returns the control addresses of the other keepers: those in the settings
// or, if the settings name seeds only, those of the seeds and of the group's members.
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

// isFounder reports whether this keeper is the one that founds the first group.
func (s *Server) isFounder() bool {
	if len(s.settings.Seeds) > 0 {
		seeds := s.settings.SeedAddresses()
		return s.settings.Bootstrap && slices.MinFunc(seeds, netip.AddrPort.Compare) == s.settings.Address()
	}
	return !s.settings.Join && s.settings.Names()[0] == s.settings.Name
}

// foundOrJoin brings a newcomer into a group. If any keeper knows a group, the newcomer
// joins it rather than founding one, because its blank disk may have lost committed state.
func (s *Server) foundOrJoin(ctx context.Context, status replicator.Status, m *membershipState) {
	answers, followers := s.peerStatuses(ctx), s.queryUnlistedFollowers(ctx)
	blank := len(status.Group) == 0 && len(answers) == len(s.peerAddresses())
	for _, answer := range slices.Concat(answers, followers) {
		if len(answer.GetKeepers()) > 0 {
			m.blankSince = time.Time{}
			s.joinUnlessListed(ctx, status, answers)
			return
		}
	}
	now := s.clock.Now()
	confirmed := m.blankFollowers.observe(now, followers, s.timing.ElectionTimeout)
	switch {
	case !blank || !s.isFounder():
		m.blankSince = time.Time{}
	case m.blankSince.IsZero():
		m.blankSince = now
	case now.Sub(m.blankSince) >= s.timing.ElectionTimeout:
		s.foundGroup(ctx, status, slices.Concat(answers, confirmed))
	}
}

// foundGroup founds the first group from all keepers that the settings name, and from the blank
// followers that the settings do not name. Every named keeper must have reported a blank disk
// twice, an election timeout apart: if this keeper had founded a group before and lost its disk,
// a majority would hold the state that was committed since, and by the second report a message
// that was still in flight has arrived. A keeper that is not named and does not answer joins
// later.
func (s *Server) foundGroup(ctx context.Context, status replicator.Status, answers []peerStatus) {
	group := replicator.Group{{
		ID: status.ID, Name: s.settings.Name, Address: s.settings.Address().String(), Role: replicator.Voter,
	}}
	for _, other := range answers {
		group = append(group, replicator.Replica{
			ID: replicator.ID(other.GetDisk()), Name: other.GetName(), Address: other.address, Role: replicator.Voter,
		})
	}
	failure, err := callLoop(ctx, s, func(now time.Time, d *driver.Driver) error { return d.Bootstrap(now, group) })
	if err == nil {
		err = failure
	}
	if err != nil {
		s.log.Error().Err(err).Msg("could not found a group; retrying")
		return
	}
	s.log.Info().Int("keepers", len(group)).Msg("founded a group")
}

// joinUnlessListed asks to join if no other keeper lists this one as a member. It checks
// the current view again first: a keeper that was a member, and was removed during the
// status queries, must not rejoin on its own.
func (s *Server) joinUnlessListed(ctx context.Context, status replicator.Status, answers []peerStatus) {
	for _, answer := range answers {
		if listsMember(answer, status.ID) {
			return
		}
	}
	if s.view.Load().status.Newcomer {
		s.join(ctx, status, answers)
	}
}

// join asks the keepers of the group one after the other to add this one, until one
// accepts. The leader promotes this keeper to voter once it has caught up.
func (s *Server) join(ctx context.Context, status replicator.Status, answers []peerStatus) {
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
		s.log.Debug().Err(err).Str("refusal", response.GetError()).Str("through", other.GetName()).Msg("request to join the group failed; trying the next keeper")
	}
}

// checkRemoved returns ErrRemoved if the group no longer lists this keeper's disk. It
// accepts only the answer of a leader in contact with a quorum, because other keepers
// may have an older membership.
//
// Where keepers find one another by seeds, no operator manages the members: the group
// removes a member that is silent for Timing.RetireAfter, and a removed member that comes back
// asks to join again. It may rejoin because its ballot and its log are intact.
func (s *Server) checkRemoved(ctx context.Context, status replicator.Status, answers []peerStatus) error {
	for _, other := range answers {
		leads := other.GetQuorum() && other.GetLeader() == other.GetName()
		if !leads || len(other.GetKeepers()) == 0 || other.GetCommit() < status.Commit {
			continue
		}
		if !listsMember(other, status.ID) {
			if len(s.settings.Seeds) > 0 {
				s.log.Warn().Str("leader", other.GetName()).Msg("group removed this keeper while it was silent; asking to join again")
				s.join(ctx, status, answers)
				return nil
			}
			return merry.Errorf("%w; to let it join again, set its data folder aside and start it", ErrRemoved)
		}
	}
	return nil
}

// listsMember reports whether another keeper lists a disk as a member of the group.
func listsMember(other peerStatus, id replicator.ID) bool {
	for _, keeper := range other.GetKeepers() {
		if keeper.GetDisk() == uint64(id) {
			return true
		}
	}
	return false
}
