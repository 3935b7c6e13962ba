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
	heartbeatInterval = 50 * time.Millisecond
	electionTimeout   = 300 * time.Millisecond
	// maxDelay of a message exceeds the election timeout, so that some replies
	// arrive after their recipient has given up on them.
	maxDelay  = 400 * time.Millisecond
	keyWindow = time.Hour
)

// disk is the durable state of a member, which survives a crash.
type disk struct {
	ballot   replicator.Ballot
	snapshot replicator.Snapshot
	entries  []replicator.Entry
}

// record replaces the ballot, if there is one, and appends entries. An entry at an
// existing index replaces that entry and all later ones.
func (d *disk) record(ballot *replicator.Ballot, entries []replicator.Entry) {
	if ballot != nil {
		d.ballot = *ballot
	}
	for _, entry := range entries {
		keep := entry.Index - d.snapshot.Index - 1
		d.entries = append(d.entries[:keep:keep], entry)
	}
}

// last returns the index of the last entry.
func (d *disk) last() uint64 {
	return d.snapshot.Index + uint64(len(d.entries))
}

// machine is the replicated state machine of a keeper.
type machine struct {
	configuration *configurer.Machine
	claims        *claimer.Machine
}

// encode returns the encoded state, which is equal for equal states.
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

// member is one keeper of the cluster.
type member struct {
	id      replicator.ID
	name    string
	disk    *disk
	node    *replicator.Node // nil while it is down
	state   *machine
	applied uint64
	waiting map[uint64]pending // by index of the entry
	// snapshotEvery is the number of entries between snapshots. It differs between
	// members, so that they compact their logs at different positions.
	snapshotEvery int
	sinceSnapshot int
	frozen        bool
}

// pending is a proposal for whose answer the client still waits.
type pending struct {
	term    uint64
	command *messenger.Command
}

// packet is a message in flight.
type packet struct {
	message   replicator.Message
	deliverAt time.Time
}

// cluster simulates a group of keepers, its network and its clients in virtual
// time, driven by one seed.
type cluster struct {
	random   *rand.Rand
	now      time.Time
	members  map[replicator.ID]*member
	network  []packet
	cutLinks map[[2]replicator.ID]bool // sender and receiver of lost messages
	nextID   replicator.ID
	lossy    bool          // messages are lost, duplicated and delayed, and members crash
	retire   time.Duration // Timing.RetireAfter of all members
	failure  error         // the first violation that was found

	leaders      map[uint64]replicator.ID    // by term
	committed    map[uint64]replicator.Entry // by index
	granted      map[string]string           // owner by key
	accepted     map[string]uint64           // acknowledged revision by change id
	revisions    map[replicator.ID]uint64    // highest revision since the member's last start
	commandCount int                         // number of commands that clients have sent
	lostDisks    map[replicator.ID]bool      // permanently lost disks

	group      replicator.Group // the last committed membership
	groupIndex uint64           // index of its entry
}

// newCluster returns a cluster of the given size whose leaders never remove silent
// voters.
func newCluster(seed uint64, size int) *cluster {
	return newRetiringCluster(seed, size, 0)
}

// newRetiringCluster returns a cluster of the given size whose leaders remove
// voters that are silent for the time retire; 0 disables that.
func newRetiringCluster(seed uint64, size int, retire time.Duration) *cluster {
	c := &cluster{
		retire: retire,
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0),
		members: make(map[replicator.ID]*member), cutLinks: make(map[[2]replicator.ID]bool), lossy: true,
		leaders: make(map[uint64]replicator.ID), committed: make(map[uint64]replicator.Entry),
		granted: make(map[string]string), accepted: make(map[string]uint64),
		revisions: make(map[replicator.ID]uint64), lostDisks: make(map[replicator.ID]bool),
	}
	var group replicator.Group
	for i := range size {
		m := c.add(fmt.Sprintf("keeper-%d", i+1))
		group = append(group, replicator.Replica{ID: m.id, Name: m.name, Role: replicator.Voter})
	}
	founding := replicator.Founding(1, replicator.Ballot{}, group)
	c.group, c.groupIndex = group, 1
	c.members[1].disk.record(&founding.Ballot, founding.Entries)
	for _, id := range c.ids() {
		c.start(c.members[id])
	}
	return c
}

