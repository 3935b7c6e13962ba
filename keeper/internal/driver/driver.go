// Package driver connects the Raft node of a keeper to its disk and to the
// replicated state.
//
// A Driver has no goroutine and no clock of its own. The caller passes in
// messages, proposals and the time, and calls Flush. Flush makes everything
// since the last Flush durable with one sync, sends the messages that depended
// on the sync, and applies the committed entries. A burst of proposals thus
// shares one sync.
//
// Invariants: nothing is acknowledged before it is durable; a command is
// answered with the result of applying it, or with an error that says whether
// it may still be applied; a full disk suspends the keeper completely, which
// its peers see as a crash.
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

// ErrUnknown means that a command may still be applied, or may never be.
var ErrUnknown = merry.Sentinel("it is not known whether the command was accepted")

// Transport sends messages to the peers. Send must not block; messages may be
// lost.
type Transport interface {
	Send(messages []replicator.Message)
}

// Config configures a driver.
type Config struct {
	Files     recorder.FileSystem
	Limits    recorder.Limits
	Timing    replicator.Timing
	Policy    claimer.Policy
	Transport Transport
	Random    *rand.Rand
	NewID     func() replicator.ID // returns a random ID for a new disk
	// SnapshotEntries and SnapshotBytes are the numbers of applied entries and of
	// their bytes after which a new snapshot is taken, whichever is reached first.
	// Zero means the default.
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

// Done receives the result of a command, or an error. It is called once, from
// within a method of the driver, and must not call the driver.
type Done func(applier.Result, error)

// Driver is a keeper without its network and timers. It is not safe for concurrent use.
type Driver struct {
	config        Config
	disk          *recorder.Recorder
	node          *replicator.Node
	state         *applier.State
	waiting       map[uint64][]waiter // by log index; the waiters of an index share one term
	changes       changeQueue
	clock         clock
	leases        lessor.Granter
	clockAdvanced time.Time // when the replicated clock last advanced

	applied              uint64 // index of the last applied entry
	entriesSinceSnapshot int    // applied since the last snapshot was taken
	bytesSinceSnapshot   int
	writingSnapshot      bool      // a snapshot is being written
	commitIndex          uint64    // highest index known to be committed
	commitWritten        time.Time // when the commit index was last written to disk
	diskFull             bool
	diskChecked          time.Time // when the space on a full disk was last checked
	counters             Counters
}

// waiter is a caller that waits until the entry at an index has been applied.
type waiter struct {
	term uint64
	done Done
}

// Counters count events since the driver was opened.
type Counters struct {
	Syncs     uint64 // batches made durable
	Entries   uint64 // entries made durable
	Applied   uint64 // commands applied
	Snapshots uint64
}

// Open restores a driver from the files of its data folder.
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

// open restores the driver from the disk. It also serves to reopen a driver whose
// disk was full.
func (d *Driver) open(now time.Time) error {
	disk, restored, err := recorder.Open(d.config.Files, d.config.Limits, d.config.NewID)
	if err != nil {
		return err
	}
	d.disk = disk
	d.waiting = make(map[uint64][]waiter)
	d.clock = clock{}
	d.commitWritten, d.clockAdvanced = now, now
	// Applied entries are committed and durable, even if the commit index on disk
	// is lower.
	restored.Commit = max(restored.Commit, d.applied)
	if err := d.restore(restored.Snapshot); err != nil {
		return err
	}
	return d.startNode(restored, now)
}

// restore replaces the state by that of a snapshot.
func (d *Driver) restore(snapshot replicator.Snapshot) error {
	state, err := applier.Decode(snapshot.State)
	if err != nil {
		return err
	}
	d.state = state
	d.applied = snapshot.Index
	d.entriesSinceSnapshot, d.bytesSinceSnapshot = 0, 0
	return nil
}

// startNode creates the Raft node from what the disk has restored.
func (d *Driver) startNode(restored replicator.Restored, now time.Time) error {
	node, err := replicator.New(replicator.Config{
		ID: d.disk.Identity(), Timing: d.config.Timing, Random: d.config.Random,
	}, restored, now)
	if err != nil {
		return err
	}
	d.node = node
	d.commitIndex = restored.Commit
	return nil
}

// Close closes the files. Acknowledged data is durable without it.
func (d *Driver) Close() error {
	return d.disk.Close()
}

// Identity returns the ID of this keeper's disk.
func (d *Driver) Identity() replicator.ID {
	return d.disk.Identity()
}

// Blank reports whether this keeper has never been a member of a group.
func (d *Driver) Blank() bool {
	return d.node.Blank()
}

// Status returns the status of the Raft node. A keeper with a full disk reports
// itself as a follower without leader and quorum.
func (d *Driver) Status(now time.Time) replicator.Status {
	status := d.node.Status(now)
	if d.diskFull {
		status.State, status.Leader, status.Quorum = replicator.Follower, 0, false
	}
	return status
}

// Current reports whether this keeper is in contact with a quorum and has applied
// everything that it knows the group to have committed. A keeper that has just
// started hears its leader before it has the entries that it missed; its state is
// then as old as that of a keeper that is cut off.
func (d *Driver) Current(now time.Time) bool {
	status := d.Status(now)
	return status.Quorum && d.caughtUp(status) && d.applied >= status.Announced
}

// DiskFull reports whether the keeper is suspended because its disk is full.
func (d *Driver) DiskFull() bool {
	return d.diskFull
}

// State returns the replicated state. It is read-only for the caller.
func (d *Driver) State() *applier.State {
	return d.state
}

// Applied returns the index of the last applied entry.
func (d *Driver) Applied() uint64 {
	return d.applied
}

// DiskBytes returns the size of the log on disk, in bytes.
func (d *Driver) DiskBytes() int64 {
	return d.disk.Bytes()
}

// Counters returns the counters since the driver was opened.
func (d *Driver) Counters() Counters {
	return d.counters
}

// Bootstrap founds a group on a blank keeper. On any other keeper it does
// nothing.
func (d *Driver) Bootstrap(now time.Time, group replicator.Group) error {
	if !d.node.Blank() {
		return nil
	}
	founding := replicator.Founding(d.disk.Identity(), d.node.Ballot(), group)
	if err := d.disk.Record(&founding.Ballot, founding.Entries, 0); err != nil {
		return err
	}
	return d.startNode(founding, now)
}

// Receive processes messages from the peers.
func (d *Driver) Receive(now time.Time, messages []replicator.Message) {
	if d.diskFull {
		return
	}
	for _, message := range messages {
		d.node.Step(now, message)
	}
}

// Tick advances the timers of the Raft node and, on a leader, the replicated
// clock.
func (d *Driver) Tick(now time.Time) {
	if d.diskFull {
		return
	}
	d.node.Tick(now)
	if status := d.node.Status(now); status.State == replicator.Leader {
		d.clock.read(now, status.Term, d.state.Clock())
	}
}

// Clock extrapolates the replicated clock from the time of its last advance.
func (d *Driver) Clock(now time.Time) time.Duration {
	return d.state.Clock() + now.Sub(d.clockAdvanced)
}

// Join adds a keeper to the group. Done is called when the membership change is
// committed, or with an error.
func (d *Driver) Join(replica replicator.Replica, done Done) {
	if d.diskFull {
		done(noResult, merry.Errorf("%w; ask another keeper", replicator.ErrNotLeader))
		return
	}
	position, err := d.node.Join(replica)
	d.addWaiter(position, err, done)
}

// Remove removes a keeper from the group. Done is called when the membership
// change is committed, or with an error.
func (d *Driver) Remove(now time.Time, id replicator.ID, done Done) {
	if d.diskFull {
		done(noResult, merry.Errorf("%w; ask another keeper", replicator.ErrNotLeader))
		return
	}
	position, err := d.node.Remove(now, id)
	d.addWaiter(position, err, done)
}

// addWaiter registers done for the entry at a position, or calls it at once if
// there is an error or the entry has been applied already.
func (d *Driver) addWaiter(position replicator.Position, err error, done Done) {
	if err != nil || position.Index <= d.applied {
		done(noResult, err)
		return
	}
	waiters := d.waiting[position.Index]
	if len(waiters) > 0 && waiters[0].term != position.Term {
		// The earlier waiters belong to an entry from a previous term in which this
		// keeper led. That entry was overwritten, so it has not been committed and
		// never will be.
		d.answerWaiters(position.Index, noResult, replacedError())
		waiters = nil
	}
	d.waiting[position.Index] = append(waiters, waiter{term: position.Term, done: done})
}

// answerWaiters calls all waiters of an index with a result or an error, and
// removes them.
func (d *Driver) answerWaiters(index uint64, result applier.Result, err error) {
	waiters := d.waiting[index]
	delete(d.waiting, index)
	for _, w := range waiters {
		w.done(result, err)
	}
}

// replacedError is the answer for an entry that another leader has overwritten:
// it will never be committed.
func replacedError() error {
	return merry.Errorf("%w: the leader changed; ask again", replicator.ErrNotLeader)
}

// Transfer starts a transfer of the leadership, before a planned stop. It
// returns false if no transfer was started.
func (d *Driver) Transfer(now time.Time) bool {
	return !d.diskFull && d.node.Transfer(now)
}

// Propose replicates a command. An error other than ErrUnknown means that the
// command has not been applied and never will be.
func (d *Driver) Propose(now time.Time, command *messenger.Command, done Done) {
	if d.diskFull {
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
	d.addWaiter(position, err, done)
}

// ErrTooLarge means that an encoded command exceeds MaxCommand.
var ErrTooLarge = merry.Sentinel("command is too large")

// Flush makes everything since the last Flush durable, sends the messages that
// are ready, and applies committed entries. An error means that the keeper must
// stop.
func (d *Driver) Flush(now time.Time) error {
	if d.diskFull {
		// Once the disk has space, everything known to be committed is applied again
		// before the state can be read.
		if err := d.resume(now); err != nil || d.diskFull {
			return err
		}
	}
	for {
		actions := d.node.Actions(now)
		if actions.Fault != nil {
			return actions.Fault
		}
		if actions.Empty() {
			if d.changes.proposeNext(d, now) {
				continue
			}
			return d.writeCommitIndex(now)
		}
		err := d.execute(now, actions)
		if errors.Is(err, recorder.ErrFull) {
			d.suspend(now)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// execute carries out the actions that the Raft node asks for, in the order
// that durability requires: messages that need no sync, the installation of a
// snapshot, the sync, messages that depend on it, and committed entries.
func (d *Driver) execute(now time.Time, actions replicator.Actions) error {
	if err := d.sendEarly(actions.Early); err != nil {
		return err
	}
	if actions.Install != nil {
		if err := d.install(*actions.Install); err != nil {
			return err
		}
	}
	if actions.Ballot != nil || len(actions.Entries) > 0 {
		if err := d.disk.Record(actions.Ballot, actions.Entries, d.commitIndex); err != nil {
			return err
		}
		d.commitWritten = now
		d.counters.Syncs++
		d.counters.Entries += uint64(len(actions.Entries))
	}
	d.node.Synced(now)
	if len(actions.Messages) > 0 {
		d.config.Transport.Send(actions.Messages)
	}
	return d.apply(now, actions.Committed)
}

// sendEarly sends the messages that need no sync. It attaches the snapshot on
// disk to Install messages, because the node holds no snapshot data.
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

// install replaces the log and the state with a snapshot from the leader.
// Waiters for entries that the snapshot covers get ErrUnknown.
func (d *Driver) install(snapshot replicator.Snapshot) error {
	if err := d.disk.WriteSnapshot(snapshot); err != nil {
		return err
	}
	if err := d.disk.ResetLog(snapshot.Position); err != nil {
		return err
	}
	for index := range d.waiting {
		if index <= snapshot.Index {
			d.answerWaiters(index, noResult, unknownError())
		}
	}
	return d.restore(snapshot)
}

// unknownError is the answer for an entry that may be committed or lost: this keeper
// cannot determine which.
func unknownError() error {
	return merry.Errorf("%w: the leader changed meanwhile; send it again with the same id", ErrUnknown)
}

// apply applies committed entries to the state and answers their waiters.
func (d *Driver) apply(now time.Time, entries []replicator.Entry) error {
	before := d.state.Clock()
	defer func() {
		if d.state.Clock() != before {
			d.clockAdvanced = now
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
		d.commitIndex = entry.Index
		d.entriesSinceSnapshot++
		d.bytesSinceSnapshot += len(entry.Data)
		d.answer(entry, result)
	}
	return nil
}

// answer answers the waiters of an applied entry. If the entry comes from
// another term than theirs, their own entry was overwritten.
func (d *Driver) answer(entry replicator.Entry, result applier.Result) {
	waiters := d.waiting[entry.Index]
	if len(waiters) > 0 && waiters[0].term != entry.Term {
		d.answerWaiters(entry.Index, noResult, replacedError())
		return
	}
	d.answerWaiters(entry.Index, result, nil)
}

// commitWriteInterval is the longest time for which an idle keeper leaves an
// advanced commit index unwritten.
const commitWriteInterval = time.Second

// writeCommitIndex writes the commit index to disk if no other write has done
// so. A keeper that restarts without a quorum can then serve the latest
// configuration that it knew to be committed. A full disk is no error here: the
// commit index on disk is only a lower bound.
func (d *Driver) writeCommitIndex(now time.Time) error {
	if d.commitIndex <= d.disk.Commit() || now.Sub(d.commitWritten) < commitWriteInterval {
		return nil
	}
	d.commitWritten = now
	err := d.disk.Record(nil, nil, d.commitIndex)
	if errors.Is(err, recorder.ErrFull) {
		return nil
	}
	return err
}
