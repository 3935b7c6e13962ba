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

// noResult accompanies an error.
var noResult applier.Result

// MaxChanges bounds the queue of changes that wait for validation.
const MaxChanges = 256

// maxAttempts bounds how often a change is validated again because a change
// proposed by another leader was applied in between.
const maxAttempts = 8

// ChangeDone receives the answer to a change. It is called once.
type ChangeDone func(configurer.Result, error)

// changeQueue holds the changes that wait for validation. One change is
// replicated at a time: the verdict on a change is valid for one revision only,
// and the next change is validated against the resulting configuration.
type changeQueue struct {
	queue    []pendingChange
	inFlight bool
}

// pendingChange is a queued change with the callback for its answer.
type pendingChange struct {
	change   describer.Change
	dryRun   bool
	attempts int // validations after the first
	done     ChangeDone
}

// Change validates a change and replicates it. An error other than ErrUnknown
// means that the change was not accepted. Only the leader answers, even for a
// dry run, because the configuration of a follower may be stale.
func (d *Driver) Change(now time.Time, wanted describer.Change, dryRun bool, done ChangeDone) {
	if err := d.checkLeader(now); err != nil {
		done(configurer.Result{}, err)
		return
	}
	if len(d.changes.queue) >= MaxChanges {
		done(configurer.Result{}, merry.Errorf("%w; ask again later", replicator.ErrBusy))
		return
	}
	d.changes.queue = append(d.changes.queue, pendingChange{change: wanted, dryRun: dryRun, done: done})
}

// checkLeader returns an error if this keeper cannot answer a change: it is not
// the leader, or it is a leader that has lost its quorum.
func (d *Driver) checkLeader(now time.Time) error {
	status := d.Status(now)
	if status.State != replicator.Leader {
		return merry.Errorf("%w; ask the leader", replicator.ErrNotLeader)
	}
	if !status.Quorum && d.caughtUp(status) {
		return merry.Errorf("%w answers; ask again when the network is whole", replicator.ErrNoQuorum)
	}
	return nil
}

// caughtUp reports whether this keeper has applied an entry of the present term,
// and with it everything that earlier leaders committed. Before that, a leader would
// check a change against a configuration that may be stale, and could get a false
// conflict.
func (d *Driver) caughtUp(status replicator.Status) bool {
	term, known := d.node.TermAt(d.applied)
	return known && term == status.Term
}

// proposeNext proposes the first queued change that must be replicated, and
// reports whether it proposed one. Resends, conflicts, invalid changes and dry
// runs are answered without a log entry.
func (c *changeQueue) proposeNext(d *Driver, now time.Time) bool {
	for !c.inFlight && len(c.queue) > 0 {
		if err := d.checkLeader(now); err != nil {
			c.refuseAll(err)
			return false
		}
		if !d.caughtUp(d.Status(now)) {
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
		if c.inFlight {
			return true
		}
	}
	return false
}

// propose replicates a validated change. If the configuration has moved on before
// the change is applied, the change returns to the head of the queue and is
// validated again.
func (c *changeQueue) propose(d *Driver, now time.Time, first pendingChange, verdict configurer.Result) {
	c.inFlight = true
	command := &messenger.Command{Change: &messenger.VerifiedChange{
		Change:   configurer.ChangeToWire(first.change),
		Findings: configurer.FindingsToWire(verdict.Findings),
		Base:     d.state.Configuration().Revision(),
	}}
	d.Propose(now, command, func(result applier.Result, err error) {
		c.inFlight = false
		switch {
		case err != nil:
			first.done(configurer.Result{}, err)
		case result.Change.Outcome != configurer.Moved:
			first.done(result.Change, nil)
		case first.attempts >= maxAttempts:
			first.done(configurer.Result{}, merry.Errorf("%w; ask again later", replicator.ErrBusy))
		default:
			first.attempts++
			c.queue = append([]pendingChange{first}, c.queue...)
		}
	})
}

// refuseAll answers all queued changes with an error.
func (c *changeQueue) refuseAll(err error) {
	refused := c.queue
	c.queue = nil
	for _, pending := range refused {
		pending.done(configurer.Result{}, err)
	}
}
