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

func (b *bed) onceMix() caller.Mix {
	return caller.Mix{Once: 3, Plain: 1, Stream: 1, Models: b.deployment.Models, Service: b.deployment.Plain, Bound: 24, Prompt: 300}
}

func killLeader(b *bed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	b.send(b.everyone(usualRate, b.onceMix()), usualTime)
	b.sleep(warmUp)
	leader.Process().Kill()
	took, err := b.newLeader(leader, recoverLimit)
	if err != nil {
		return err
	}
	b.note("new leader after %v", took.Round(time.Millisecond))
	b.sleep(time.Second)
	if err := leader.Start(); err != nil {
		return err
	}
	_, err = b.judge()
	return err
}

// newLeader waits until the routers see another leader.
func (b *bed) newLeader(old *launcher.Node, limit time.Duration) (time.Duration, error) {
	return b.await(limit, "a new leader of the keepers", func() bool {
		leader, err := b.leader()
		return err == nil && leader != old
	})
}

func killFollower(b *bed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	follower := b.followerOf(leader)
	b.send(b.everyone(usualRate, b.onceMix()), usualTime)
	b.sleep(warmUp)
	follower.Process().Kill()
	b.sleep(2 * time.Second)
	if err := follower.Start(); err != nil {
		return err
	}
	_, err = b.judge()
	return err
}

func (b *bed) followerOf(leader *launcher.Node) *launcher.Node {
	for _, keeper := range b.fleet.Of(launcher.Keeper) {
		if keeper != leader {
			return keeper
		}
	}
	return nil
}

// killLeaderChanging: every change that was accepted is in force at the end,
// once, also those whose first answer was lost with the leader.
func killLeaderChanging(b *bed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	return b.changing(func() error {
		leader.Process().Kill()
		b.sleep(2 * time.Second)
		return leader.Start()
	})
}

// freezeLeader: the old leader wakes up in a term that has passed.
func freezeLeader(b *bed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	b.send(b.everyone(usualRate, b.onceMix()), usualTime)
	err = b.changing(func() error {
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

// changing makes changes one after the other, each resent until it is
// answered, while the fault happens, and checks them at the end.
func (b *bed) changing(fault func() error) error {
	log := newChanges(b)
	failed := make(chan error, 1)
	go func() {
		b.sleep(warmUp)
		failed <- fault()
	}()
	if err := log.run(usualTime); err != nil {
		return err
	}
	if err := <-failed; err != nil {
		return err
	}
	return log.check()
}

// lostDisk: a keeper whose disk is wiped joins again as a new member; when it
// has caught up, the loss of a second keeper must lose nothing.
func lostDisk(b *bed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	victim := b.followerOf(leader)
	log := newChanges(b)
	if err := log.run(2 * time.Second); err != nil {
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
	took, err := b.await(startLimit, "the wiped keeper's return as a voter", func() bool { return b.votes(victim) })
	if err != nil {
		return err
	}
	b.note("votes again after %v", took.Round(time.Millisecond))
	leader.Process().Kill()
	if err := log.run(4 * time.Second); err != nil {
		return err
	}
	return log.check()
}

// votes tells whether the routers see the keeper as a voter that has caught up.
func (b *bed) votes(keeper *launcher.Node) bool {
	for _, router := range b.fleet.Of(launcher.Router) {
		var status reporter.Status
		if router.Admin(b.ctx, "/admin/status", &status) != nil {
			continue
		}
		var told, most reporter.Keeper
		for _, k := range status.Keepers {
			if k.Name == keeper.Name {
				told = k
			}
			if k.Applied > most.Applied {
				most = k
			}
		}
		return (told.Role == "voter" || told.Role == "leader") && told.Quorum && told.Applied >= most.Applied
	}
	return false
}

func changeID(n int) string { return fmt.Sprintf("faults-%05d", n) }
