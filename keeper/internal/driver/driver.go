// Package driver joins a keeper's parts: the agreement, the disk and the
// replicated state.
//
// A Driver has no goroutine and no clock of its own. Its host passes in
// messages, proposals and the time, and calls Flush, which makes everything
// since the last Flush durable with one sync, sends what may then be sent, and
// applies what was committed. So a burst of proposals shares one sync.
//
// Invariants: nothing is acknowledged before it is durable; a command is
// answered by what it led to when it was applied, or by an error that says
// whether it may still be applied; a full disk takes the keeper out of the
// group as a crash would, and never half way.
package driver

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/keeper/internal/lessor"
	"shallotkeel.example/lib/claimer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/recorder"
	"shallotkeel.example/lib/replicator"
)

// ErrUnknown means that a command may or may not be applied later.
var ErrUnknown = merry.Sentinel("it is not known whether the command was accepted")

// Transport sends messages to other keepers. It must not block; messages may
// be lost.
type Transport interface {
	Send(messages []replicator.Message)
}

// Config is what a driver needs to know at its start.
type Config struct {
	Files     recorder.FileSystem
	Limits    recorder.Limits
	Timing    replicator.Timing
	Policy    claimer.Policy
	Transport Transport
	Random    *rand.Rand
	Mint      func() replicator.ID
	// SnapshotEntries and SnapshotBytes are how much may be applied before a new
	// snapshot is taken. Zero values mean the defaults.
	SnapshotEntries int
	SnapshotBytes   int
}

// Defaults of Config.
const (
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 16 << 20
)

// MaxCommand bounds one encoded command, in bytes.
const MaxCommand = 4 << 20

// Done is told what a command led to. It is called once, from within a method
// of the driver, and must not call back into it.
type Done func(applier.Result, error)

// Driver is one keeper without its network. It is not safe for concurrent use.
type Driver struct {
	config  Config
	disk    *recorder.Recorder
	node    *replicator.Node
	state   *applier.State
	waiting map[uint64][]waiter // by index, of one term each
	changes changes
	clock   clock
	leases  lessor.Granter
	moved   time.Time // when the state's clock moved last

	applied     uint64
	sinceFrames int // entries applied since the last snapshot was taken
	sinceBytes  int
	taking      bool // a snapshot is being written
	committed   uint64
	noted       time.Time // when the commit index was written last
	full        bool
	looked      time.Time // when a full disk was looked at last
	counters    Counters
}

// waiter waits for the entry at an index to be applied.
type waiter struct {
	term uint64
	done Done
}

// Counters count since the start.
type Counters struct {
	Syncs     uint64 // batches made durable
	Entries   uint64 // entries made durable
	Applied   uint64 // commands applied
	Snapshots uint64
}

// Open starts a driver from its data folder.
func Open(config Config, now time.Time) (*Driver, error) {
	if config.SnapshotEntries == 0 {
		config.SnapshotEntries = DefaultSnapshotEntries
	}
	if config.SnapshotBytes == 0 {
		config.SnapshotBytes = DefaultSnapshotBytes
	}
	d := &Driver{config: config}
	return d, d.open(now)
}

func (d *Driver) open(now time.Time) error {
	disk, restored, err := recorder.Open(d.config.Files, d.config.Limits, d.config.Mint)
	if err != nil {
		return err
	}
	d.disk = disk
	d.waiting = make(map[uint64][]waiter)
	d.clock = clock{}
	d.noted, d.moved = now, now
	// What has been applied is durable and committed, whatever the disk notes.
	restored.Commit = max(restored.Commit, d.applied)
	if err := d.restore(restored.Snapshot); err != nil {
		return err
	}
	return d.begin(restored, now)
}

func (d *Driver) restore(snapshot replicator.Snapshot) error {
	state, err := applier.Decode(snapshot.State)
	if err != nil {
		return err
	}
	d.state = state
	d.applied = snapshot.Index
	d.sinceFrames, d.sinceBytes = 0, 0
	return nil
}

func (d *Driver) begin(restored replicator.Restored, now time.Time) error {
	node, err := replicator.New(replicator.Config{
		ID: d.disk.Identity(), Timing: d.config.Timing, Random: d.config.Random,
	}, restored, now)
	if err != nil {
		return err
	}
	d.node = node
	d.committed = restored.Commit
	return nil
}

// Close closes the files. Nothing is lost without it.
func (d *Driver) Close() error {
	return d.disk.Close()
}

// Identity names this keeper's disk.
func (d *Driver) Identity() replicator.ID {
	return d.disk.Identity()
}

