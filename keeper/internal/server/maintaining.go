package server

import (
	"context"
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
	case member && now.Sub(m.quorumAt) < silentElections*s.timing.Election:
		return nil
	default:
		return s.checkRemoved(status, s.others(ctx))
	}
	return nil
}

// others asks all other keepers of the settings what they know.
func (s *Server) others(ctx context.Context) map[string]*messenger.KeeperStatusResponse {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make(map[string]*messenger.KeeperStatusResponse)
	for _, name := range s.settings.Names() {
		if name == s.settings.Name {
			continue
		}
		client := s.keepers.at(s.settings.Keepers[name].String())
		if answer, err := client.Status(ctx, &messenger.KeeperStatusRequest{Local: true}); err == nil {
			answers[name] = answer
		}
	}
	return answers
}

// foundOrJoin brings a newcomer into a group. Any keeper that has heard of one
// shows that the group exists, and then a blank disk may have lost what it held.
func (s *Server) foundOrJoin(ctx context.Context, status replicator.Status, m *maintenance) {
	answers := s.others(ctx)
	blank := len(status.Group) == 0 && len(answers) == len(s.settings.Keepers)-1
	for _, answer := range answers {
		if len(answer.GetKeepers()) > 0 {
			m.blankSince = time.Time{}
			s.joinUnlessListed(ctx, status, answers)
			return
		}
	}
	now := s.clock.Now()
	switch {
	case !blank || s.settings.Join || s.settings.Names()[0] != s.settings.Name:
		m.blankSince = time.Time{}
	case m.blankSince.IsZero():
		m.blankSince = now
	case now.Sub(m.blankSince) >= s.timing.Election:
		s.found(ctx, status, answers)
	}
}

// found makes the first group of all keepers of the settings. It needs every
// one of them to have said twice, an election timeout apart, that it is blank:
// if this keeper had founded a group before and lost its disk, then a majority
// holds what was accepted since, and the second time also a message that was
// still under way has arrived.
func (s *Server) found(ctx context.Context, status replicator.Status, answers map[string]*messenger.KeeperStatusResponse) {
	group := replicator.Group{{
		ID: status.ID, Name: s.settings.Name, Address: s.settings.Address().String(), Role: replicator.Voter,
	}}
	for _, name := range s.settings.Names() {
		if answer, found := answers[name]; found {
			group = append(group, replicator.Replica{
				ID: replicator.ID(answer.GetDisk()), Name: name,
				Address: s.settings.Keepers[name].String(), Role: replicator.Voter,
			})
		}
	}
	failure, err := ask(ctx, s, func(now time.Time, d *driver.Driver) error { return d.Found(now, group) })
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
func (s *Server) joinUnlessListed(ctx context.Context, status replicator.Status, answers map[string]*messenger.KeeperStatusResponse) {
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
func (s *Server) join(ctx context.Context, status replicator.Status, answers map[string]*messenger.KeeperStatusResponse) {
	request := &messenger.AlterRequest{Add: &messenger.Keeper{
		Name: s.settings.Name, Address: s.settings.Address().String(),
		Role: messenger.Role_ROLE_VOTER, Disk: uint64(status.ID),
	}}
	for _, name := range s.settings.Names() {
		answer, found := answers[name]
		if !found || len(answer.GetKeepers()) == 0 || answer.GetLeader() == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		response, err := s.keepers.at(s.settings.Keepers[name].String()).Alter(ctx, request)
		cancel()
		if err == nil && response.GetError() == "" {
			s.log.Info().Str("through", name).Msg("asked to join the group")
			return
		}
	}
}

// checkRemoved stops a keeper whose disk the group no longer counts. Only a
// leader in contact with a quorum is believed, because others may know less.
func (s *Server) checkRemoved(status replicator.Status, answers map[string]*messenger.KeeperStatusResponse) error {
	for _, answer := range answers {
		leads := answer.GetQuorum() && answer.GetLeader() == answer.GetName()
		if !leads || len(answer.GetKeepers()) == 0 || answer.GetCommit() < status.Commit {
			continue
		}
		if !listed(answer, status.ID) {
			return merry.Errorf("%w; to let it join again, set its data folder aside and start it", ErrRemoved)
		}
	}
	return nil
}

func listed(answer *messenger.KeeperStatusResponse, id replicator.ID) bool {
	for _, keeper := range answer.GetKeepers() {
		if keeper.GetDisk() == uint64(id) {
			return true
		}
	}
	return false
}