// fail records a violation, unless one was recorded before.
func (c *cluster) fail(format string, values ...any) {
	if c.failure == nil {
		c.failure = fmt.Errorf(format, values...)
	}
}

func (c *cluster) ids() []replicator.ID {
	return slices.Sorted(maps.Keys(c.members))
}

func (c *cluster) pick() *member {
	ids := c.ids()
	return c.members[ids[c.random.IntN(len(ids))]]
}

// add adds a member with an empty disk and does not start it.
func (c *cluster) add(name string) *member {
	c.nextID++
	m := &member{id: c.nextID, name: name, disk: &disk{}, snapshotEvery: 5 + c.random.IntN(40)}
	c.members[m.id] = m
	return m
}

// start starts a member from its disk.
func (c *cluster) start(m *member) {
	node, err := replicator.New(replicator.Config{
		ID: m.id, Timing: replicator.Timing{HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, RetireAfter: c.retire},
		Limits: replicator.Limits{BatchEntries: 3, Window: 8, TrailingBytes: 400},
		Random: rand.New(rand.NewPCG(c.random.Uint64(), 1)),
	}, replicator.Restored{
		Ballot: m.disk.ballot, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries),
	}, c.now)
	if err != nil {
		c.fail("start of %d: %w", m.id, err)
		return
	}
	m.node = node
	m.state = decodeMachine(m.disk.snapshot.State)
	m.applied = m.disk.snapshot.Index
	m.waiting = make(map[uint64]pending)
	m.sinceSnapshot = 0
	c.revisions[m.id] = 0
}

func (c *cluster) crash(m *member) {
	m.node = nil
	m.waiting = nil
}

// flush executes a node's Actions until there are none, and may crash the member
// at every step.
func (c *cluster) flush(m *member) {
	for m.node != nil && c.failure == nil {
		actions := m.node.Actions(c.now)
		if actions.Fault != nil {
			c.fail("fault at %d: %w", m.id, actions.Fault)
			return
		}
		if actions.Empty() {
			return
		}
		c.sendAll(m, actions.Early)
		if c.crashes(m) {
			return
		}
		if actions.Install != nil {
			m.disk.snapshot = *actions.Install
			m.disk.entries = nil
			m.state = decodeMachine(actions.Install.State)
			m.applied = actions.Install.Index
		}
		m.disk.record(actions.Ballot, actions.Entries)
		if c.crashes(m) {
			return
		}
		m.node.Synced(c.now)
		c.sendAll(m, actions.Messages)
		c.apply(m, actions.Committed)
		c.checkInvariants(m)
	}
}

// crashes crashes a member at random while the cluster is lossy, and reports
// whether it did.
func (c *cluster) crashes(m *member) bool {
	if !c.lossy || c.random.IntN(400) > 0 {
		return false
	}
	c.crash(m)
	return true
}

// sendAll sends messages, some of them twice while the cluster is lossy. It
// attaches the sender's snapshot to an Install.
func (c *cluster) sendAll(from *member, messages []replicator.Message) {
	for _, message := range messages {
		if message.Kind == replicator.Install {
			snapshot := from.disk.snapshot
			message.Snapshot = &snapshot
		}
		c.send(message)
		if c.lossy && c.random.IntN(20) == 0 {
			c.send(message)
		}
	}
}