// Blank tells whether this keeper has never been part of a group.
func (d *Driver) Blank() bool {
	return d.node.Blank()
}

// Status returns the keeper's view of the agreement.
func (d *Driver) Status(now time.Time) replicator.Status {
	status := d.node.Status(now)
	if d.full {
		status.State, status.Leader, status.Quorum = replicator.Follower, 0, false
	}
	return status
}

// Full tells whether the keeper takes no part because its disk is full.
func (d *Driver) Full() bool {
	return d.full
}

// State returns the replicated state for reading.
func (d *Driver) State() *applier.State {
	return d.state
}

// Applied returns the index of the last applied entry.
func (d *Driver) Applied() uint64 {
	return d.applied
}

// DiskBytes returns the size of the log on disk.
func (d *Driver) DiskBytes() int64 {
	return d.disk.Bytes()
}

// Counters returns what was done since the start.
func (d *Driver) Counters() Counters {
	return d.counters
}

// Found makes a blank keeper the first of a group.
func (d *Driver) Found(now time.Time, group replicator.Group) error {
	if !d.node.Blank() {
		return nil
	}
	founding := replicator.Founding(d.disk.Identity(), d.node.Ballot(), group)
	if err := d.disk.Record(&founding.Ballot, founding.Entries, 0); err != nil {
		return err
	}
	return d.begin(founding, now)
}

// Receive takes messages from other keepers.
func (d *Driver) Receive(now time.Time, messages []replicator.Message) {
	if d.full {
		return
	}
	for _, message := range messages {
		d.node.Step(now, message)
	}
}

// Tick lets time pass.
func (d *Driver) Tick(now time.Time) {
	if d.full {
		return
	}
	d.node.Tick(now)
	if status := d.node.Status(now); status.State == replicator.Leader {
		d.clock.read(now, status.Term, d.state.Clock())
	}
}

// Clock estimates the replicated clock.
func (d *Driver) Clock(now time.Time) time.Duration {
	return d.state.Clock() + now.Sub(d.moved)
}

// Join adds a keeper to the group. Done is told when the change is committed.
func (d *Driver) Join(replica replicator.Replica, done Done) {
	if d.full {
		done(noResult, merry.Errorf("%w; ask another keeper", replicator.ErrNotLeader))
		return
	}
	position, err := d.node.Join(replica)
	d.await(position, err, done)
}

// Remove takes a keeper out of the group. Done is told when the change is
// committed.
func (d *Driver) Remove(now time.Time, id replicator.ID, done Done) {
	if d.full {
		done(noResult, merry.Errorf("%w; ask another keeper", replicator.ErrNotLeader))
		return
	}
	position, err := d.node.Remove(now, id)
	d.await(position, err, done)
}

// await tells done what becomes of the entry at a position.
func (d *Driver) await(position replicator.Position, err error, done Done) {
	if err != nil || position.Index <= d.applied {
		done(noResult, err)
		return
	}
	others := d.waiting[position.Index]
	if len(others) > 0 && others[0].term != position.Term {
		// They wait for an entry of an earlier leadership of this keeper. It was
		// replaced, and so it never was nor will be committed.
		d.settle(position.Index, noResult, replaced())
		others = nil
	}
	d.waiting[position.Index] = append(others, waiter{term: position.Term, done: done})
}

// settle answers those who wait for an index.
func (d *Driver) settle(index uint64, result applier.Result, err error) {
	waiting := d.waiting[index]
	delete(d.waiting, index)
	for _, at := range waiting {
		at.done(result, err)
	}
}

func replaced() error {
	return merry.Errorf("%w: the leader changed; ask again", replicator.ErrNotLeader)
}

// Transfer hands leadership over before a planned stop. It returns false if
// there is nothing to hand over.
func (d *Driver) Transfer(now time.Time) bool {
	return !d.full && d.node.Transfer(now)
}

// Propose replicates a command. An error other than ErrUnknown means that it
// was not and never will be accepted.
func (d *Driver) Propose(now time.Time, command *messenger.Command, done Done) {
	if d.full {
		done(noResult, merry.Errorf("%w; ask another keeper", replicator.ErrNotLeader))
		return
	}
	status := d.node.Status(now)
	command.ClockMs = uint64(d.clock.read(now, status.Term, d.state.Clock()) / time.Millisecond)
	command.UnixMs = now.UnixMilli()
	if command.Claim != nil || command.Record != nil {
		command.Policy = applier.PolicyToWire(d.config.Policy)
	}
	data, err := proto.Marshal(command)
	if err == nil && len(data) > MaxCommand {
		err = merry.Errorf("%w: %d bytes are too many; split it", ErrTooLarge, len(data))
	}
	if err != nil {
		done(noResult, err)
		return
	}
	position, err := d.node.Propose(now, [][]byte{data})
	d.await(position, err, done)
}

