package replicator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/claimer"
	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

const (
	heartbeat = 50 * time.Millisecond
	election  = 300 * time.Millisecond
	// longestDelay of a message is beyond the election timeout, so that answers
	// arrive when no one waits for them any more.
	longestDelay = 400 * time.Millisecond
	windowOfKeys = time.Hour
)

// disk is what a crash leaves.
type disk struct {
	ballot   replicator.Ballot
	snapshot replicator.Snapshot
	entries  []replicator.Entry
}

func (d *disk) record(ballot *replicator.Ballot, entries []replicator.Entry) {
	if ballot != nil {
		d.ballot = *ballot
	}
	for _, entry := range entries {
		keep := entry.Index - d.snapshot.Index - 1
		d.entries = append(d.entries[:keep:keep], entry)
	}
}

func (d *disk) last() uint64 {
	return d.snapshot.Index + uint64(len(d.entries))
}

// machine is the replicated state, as a keeper has it.
type machine struct {
	configuration *configurer.Machine
	claims        *claimer.Machine
}

func (m *machine) encode() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&messenger.KeeperState{
		Configuration: m.configuration.Encode(), Claims: m.claims.Encode(),
	})
	if err != nil {
		panic(err)
	}
	return data
}

func decodeMachine(data []byte) *machine {
	var state messenger.KeeperState
	if err := proto.Unmarshal(data, &state); err != nil {
		panic(err)
	}
	return &machine{
		configuration: configurer.Decode(state.GetConfiguration()), claims: claimer.Decode(state.GetClaims()),
	}
}

// member is one keeper of the walk.
type member struct {
	id      replicator.ID
	name    string
	disk    *disk
	node    *replicator.Node // nil while it is down
	state   *machine
	applied uint64
	waiting map[uint64]pending
	// snapshotEvery differs between members, so that they compact differently.
	snapshotEvery int
	since         int
	frozen        bool
}

// pending is a proposal whose answer the client still waits for.
type pending struct {
	term    uint64
	command *messenger.Command
}

type packet struct {
	message replicator.Message
	due     time.Time
}

// world is a whole group, its network and its clients, driven by one seed.
type world struct {
	random  *rand.Rand
	now     time.Time
	members map[replicator.ID]*member
	network []packet
	cut     map[[2]replicator.ID]bool // one way
	nextID  replicator.ID
	lossy   bool
	retire  time.Duration // of silent voters, 0 for none
	problem error

	leaders   map[uint64]replicator.ID    // by term
	committed map[uint64]replicator.Entry // by index
	granted   map[string]string           // owner by key
	accepted  map[string]uint64           // revision by change id, as answered
	reached   map[replicator.ID]uint64    // highest revision in one life
	next      int                         // numbers clients' commands
	lost      map[replicator.ID]bool      // disks that are gone for good

	group      replicator.Group // the last committed membership
	groupIndex uint64
}

func newWorld(seed uint64, size int) *world {
	return newRetiringWorld(seed, size, 0)
}

// newRetiringWorld is a world whose leaders remove voters that are silent for so
// long.
func newRetiringWorld(seed uint64, size int, retire time.Duration) *world {
	w := &world{
		retire: retire,
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0),
		members: make(map[replicator.ID]*member), cut: make(map[[2]replicator.ID]bool), lossy: true,
		leaders: make(map[uint64]replicator.ID), committed: make(map[uint64]replicator.Entry),
		granted: make(map[string]string), accepted: make(map[string]uint64),
		reached: make(map[replicator.ID]uint64), lost: make(map[replicator.ID]bool),
	}
	var group replicator.Group
	for i := range size {
		m := w.add(fmt.Sprintf("keeper-%d", i+1))
		group = append(group, replicator.Replica{ID: m.id, Name: m.name, Role: replicator.Voter})
	}
	founding := replicator.Founding(1, replicator.Ballot{}, group)
	w.group, w.groupIndex = group, 1
	w.members[1].disk.record(&founding.Ballot, founding.Entries)
	for _, id := range w.ids() {
		w.start(w.members[id])
	}
	return w
}

func (w *world) fail(format string, values ...any) {
	if w.problem == nil {
		w.problem = fmt.Errorf(format, values...)
	}
}

func (w *world) ids() []replicator.ID {
	return slices.Sorted(maps.Keys(w.members))
}

func (w *world) pick() *member {
	ids := w.ids()
	return w.members[ids[w.random.IntN(len(ids))]]
}

// add makes a member with an empty disk, not started.
func (w *world) add(name string) *member {
	w.nextID++
	m := &member{id: w.nextID, name: name, disk: &disk{}, snapshotEvery: 5 + w.random.IntN(40)}
	w.members[m.id] = m
	return m
}