// send puts a message on the network, or drops it, and passes some of the messages
// through the codec.
func (c *cluster) send(message replicator.Message) {
	if c.cutLinks[[2]replicator.ID{message.From, message.To}] {
		return
	}
	if c.lossy && c.random.IntN(30) == 0 {
		return
	}
	delay := time.Duration(c.random.Int64N(int64(5 * time.Millisecond)))
	if c.lossy && c.random.IntN(20) == 0 {
		delay = time.Duration(c.random.Int64N(int64(maxDelay)))
	}
	if c.random.IntN(10) == 0 {
		decoded, err := replicator.DecodeMessages(replicator.EncodeMessages([]replicator.Message{message}))
		if err != nil {
			c.fail("codec: %w", err)
			return
		}
		message = decoded[0]
	}
	c.network = append(c.network, packet{message: message, deliverAt: c.now.Add(delay)})
}

// advance moves the virtual time forward, delivers the messages that are due in
// random order, and ticks all running members.
func (c *cluster) advance(step time.Duration) {
	c.now = c.now.Add(step)
	var due, later []packet
	for _, at := range c.network {
		to, found := c.members[at.message.To]
		if at.deliverAt.After(c.now) || (found && to.frozen) {
			later = append(later, at)
			continue
		}
		due = append(due, at)
	}
	c.network = later
	c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, at := range due {
		to, found := c.members[at.message.To]
		if found && to.node != nil && !c.cutLinks[[2]replicator.ID{at.message.From, at.message.To}] {
			to.node.Step(c.now, at.message)
		}
	}
	for _, id := range c.ids() {
		m := c.members[id]
		if m.node != nil && !m.frozen {
			m.node.Tick(c.now)
			c.flush(m)
		}
	}
}

// apply applies committed entries to a member's state, and takes a snapshot if
// enough of them have been applied since the last one.
func (c *cluster) apply(m *member, entries []replicator.Entry) {
	for _, entry := range entries {
		c.checkCommitted(m, entry)
		m.applied = entry.Index
		m.sinceSnapshot++
		if entry.Kind == replicator.Command {
			c.applyCommand(m, entry)
		}
	}
	if m.sinceSnapshot >= m.snapshotEvery {
		c.snapshot(m)
	}
}

// checkCommitted checks that a committed entry is the next one for the member and
// equals the entry that other members have committed at its index.
func (c *cluster) checkCommitted(m *member, entry replicator.Entry) {
	if entry.Index != m.applied+1 {
		c.fail("member %d applied entry %d after %d", m.id, entry.Index, m.applied)
	}
	known, found := c.committed[entry.Index]
	if found && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		c.fail("entry %d was committed in term %d and again with other content in term %d", entry.Index, known.Term, entry.Term)
	}
	c.committed[entry.Index] = entry
	if entry.Kind == replicator.Membership && entry.Index > c.groupIndex {
		c.group, c.groupIndex = c.decode(entry), entry.Index
	}
}

func (c *cluster) decode(entry replicator.Entry) replicator.Group {
	group, err := replicator.DecodeGroup(entry.Data)
	if err != nil {
		c.fail("membership: %w", err)
	}
	return group
}

// applyCommand applies a command, and records its result as acknowledged if the
// client still waits for it.
func (c *cluster) applyCommand(m *member, entry replicator.Entry) {
	var command messenger.Command
	if err := proto.Unmarshal(entry.Data, &command); err != nil {
		c.fail("command: %w", err)
		return
	}
	waiting, waits := m.waiting[entry.Index]
	delete(m.waiting, entry.Index)
	waits = waits && waiting.term == entry.Term
	if claim := command.GetClaim(); claim != nil {
		results := m.state.claims.Claim(0, claimer.Policy{Window: keyWindow}, claim.GetClaims())
		if waits && results[0].GetOutcome() == messenger.ClaimOutcome_CLAIM_GRANTED {
			c.recordGranted(claim.GetClaims()[0])
		}
	}
	if verified := command.GetChange(); verified != nil {
		result := m.state.configuration.Apply(
			configurer.ChangeFromWire(verified.GetChange()), nil, verified.GetBase(), time.Unix(0, 0))
		if waits && result.Outcome == configurer.Accepted {
			c.recordAccepted(verified.GetChange().GetChange(), result)
		}
	}
}