// ErrTooLarge means that a command was refused because of its size.
var ErrTooLarge = merry.Sentinel("command is too large")

// Flush makes everything since the last Flush durable, sends, and applies. An
// error means that the keeper must stop.
func (d *Driver) Flush(now time.Time) error {
	if d.full {
		// Once there is room, everything known to be committed is applied again
		// before anyone can look at the state.
		if err := d.resume(now); err != nil || d.full {
			return err
		}
	}
	for {
		actions := d.node.Actions(now)
		if actions.Fault != nil {
			return actions.Fault
		}
		if actions.Empty() {
			if d.changes.next(d, now) {
				continue
			}
			return d.noteCommit(now)
		}
		err := d.carryOut(now, actions)
		if errors.Is(err, recorder.ErrFull) {
			d.leave(now)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (d *Driver) carryOut(now time.Time, actions replicator.Actions) error {
	if err := d.sendEarly(actions.Early); err != nil {
		return err
	}
	if actions.Install != nil {
		if err := d.install(*actions.Install); err != nil {
			return err
		}
	}
	if actions.Ballot != nil || len(actions.Entries) > 0 {
		if err := d.disk.Record(actions.Ballot, actions.Entries, d.committed); err != nil {
			return err
		}
		d.noted = now
		d.counters.Syncs++
		d.counters.Entries += uint64(len(actions.Entries))
	}
	d.node.Synced(now)
	if len(actions.Messages) > 0 {
		d.config.Transport.Send(actions.Messages)
	}
	return d.apply(now, actions.Committed)
}

// sendEarly attaches the snapshot on disk to installations: the node knows only
// that one is needed.
func (d *Driver) sendEarly(messages []replicator.Message) error {
	for i, message := range messages {
		if message.Kind != replicator.Install {
			continue
		}
		snapshot, err := d.disk.ReadSnapshot()
		if err != nil {
			return err
		}
		messages[i].Snapshot = &snapshot
	}
	if len(messages) > 0 {
		d.config.Transport.Send(messages)
	}
	return nil
}

// install replaces the whole state by a leader's snapshot.
func (d *Driver) install(snapshot replicator.Snapshot) error {
	if err := d.disk.WriteSnapshot(snapshot); err != nil {
		return err
	}
	if err := d.disk.ResetLog(snapshot.Position); err != nil {
		return err
	}
	for index := range d.waiting {
		if index <= snapshot.Index {
			d.settle(index, noResult, unknown())
		}
	}
	return d.restore(snapshot)
}

func unknown() error {
	return merry.Errorf("%w: the leader changed meanwhile; send it again with the same id", ErrUnknown)
}

// apply carries out committed entries and answers those who wait for them.
func (d *Driver) apply(now time.Time, entries []replicator.Entry) error {
	before := d.state.Clock()
	defer func() {
		if d.state.Clock() != before {
			d.moved = now
		}
	}()
	for _, entry := range entries {
		var result applier.Result
		if entry.Kind == replicator.Command {
			var err error
			if result, err = d.state.Apply(entry.Data); err != nil {
				return err
			}
			d.counters.Applied++
		}
		d.applied = entry.Index
		d.committed = entry.Index
		d.sinceFrames++
		d.sinceBytes += len(entry.Data)
		d.answer(entry, result)
	}
	return nil
}

func (d *Driver) answer(entry replicator.Entry, result applier.Result) {
	waiting := d.waiting[entry.Index]
	if len(waiting) > 0 && waiting[0].term != entry.Term {
		d.settle(entry.Index, noResult, replaced())
		return
	}
	d.settle(entry.Index, result, nil)
}

// commitPause is the longest time that a commit stays unwritten on an idle keeper.
const commitPause = time.Second

// noteCommit writes the commit index once nothing else does, so that a keeper
// that restarts without a quorum can show the latest configuration that it had
// seen accepted.
func (d *Driver) noteCommit(now time.Time) error {
	if d.committed <= d.disk.Commit() || now.Sub(d.noted) < commitPause {
		return nil
	}
	d.noted = now
	err := d.disk.Record(nil, nil, d.committed)
	if errors.Is(err, recorder.ErrFull) {
		return nil
	}
	return err
}