func (w *world) start(m *member) {
	node, err := replicator.New(replicator.Config{
		ID: m.id, Timing: replicator.Timing{Heartbeat: heartbeat, Election: election, Retire: w.retire},
		Limits: replicator.Limits{BatchEntries: 3, Window: 8, TrailingBytes: 400},
		Random: rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	}, replicator.Restored{
		Ballot: m.disk.ballot, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries),
	}, w.now)
	if err != nil {
		w.fail("start of %d: %w", m.id, err)
		return
	}
	m.node = node
	m.state = decodeMachine(m.disk.snapshot.State)
	m.applied = m.disk.snapshot.Index
	m.waiting = make(map[uint64]pending)
	m.since = 0
	w.reached[m.id] = 0
}

func (w *world) crash(m *member) {
	m.node = nil
	m.waiting = nil
}

// flush carries out what a node wants, and may crash it at every step.
func (w *world) flush(m *member) {
	for m.node != nil && w.problem == nil {
		actions := m.node.Actions(w.now)
		if actions.Fault != nil {
			w.fail("fault at %d: %w", m.id, actions.Fault)
			return
		}
		if actions.Empty() {
			return
		}
		w.sendAll(m, actions.Early)
		if w.crashes(m) {
			return
		}
		if actions.Install != nil {
			m.disk.snapshot = *actions.Install
			m.disk.entries = nil
			m.state = decodeMachine(actions.Install.State)
			m.applied = actions.Install.Index
		}
		m.disk.record(actions.Ballot, actions.Entries)
		if w.crashes(m) {
			return
		}
		m.node.Synced(w.now)
		w.sendAll(m, actions.Messages)
		w.apply(m, actions.Committed)
		w.watch(m)
	}
}

func (w *world) crashes(m *member) bool {
	if !w.lossy || w.random.IntN(400) > 0 {
		return false
	}
	w.crash(m)
	return true
}

func (w *world) sendAll(from *member, messages []replicator.Message) {
	for _, message := range messages {
		if message.Kind == replicator.Install {
			snapshot := from.disk.snapshot
			message.Snapshot = &snapshot
		}
		w.send(message)
		if w.lossy && w.random.IntN(20) == 0 {
			w.send(message)
		}
	}
}

func (w *world) send(message replicator.Message) {
	if w.cut[[2]replicator.ID{message.From, message.To}] {
		return
	}
	if w.lossy && w.random.IntN(30) == 0 {
		return
	}
	delay := time.Duration(w.random.Int64N(int64(5 * time.Millisecond)))
	if w.lossy && w.random.IntN(20) == 0 {
		delay = time.Duration(w.random.Int64N(int64(longestDelay)))
	}
	if w.random.IntN(10) == 0 {
		decoded, err := replicator.DecodeMessages(replicator.EncodeMessages([]replicator.Message{message}))
		if err != nil {
			w.fail("codec: %w", err)
			return
		}
		message = decoded[0]
	}
	w.network = append(w.network, packet{message: message, due: w.now.Add(delay)})
}

// pass lets time go by and delivers what is due, in any order.
func (w *world) pass(step time.Duration) {
	w.now = w.now.Add(step)
	var due, later []packet
	for _, at := range w.network {
		to, found := w.members[at.message.To]
		if at.due.After(w.now) || (found && to.frozen) {
			later = append(later, at)
			continue
		}
		due = append(due, at)
	}
	w.network = later
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, at := range due {
		to, found := w.members[at.message.To]
		if found && to.node != nil && !w.cut[[2]replicator.ID{at.message.From, at.message.To}] {
			to.node.Step(w.now, at.message)
		}
	}
	for _, id := range w.ids() {
		m := w.members[id]
		if m.node != nil && !m.frozen {
			m.node.Tick(w.now)
			w.flush(m)
		}
	}
}

func (w *world) apply(m *member, entries []replicator.Entry) {
	for _, entry := range entries {
		w.check(m, entry)
		m.applied = entry.Index
		m.since++
		if entry.Kind == replicator.Command {
			w.applyCommand(m, entry)
		}
	}
	if m.since >= m.snapshotEvery {
		w.snapshot(m)
	}
}

// check compares a committed entry with what every other member has seen there.
func (w *world) check(m *member, entry replicator.Entry) {
	if entry.Index != m.applied+1 {
		w.fail("member %d applied entry %d after %d", m.id, entry.Index, m.applied)
	}
	known, found := w.committed[entry.Index]
	if found && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		w.fail("entry %d was committed in term %d and again otherwise in term %d", entry.Index, known.Term, entry.Term)
	}
	w.committed[entry.Index] = entry
	if entry.Kind == replicator.Membership && entry.Index > w.groupIndex {
		w.group, w.groupIndex = w.decode(entry), entry.Index
	}
}

