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
	// longCut is longer than the routers wait for a quorum.
	longCut = 12 * time.Second
	// refusalLimit is how soon a request that may not repeat has its final
	// answer in a zone without a quorum: longer than an election, and short
	// enough for its caller to go elsewhere.
	refusalLimit = 5 * time.Second
)

func networkCells() []cell {
	relays := shape{relays: true}
	return []cell{
		{fault: "zone cut off", step: "under load, then rejoins", shape: relays, run: cutZone},
		{fault: "one-way cut", step: "a zone's messages to the others are lost", shape: relays, run: func(b *bed) error { return cutOneWay(b, true) }},
		{fault: "one-way cut", step: "the others' messages to a zone are lost", shape: relays, run: func(b *bed) error { return cutOneWay(b, false) }},
		{fault: "keeper leader cut silently", step: "claims and changes under way", shape: relays, run: cutLeader},
		{fault: "router cut from its zone", step: "the scheduler, under load", shape: relays, run: cutScheduler},
	}
}

// cutZone: each side goes on serving what it can. The zone without quorum
// refuses what may not repeat as not run, and serves the rest.
func cutZone(b *bed) error {
	b.send(b.everyone(usualRate, b.mix()), longCut+usualTime)
	b.sleep(2 * time.Second)
	b.cutZone(zoneA)
	took, err := b.await(cutTime, "the cut zone's notice that it has no quorum", func() bool { return b.stale(zoneA) })
	if err != nil {
		return err
	}
	b.note("%s knows that it may be stale after %v", zoneA, took.Round(time.Millisecond))
	b.sleep(longCut)
	for _, zone := range []string{zoneA, zoneB} {
		took, err := b.answers(zone, recoverLimit)
		if err != nil {
			return err
		}
		b.note("%s answers during the cut after %v", zone, took.Round(time.Millisecond))
	}
	b.network.Mend()
	if _, err = b.judge(); err != nil {
		return err
	}
	return b.refusedWithoutQuorum()
}

// refusedWithoutQuorum checks that what may not repeat was refused where no
// quorum was reached, and how soon. Without a refusal the cut was none.
func (b *bed) refusedWithoutQuorum() error {
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
	b.note("%d refused for want of a quorum; what may not repeat waited at most %v", refused, longest.Round(time.Millisecond))
	if refused == 0 || longest > refusalLimit {
		return merry.Errorf("%w: %d refused for want of a quorum, and the longest wait was %v, limit %v", ErrCell, refused, longest, refusalLimit)
	}
	return nil
}

// stale tells whether every router of the zone says that its configuration may
// be stale. A cut that no router notices is no cut, and its cell shows nothing.
func (b *bed) stale(zone string) bool {
	for _, router := range b.fleet.In(zone, launcher.Router) {
		var objects reporter.Objects
		if router.Admin(b.ctx, "/admin/objects", &objects) != nil || !objects.Stale {
			return false
		}
	}
	return true
}

// cutOneWay: what one side sends is lost, and it hears the other.
func cutOneWay(b *bed, outward bool) error {
	b.send(b.everyone(usualRate, b.mix()), 2*usualTime)
	b.sleep(2 * time.Second)
	b.cut(func(from, to *launcher.Node) bool {
		if outward {
			return from.Zone == zoneA && to.Zone != zoneA
		}
		return from.Zone != zoneA && to.Zone == zoneA
	})
	b.sleep(cutTime)
	for _, zone := range []string{zoneA, zoneB} {
		if _, err := b.answers(zone, recoverLimit); err != nil {
			return err
		}
	}
	b.network.Mend()
	_, err := b.judge()
	return err
}

// cutLeader: the leader loses everyone without a sign. It steps down within
// its lease; the others go on; what it had not committed is not in force.
func cutLeader(b *bed) error {
	leader, err := b.leader()
	if err != nil {
		return err
	}
	b.send(b.everyone(usualRate, b.onceMix()), 2*usualTime)
	err = b.changing(func() error {
		b.cut(func(from, to *launcher.Node) bool { return from == leader || to == leader })
		b.sleep(cutTime)
		b.network.Mend()
		return nil
	})
	if err != nil {
		return err
	}
	_, err = b.judge()
	return err
}

// cutScheduler: the scheduler's router reaches nobody of the fleet, though its
// callers reach it. The zone gets another scheduler; its own callers get an
// answer or are refused as not run.
func cutScheduler(b *bed) error {
	victim, err := b.scheduler(zoneA, b.deployment.Model)
	if err != nil {
		return err
	}
	b.send(b.everyone(usualRate, b.mix()), 2*usualTime)
	b.sleep(warmUp)
	b.cut(func(from, to *launcher.Node) bool {
		// Endpoints stay reachable: it is the system's own network that is cut.
		return (from == victim && to.Role != launcher.Standin) || (to == victim && from.Role != launcher.Standin)
	})
	b.sleep(cutTime)
	b.network.Mend()
	_, err = b.judge(caller.Unknown)
	return err
}