// recordGranted records a claim that was acknowledged to a client, and checks that
// its key was not granted to another owner.
func (c *cluster) recordGranted(entry *messenger.ClaimEntry) {
	owner, found := c.granted[entry.GetKey()]
	if found && owner != entry.GetOwner() {
		c.fail("key %s was granted to %s and to %s", entry.GetKey(), owner, entry.GetOwner())
	}
	c.granted[entry.GetKey()] = entry.GetOwner()
}

// recordAccepted records a change that was acknowledged to a client, and checks
// that it was not acknowledged with another revision.
func (c *cluster) recordAccepted(id string, result configurer.Result) {
	revision, found := c.accepted[id]
	if found && revision != result.Revision {
		c.fail("change %s was accepted as revision %d and as %d", id, revision, result.Revision)
	}
	c.accepted[id] = result.Revision
}

// snapshot writes a snapshot of a member's state and compacts its log.
func (c *cluster) snapshot(m *member) {
	term, known := m.node.TermAt(m.applied)
	if !known {
		c.fail("member %d does not know the term of applied entry %d", m.id, m.applied)
		return
	}
	m.sinceSnapshot = 0
	position := replicator.Position{Index: m.applied, Term: term}
	m.disk.entries = slices.Clone(m.disk.entries[m.applied-m.disk.snapshot.Index:])
	m.disk.snapshot = replicator.Snapshot{Position: position, Group: m.node.GroupAt(m.applied), State: m.state.encode()}
	m.node.Compacted(position)
}

// checkInvariants checks that a term has one leader, that a member's revision does
// not decrease, and that at most one member has a lease.
func (c *cluster) checkInvariants(m *member) {
	if m.node == nil {
		return
	}
	status := m.node.Status(c.now)
	if status.State == replicator.Leader {
		if other, found := c.leaders[status.Term]; found && other != m.id {
			c.fail("term %d has leaders %d and %d", status.Term, other, m.id)
		}
		c.leaders[status.Term] = m.id
	}
	revision := m.state.configuration.Revision()
	if revision < c.revisions[m.id] {
		c.fail("revision at %d went from %d to %d", m.id, c.revisions[m.id], revision)
	}
	c.revisions[m.id] = revision
	if !m.node.HasLease(c.now) {
		return
	}
	for _, other := range c.members {
		if other.id != m.id && other.node != nil && other.node.HasLease(c.now) {
			c.fail("%d and %d hold leases in terms %d and %d", m.id, other.id, status.Term, other.node.Status(c.now).Term)
		}
	}
}

// propose lets a client send a command to a member that is leader: a claim of a key
// for which other clients may compete, or a change that may be a resend.
func (c *cluster) propose(m *member) {
	if m.node == nil || m.node.Status(c.now).State != replicator.Leader {
		return
	}
	c.commandCount++
	command := &messenger.Command{}
	if c.random.IntN(2) == 0 {
		command.Claim = &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{{
			Workspace: "club", Key: fmt.Sprint("key-", c.random.IntN(1+c.commandCount/4)), Owner: fmt.Sprint("owner-", c.commandCount),
		}}}
	} else {
		change := describer.Change{ID: fmt.Sprint("change-", c.random.IntN(1+c.commandCount/2)), Edits: []describer.Edit{{
			Object: describer.Object{Kind: describer.Workspace, Name: fmt.Sprint("workspace-", c.random.IntN(5))},
		}}}
		command.Change = &messenger.VerifiedChange{
			Change: configurer.ChangeToWire(change), Base: m.state.configuration.Revision(),
		}
	}
	data, err := proto.Marshal(command)
	if err != nil {
		c.fail("encode: %w", err)
		return
	}
	position, err := m.node.Propose(c.now, [][]byte{data})
	if err == nil {
		m.waiting[position.Index] = pending{term: position.Term, command: command}
	}
}

// leader returns the member that is leader with a valid lease, or nil.
func (c *cluster) leader() *member {
	for _, id := range c.ids() {
		if m := c.members[id]; m.node != nil && m.node.HasLease(c.now) {
			return m
		}
	}
	return nil
}
