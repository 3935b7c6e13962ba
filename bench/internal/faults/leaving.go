package faults

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/inspector"
	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
)

// Limits after which an endpoint that leaves gets no new work.
const (
	announcedLimit = time.Second
	drainedLimit   = 2 * time.Second
	silentLimit    = 5 * time.Second // its time to live of 3 s, and the wait for the next look
)

func leavingCells() []cell {
	return []cell{
		{fault: "endpoint leaves", step: "announced", run: leaveAnnounced},
		{fault: "endpoint leaves", step: "drained by label", run: leaveDrained},
		{fault: "endpoint leaves", step: "silently, still answering", run: leaveSilently},
		{fault: "endpoint leaves", step: "told in answers alone", run: leaveInAnswers},
		{fault: "endpoint leaves", step: "killed, back under the old address", run: leaveAndReturn},
	}
}

// leaving runs a load over an endpoint that leaves by some way, and checks
// when its last new work came.
func leaving(b *bed, limit time.Duration, leave func(*launcher.Node) error, allowed ...caller.Ending) error {
	victim, _ := b.fleet.Node("modelli-a2")
	mix := caller.Mix{Stream: 2, Whole: 1, Models: b.deployment.Models, Bound: 48, Prompt: 600}
	b.send(b.everyone(2*usualRate, mix), 10*time.Second)
	b.sleep(2 * time.Second)
	left := time.Now()
	if err := leave(victim); err != nil {
		return err
	}
	if _, err := b.judge(allowed...); err != nil {
		return err
	}
	executions, err := inspector.Read(b.fleet)
	if err != nil {
		return err
	}
	before, last := executions.LastWork(victim.Name, left)
	if before == 0 {
		return merry.Errorf("%w: %s had no work before it left", ErrCell, victim.Name)
	}
	b.note("last new work %v after it left, limit %v", last.Round(time.Millisecond), limit)
	if last > limit {
		return merry.Errorf("%w: %s got new work %v after it left, limit %v", ErrCell, victim.Name, last, limit)
	}
	return nil
}

func leaveAnnounced(b *bed) error {
	return leaving(b, announcedLimit, func(victim *launcher.Node) error {
		victim.Process().Terminate()
		return nil
	})
}

func leaveDrained(b *bed) error {
	return leaving(b, drainedLimit, func(victim *launcher.Node) error {
		_, err := b.settle(describer.Change{ID: "drain", Edits: []describer.Edit{{Object: describer.Object{
			Kind: describer.Endpoint, Name: victim.Name, Labels: labeler.Labels{describer.LabelDrain: describer.Yes},
		}}}}, 0)
		return err
	})
}

func leaveSilently(b *bed) error {
	return leaving(b, silentLimit, func(victim *launcher.Node) error {
		return b.fault(victim, map[string]any{"silent": true})
	})
}

// leaveInAnswers: the endpoint says that it leaves in its answers, and its announcements say
// that it takes work.
func leaveInAnswers(b *bed) error {
	return leaving(b, drainedLimit, func(victim *launcher.Node) error {
		return b.fault(victim, map[string]any{"leaving": true})
	})
}

// leaveAndReturn: the endpoint that comes back under the old address is a new
// one. Nothing is owed to it, and it serves.
func leaveAndReturn(b *bed) error {
	victim, _ := b.fleet.Node("modelli-a2")
	b.send(b.everyone(usualRate, b.mix()), 8*time.Second)
	b.sleep(2 * time.Second)
	victim.Process().Kill()
	b.sleep(200 * time.Millisecond)
	if err := victim.Start(); err != nil {
		return err
	}
	back := time.Now()
	if _, err := b.judge(); err != nil {
		return err
	}
	executions, err := inspector.Read(b.fleet)
	if err != nil {
		return err
	}
	served := slices.ContainsFunc(executions.Entries, func(e inspector.Entry) bool {
		return e.Standin == victim.Name && e.At.After(back)
	})
	if !served {
		return merry.Errorf("%w: %s got no work after its return", ErrCell, victim.Name)
	}
	return nil
}
