package driver

import (
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

var noResult applier.Result

// MaxChanges bounds the changes that wait to be validated.
const MaxChanges = 256

// maxAttempts bounds how often a change is validated anew because another
// leader's came in between.
const maxAttempts = 8

// ChangeDone is told the answer to a change, once.
type ChangeDone func(configurer.Result, error)

// changes is the queue of changes. One is replicated at a time: its verdict
// holds for one revision only, and the next one is validated on its outcome.
type changes struct {
	queue  []change
	flying bool
}

type change struct {
	change   describer.Change
	dryRun   bool
	attempts int
	done     ChangeDone
}

// Change validates a change and replicates it. An error other than ErrUnknown
// means that it was not accepted. Only the leader answers, also for a dry run,
// because another keeper's configuration may be old.
func (d *Driver) Change(now time.Time, wanted describer.Change, dryRun bool, done ChangeDone) {
	if err := d.leads(now); err != nil {
		done(configurer.Result{}, err)
		return
	}
	if len(d.changes.queue) >= MaxChanges {
		done(configurer.Result{}, merry.Errorf("%w; ask again later", replicator.ErrBusy))
		return
	}
	d.changes.queue = append(d.changes.queue, change{change: wanted, dryRun: dryRun, done: done})
}

// leads tells why this keeper cannot answer a change.
func (d *Driver) leads(now time.Time) error {
	status := d.Status(now)
	if status.State != replicator.Leader {
		return merry.Errorf("%w; ask the leader", replicator.ErrNotLeader)
	}
	if !status.Quorum && d.settled(status) {
		return merry.Errorf("%w answers; ask again when the network is whole", replicator.ErrNoQuorum)
	}
	return nil
}

// settled tells whether everything that earlier leaders committed has been
// applied here. Before that a change would be checked on a configuration that
// may be old, and be answered with a conflict that is none.
func (d *Driver) settled(status replicator.Status) bool {
	term, known := d.node.TermAt(d.applied)
	return known && term == status.Term
}

// next proposes the first change that needs a place in the log, and tells
// whether it did. Resends, conflicts and invalid changes are answered at once.
func (c *changes) next(d *Driver, now time.Time) bool {
	for !c.flying && len(c.queue) > 0 {
		if err := d.leads(now); err != nil {
			c.refuse(err)
			return false
		}
		if !d.settled(d.Status(now)) {
			return false
		}
		first := c.queue[0]
		c.queue = c.queue[1:]
		verdict := d.state.Configuration().Check(first.change)
		if first.dryRun || verdict.Outcome != configurer.Accepted || verdict.Resent {
			first.done(verdict, nil)
			continue
		}
		c.propose(d, now, first, verdict)
		if c.flying {
			return true
		}
	}
	return false
}

func (c *changes) propose(d *Driver, now time.Time, first change, verdict configurer.Result) {
	c.flying = true
	command := &messenger.Command{Change: &messenger.VerifiedChange{
		Change:   configurer.ChangeToWire(first.change),
		Findings: configurer.FindingsToWire(verdict.Findings),
		Base:     d.state.Configuration().Revision(),
	}}
	d.Propose(now, command, func(result applier.Result, err error) {
		c.flying = false
		switch {
		case err != nil:
			first.done(configurer.Result{}, err)
		case result.Change.Outcome != configurer.Moved:
			first.done(result.Change, nil)
		case first.attempts >= maxAttempts:
			first.done(configurer.Result{}, merry.Errorf("%w; ask again later", replicator.ErrBusy))
		default:
			first.attempts++
			c.queue = append([]change{first}, c.queue...)
		}
	})
}

// refuse answers every change that waits.
func (c *changes) refuse(err error) {
	waiting := c.queue
	c.queue = nil
	for _, at := range waiting {
		at.done(configurer.Result{}, err)
	}
}