func (w *world) decode(entry replicator.Entry) replicator.Group {
	group, err := replicator.DecodeGroup(entry.Data)
	if err != nil {
		w.fail("membership: %w", err)
	}
	return group
}

func (w *world) applyCommand(m *member, entry replicator.Entry) {
	var command messenger.Command
	if err := proto.Unmarshal(entry.Data, &command); err != nil {
		w.fail("command: %w", err)
		return
	}
	waiting, waits := m.waiting[entry.Index]
	delete(m.waiting, entry.Index)
	waits = waits && waiting.term == entry.Term
	if claim := command.GetClaim(); claim != nil {
		results := m.state.claims.Claim(0, claimer.Policy{Window: windowOfKeys}, claim.GetClaims())
		if waits && results[0].GetOutcome() == messenger.ClaimOutcome_CLAIM_GRANTED {
			w.grant(claim.GetClaims()[0])
		}
	}
	if verified := command.GetChange(); verified != nil {
		result := m.state.configuration.Apply(
			configurer.ChangeFromWire(verified.GetChange()), nil, verified.GetBase(), time.Unix(0, 0))
		if waits && result.Outcome == configurer.Accepted {
			w.accept(verified.GetChange().GetChange(), result)
		}
	}
}

// grant notes an answer that a client got.
func (w *world) grant(entry *messenger.ClaimEntry) {
	owner, found := w.granted[entry.GetKey()]
	if found && owner != entry.GetOwner() {
		w.fail("key %s was granted to %s and to %s", entry.GetKey(), owner, entry.GetOwner())
	}
	w.granted[entry.GetKey()] = entry.GetOwner()
}

func (w *world) accept(id string, result configurer.Result) {
	revision, found := w.accepted[id]
	if found && revision != result.Revision {
		w.fail("change %s was accepted as revision %d and as %d", id, revision, result.Revision)
	}
	w.accepted[id] = result.Revision
}

func (w *world) snapshot(m *member) {
	term, known := m.node.TermAt(m.applied)
	if !known {
		w.fail("member %d does not know the term of applied entry %d", m.id, m.applied)
		return
	}
	m.since = 0
	position := replicator.Position{Index: m.applied, Term: term}
	m.disk.entries = slices.Clone(m.disk.entries[m.applied-m.disk.snapshot.Index:])
	m.disk.snapshot = replicator.Snapshot{Position: position, Group: m.node.GroupAt(m.applied), State: m.state.encode()}
	m.node.Compacted(position)
}

// watch checks what must hold at every moment.
func (w *world) watch(m *member) {
	if m.node == nil {
		return
	}
	status := m.node.Status(w.now)
	if status.State == replicator.Leader {
		if other, found := w.leaders[status.Term]; found && other != m.id {
			w.fail("term %d has leaders %d and %d", status.Term, other, m.id)
		}
		w.leaders[status.Term] = m.id
	}
	revision := m.state.configuration.Revision()
	if revision < w.reached[m.id] {
		w.fail("revision at %d went from %d to %d", m.id, w.reached[m.id], revision)
	}
	w.reached[m.id] = revision
	if !m.node.Lease(w.now) {
		return
	}
	for _, other := range w.members {
		if other.id != m.id && other.node != nil && other.node.Lease(w.now) {
			w.fail("%d and %d hold leases in terms %d and %d", m.id, other.id, status.Term, other.node.Status(w.now).Term)
		}
	}
}

// propose lets a client ask a member: for a key that others may want too, or
// for a change that may be a resend.
func (w *world) propose(m *member) {
	if m.node == nil || m.node.Status(w.now).State != replicator.Leader {
		return
	}
	w.next++
	command := &messenger.Command{}
	if w.random.IntN(2) == 0 {
		command.Claim = &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{{
			Workspace: "club", Key: fmt.Sprint("key-", w.random.IntN(1+w.next/4)), Owner: fmt.Sprint("owner-", w.next),
		}}}
	} else {
		change := describer.Change{ID: fmt.Sprint("change-", w.random.IntN(1+w.next/2)), Edits: []describer.Edit{{
			Object: describer.Object{Kind: describer.Workspace, Name: fmt.Sprint("workspace-", w.random.IntN(5))},
		}}}
		command.Change = &messenger.VerifiedChange{
			Change: configurer.ChangeToWire(change), Base: m.state.configuration.Revision(),
		}
	}
	data, err := proto.Marshal(command)
	if err != nil {
		w.fail("encode: %w", err)
		return
	}
	position, err := m.node.Propose(w.now, [][]byte{data})
	if err == nil {
		m.waiting[position.Index] = pending{term: position.Term, command: command}
	}
}

// leader returns the member that leads with a lease, if there is one.
func (w *world) leader() *member {
	for _, id := range w.ids() {
		if m := w.members[id]; m.node != nil && m.node.Lease(w.now) {
			return m
		}
	}
	return nil
}
