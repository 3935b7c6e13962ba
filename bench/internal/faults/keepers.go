package faults

import (
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
	"shallotkeel.example/lib/reporter"
)

func keeperCells() []cell {
	return []cell{
		{fault: "kill -9 keeper leader", step: "claims under way", run: killLeader},
		{fault: "kill -9 keeper leader", step: "a change under way", run: killLeaderChanging},
		{fault: "kill -9 keeper follower", step: "claims under way", run: killFollower},
		{fault: "freeze keeper leader", step: "claims and changes under way", run: freezeLeader},
		{fault: "keeper lost its disk", step: "rejoins, then a second one is lost", run: lostDisk},
	}
}

// nonRepeatableMix is a mix of mostly non-repeatable requests, each of which needs
// a claim from the keepers.
func (b *testbed) nonRepeatableMix() caller.Mix {
	return caller.Mix{Once: 3, Plain: 1, Stream: 1, Models: b.deployment.Models, Service: b.deployment.Plain, Bound: 24, Prompt: 300}
}

// killLeader: the keepers elect another leader, and requests whose claims are in
// flight are neither lost nor executed twice.
func killLeader(b *testbed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.nonRepeatableMix()), loadTime)
	b.sleep(warmUpTime)
	leader.Process().Kill()
	took, err := b.awaitNewLeader(leader, recoveryTimeout)
	if err != nil {
		return err
	}
	b.addFigure("new leader after %v", took.Round(time.Millisecond))
	b.sleep(time.Second)
	if err := leader.Start(); err != nil {
		return err
	}
	_, err = b.judge()
	return err
}

// awaitNewLeader waits until a router reports a leader other than the old one, and
// returns how long that took.
func (b *testbed) awaitNewLeader(old *launcher.Node, limit time.Duration) (time.Duration, error) {
	return b.await(limit, "a new leader of the keepers", func() bool {
		leader, err := b.leader()
		return err == nil && leader != old
	})
}

// killFollower: the remaining keepers are a quorum and go on granting claims.
func killFollower(b *testbed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	follower := b.followerOf(leader)
	b.startLoad(b.allWorkspaces(baseRate, b.nonRepeatableMix()), loadTime)
	b.sleep(warmUpTime)
	follower.Process().Kill()
	b.sleep(2 * time.Second)
	if err := follower.Start(); err != nil {
		return err
	}
	_, err = b.judge()
	return err
}

// followerOf returns a keeper other than the leader.
func (b *testbed) followerOf(leader *launcher.Node) *launcher.Node {
	for _, keeper := range b.fleet.Of(launcher.Keeper) {
		if keeper != leader {
			return keeper
		}
	}
	return nil
}

// killLeaderChanging: every accepted change is in force at the end and was applied
// once, including those whose first answer was lost with the leader.
func killLeaderChanging(b *testbed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	return b.changeDuring(func() error {
		leader.Process().Kill()
		b.sleep(2 * time.Second)
		return leader.Start()
	})
}

// freezeLeader: the old leader resumes in a term that is over. Neither claims nor
// changes may be lost or applied twice.
func freezeLeader(b *testbed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.nonRepeatableMix()), loadTime)
	err = b.changeDuring(func() error {
		leader.Process().Freeze()
		b.sleep(freezeTime / 2)
		leader.Process().Resume()
		return nil
	})
	if err != nil {
		return err
	}
	_, err = b.judge()
	return err
}

// changeDuring makes changes one after the other, each resent until it is
// accepted, while the fault is injected, and checks them at the end.
func (b *testbed) changeDuring(fault func() error) error {
	maker := newChangeMaker(b)
	injected := make(chan error, 1)
	go func() {
		b.sleep(warmUpTime)
		injected <- fault()
	}()
	if err := maker.run(loadTime); err != nil {
		return err
	}
	if err := <-injected; err != nil {
		return err
	}
	return maker.check()
}

// lostDisk: a keeper whose disk is wiped rejoins the group as a new member. After
// it has caught up, the loss of a second keeper must not lose any accepted change.
func lostDisk(b *testbed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	victim := b.followerOf(leader)
	maker := newChangeMaker(b)
	if err := maker.run(2 * time.Second); err != nil {
		return err
	}
	victim.Process().Kill()
	if err := os.RemoveAll(b.fleet.DataOf(victim)); err != nil {
		return merry.Errorf("%w: %v", ErrCell, err)
	}
	victim.Join()
	if err := victim.Start(); err != nil {
		return err
	}
	took, err := b.await(startTimeout, "the wiped keeper's return as a voter", func() bool { return b.isCaughtUpVoter(victim) })
	if err != nil {
		return err
	}
	b.addFigure("votes again after %v", took.Round(time.Millisecond))
	leader.Process().Kill()
	if err := maker.run(4 * time.Second); err != nil {
		return err
	}
	return maker.check()
}

// isCaughtUpVoter reports whether the keeper is a voter or the leader, has a quorum
// and has applied as much as any other keeper, according to the first router that
// answers.
func (b *testbed) isCaughtUpVoter(keeper *launcher.Node) bool {
	for _, router := range b.fleet.Of(launcher.Router) {
		var status reporter.Status
		if router.Admin(b.ctx, "/admin/status", &status) != nil {
			continue
		}
		var reported, furthest reporter.Keeper
		for _, k := range status.Keepers {
			if k.Name == keeper.Name {
				reported = k
			}
			if k.Applied > furthest.Applied {
				furthest = k
			}
		}
		return (reported.Role == "voter" || reported.Role == "leader") && reported.Quorum && reported.Applied >= furthest.Applied
	}
	return false
}

// changeID returns the id of a changeMaker's n-th change.
func changeID(n int) string { return fmt.Sprintf("faults-%05d", n) }
