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

// Limits on how long after its departure an endpoint may still get new work, by the
// way in which it leaves.
const (
	announcedLimit = time.Second
	drainedLimit   = 2 * time.Second
	silentLimit    = 5 * time.Second // the time to live of its announcements, 3 s, and the wait for the next check
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

// leaveUnderLoad lets an endpoint leave under load, and checks that it got no new
// work later than limit after it left.
func leaveUnderLoad(b *testbed, limit time.Duration, leave func(*launcher.Node) error, allowed ...caller.Ending) error {
	victim, _ := b.fleet.Node("modelli-a2")
	mix := caller.Mix{Stream: 2, Whole: 1, Models: b.deployment.Models, Bound: 48, Prompt: 600}
	b.startLoad(b.allWorkspaces(2*baseRate, mix), 10*time.Second)
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
	before, last := executions.LastReceived(victim.Name, left)
	if before == 0 {
		return merry.Errorf("%w: %s had no work before it left", ErrCell, victim.Name)
	}
	b.addFigure("last new work %v after it left, limit %v", last.Round(time.Millisecond), limit)
	if last > limit {
		return merry.Errorf("%w: %s got new work %v after it left, limit %v", ErrCell, victim.Name, last, limit)
	}
	return nil
}

// leaveAnnounced: the endpoint stops on SIGTERM and announces that it leaves.
func leaveAnnounced(b *testbed) error {
	return leaveUnderLoad(b, announcedLimit, func(victim *launcher.Node) error {
		victim.Process().Terminate()
		return nil
	})
}

// leaveDrained: an operator sets the drain label on the endpoint.
func leaveDrained(b *testbed) error {
	return leaveUnderLoad(b, drainedLimit, func(victim *launcher.Node) error {
		_, err := b.resendUntilAccepted(describer.Change{ID: "drain", Edits: []describer.Edit{{Object: describer.Object{
			Kind: describer.Endpoint, Name: victim.Name, Labels: labeler.Labels{describer.LabelDrain: describer.Yes},
		}}}}, 0)
		return err
	})
}

// leaveSilently: the endpoint stops announcing itself but still answers requests.
func leaveSilently(b *testbed) error {
	return leaveUnderLoad(b, silentLimit, func(victim *launcher.Node) error {
		return b.setFaults(victim, map[string]any{"silent": true})
	})
}

// leaveInAnswers: the endpoint's answers carry the header that it leaves, while its
// announcements still offer it for work.
func leaveInAnswers(b *testbed) error {
	return leaveUnderLoad(b, drainedLimit, func(victim *launcher.Node) error {
		return b.setFaults(victim, map[string]any{"leaving": true})
	})
}

// leaveAndReturn: an endpoint is killed and restarted under its old address. It
// counts as a new endpoint, inherits no state of the old one, and serves requests.
func leaveAndReturn(b *testbed) error {
	victim, _ := b.fleet.Node("modelli-a2")
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), 8*time.Second)
	b.sleep(2 * time.Second)
	victim.Process().Kill()
	b.sleep(200 * time.Millisecond)
	if err := victim.Start(); err != nil {
		return err
	}
	restarted := time.Now()
	if _, err := b.judge(); err != nil {
		return err
	}
	executions, err := inspector.Read(b.fleet)
	if err != nil {
		return err
	}
	served := slices.ContainsFunc(executions.Entries, func(e inspector.Entry) bool {
		return e.Standin == victim.Name && e.At.After(restarted)
	})
	if !served {
		return merry.Errorf("%w: %s got no work after its return", ErrCell, victim.Name)
	}
	return nil
}
