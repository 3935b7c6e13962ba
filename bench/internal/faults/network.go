package faults

import (
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
	"shallotkeel.example/lib/reporter"
)

const (
	// cutTime is longer than every lease of the system.
	cutTime = 5 * time.Second
	// longCutTime is longer than the time for which routers wait for a quorum.
	longCutTime = 12 * time.Second
	// refusalLimit bounds the time until a non-repeatable request gets its final
	// answer in a zone without a quorum: longer than an election, and short enough
	// for the client to try another zone.
	refusalLimit = 5 * time.Second
)

func networkCells() []cell {
	relays := fleetOptions{relays: true}
	return []cell{
		{fault: "zone cut off", step: "under load, then rejoins", fleet: relays, run: cutZone},
		{fault: "one-way cut", step: "a zone's messages to the others are lost", fleet: relays, run: func(b *testbed) error { return cutOneWay(b, true) }},
		{fault: "one-way cut", step: "the others' messages to a zone are lost", fleet: relays, run: func(b *testbed) error { return cutOneWay(b, false) }},
		{fault: "keeper leader cut silently", step: "claims and changes under way", fleet: relays, run: cutLeader},
		{fault: "router cut from its zone", step: "the scheduler, under load", fleet: relays, run: cutScheduler},
	}
}

// cutZone: a zone is cut off from the others, and each side serves what it can.
// The zone without a quorum refuses non-repeatable requests as not run, and serves
// all others.
func cutZone(b *testbed) error {
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), longCutTime+loadTime)
	b.sleep(2 * time.Second)
	b.cutZone(zoneA)
	took, err := b.await(cutTime, "the cut zone's notice that it has no quorum", func() bool { return b.reportsStale(zoneA) })
	if err != nil {
		return err
	}
	b.addFigure("%s knows that it may be stale after %v", zoneA, took.Round(time.Millisecond))
	b.sleep(longCutTime)
	for _, zone := range []string{zoneA, zoneB} {
		took, err := b.awaitAnswer(zone, recoveryTimeout)
		if err != nil {
			return err
		}
		b.addFigure("%s answers during the cut after %v", zone, took.Round(time.Millisecond))
	}
	b.network.Heal()
	if _, err = b.judge(); err != nil {
		return err
	}
	return b.checkQuorumRefusals()
}

// checkQuorumRefusals checks that non-repeatable requests were refused for want of
// a quorum, and that none waited longer than refusalLimit. No refusal at all means
// that the cut was not effective.
func (b *testbed) checkQuorumRefusals() error {
	results, _ := b.recorder.Results()
	refused, longest := 0, time.Duration(0)
	for _, result := range results {
		if result.Code == "no_quorum" {
			refused++
		}
		if result.Request.Once {
			longest = max(longest, result.Took)
		}
	}
	b.addFigure("%d refused for want of a quorum; what may not repeat waited at most %v", refused, longest.Round(time.Millisecond))
	if refused == 0 || longest > refusalLimit {
		return merry.Errorf("%w: %d refused for want of a quorum, and the longest wait was %v, limit %v", ErrCell, refused, longest, refusalLimit)
	}
	return nil
}

// reportsStale tells whether every router of the zone reports that its configuration
// may be stale. If the routers do not notice the cut, it was not effective, and the
// cell would pass without proving anything.
func (b *testbed) reportsStale(zone string) bool {
	for _, router := range b.fleet.In(zone, launcher.Router) {
		var objects reporter.Objects
		if router.Admin(b.ctx, "/admin/objects", &objects) != nil || !objects.Stale {
			return false
		}
	}
	return true
}

// cutOneWay: messages between a zone and the others are lost in one direction and
// delivered in the other one.
func cutOneWay(b *testbed, outward bool) error {
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), 2*loadTime)
	b.sleep(2 * time.Second)
	b.cut(func(from, to *launcher.Node) bool {
		if outward {
			return from.Zone == zoneA && to.Zone != zoneA
		}
		return from.Zone != zoneA && to.Zone == zoneA
	})
	b.sleep(cutTime)
	for _, zone := range []string{zoneA, zoneB} {
		if _, err := b.awaitAnswer(zone, recoveryTimeout); err != nil {
			return err
		}
	}
	b.network.Heal()
	_, err := b.judge()
	return err
}

// cutLeader: the leader's links to all other processes are cut without a reset. It
// steps down within its lease, the other keepers elect a leader and continue, and
// entries that it had not committed do not come into force.
func cutLeader(b *testbed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.nonRepeatableMix()), 2*loadTime)
	err = b.changeDuring(func() error {
		b.cut(func(from, to *launcher.Node) bool { return from == leader || to == leader })
		b.sleep(cutTime)
		b.network.Heal()
		return nil
	})
	if err != nil {
		return err
	}
	_, err = b.judge()
	return err
}

// cutScheduler: the router that schedules a pool is cut from the other routers and
// the keepers, while its clients still reach it. The zone gets another scheduler;
// clients of the cut router get an answer or are refused as not run.
func cutScheduler(b *testbed) error {
	victim, err := b.scheduler(zoneA, b.deployment.Model)
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), 2*loadTime)
	b.sleep(warmUpTime)
	b.cut(func(from, to *launcher.Node) bool {
		// Endpoints stay reachable: only the links between routers and keepers are cut.
		return (from == victim && to.Role != launcher.Standin) || (to == victim && from.Role != launcher.Standin)
	})
	b.sleep(cutTime)
	b.network.Heal()
	_, err = b.judge(caller.Unknown)
	return err
}
