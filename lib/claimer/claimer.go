// Package claimer is the replicated state machine of idempotency keys: which
// request may be sent, once, and what became of it.
//
// Invariants:
//   - a key is granted to one owner only, until it expires or its owner reports
//     that the request was not run; a repeat by the same owner, whose first
//     answer was lost, is granted again;
//   - a record of another owner changes nothing, so a late report cannot free a
//     key that someone else has claimed since;
//   - time is the replicated clock that the caller passes in, the same at all
//     replicas; no local clock is read.
//
// Memory: at most Policy.PerWorkspace claims of a workspace, Policy.InAll
// claims of all, and the recorded answers within Policy.WorkspaceBytes and
// Policy.AllBytes. An answer beyond that is forgotten, oldest first, but not
// that the request ran.
package claimer

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
)

// Policy sets the window and the bounds. It is part of each command, so that
// replicas of different versions decide alike. Zero values mean the defaults.
type Policy struct {
	// Window is how long a key is remembered after it was claimed.
	Window         time.Duration
	PerWorkspace   int // claims of one workspace
	InAll          int // claims of all workspaces
	AnswerBytes    int // of one recorded answer
	WorkspaceBytes int // of the recorded answers of one workspace
	AllBytes       int // of all recorded answers
}

// Defaults of Policy.
const (
	DefaultWindow         = time.Hour
	DefaultPerWorkspace   = 4096
	DefaultInAll          = 131072
	DefaultAnswerBytes    = 64 << 10
	DefaultWorkspaceBytes = 512 << 10
	DefaultAllBytes       = 32 << 20
)

// MaxKey bounds a key, a workspace's name and an owner, in bytes.
const MaxKey = 256

// OrDefaults fills in what is zero.
func (p Policy) OrDefaults() Policy {
	fill(&p.Window, DefaultWindow)
	fill(&p.PerWorkspace, DefaultPerWorkspace)
	fill(&p.InAll, DefaultInAll)
	fill(&p.AnswerBytes, DefaultAnswerBytes)
	fill(&p.WorkspaceBytes, DefaultWorkspaceBytes)
	fill(&p.AllBytes, DefaultAllBytes)
	return p
}

func fill[T comparable](field *T, standard T) {
	var zero T
	if *field == zero {
		*field = standard
	}
}

// name is a key within its workspace.
type name struct {
	workspace string
	key       string
}

// claim is one key that was claimed.
type claim struct {
	name     name
	digest   uint64
	owner    string
	expires  time.Duration
	recorded bool
	answer   []byte        // an encoded messenger.Answer
	queued   *list.Element // in Machine.claims
	kept     *list.Element // in Machine.answers, while the answer has its body
	local    *list.Element // in its workspace's answers
}

// workspace is what the bounds need to know of one.
type workspace struct {
	claims  int
	bytes   int
	answers list.List // of *claim, oldest first
}

// Machine is the replicated state. The zero value has no claims. It is not
// safe for concurrent use.
type Machine struct {
	names      map[name]*claim
	workspaces map[string]*workspace
	claims     list.List // of *claim, in the order in which they expire
	answers    list.List // of *claim, oldest answer first
	bytes      int
}

// Len returns the number of claims that are remembered.
func (m *Machine) Len() int {
	return len(m.names)
}

// Claim takes keys, in order, and answers each.
func (m *Machine) Claim(now time.Duration, policy Policy, entries []*messenger.ClaimEntry) []*messenger.ClaimResult {
	policy = policy.OrDefaults()
	m.expire(now)
	results := make([]*messenger.ClaimResult, 0, len(entries))
	for _, entry := range entries {
		results = append(results, m.claim(now, policy, entry))
	}
	return results
}

func (m *Machine) claim(now time.Duration, policy Policy, entry *messenger.ClaimEntry) *messenger.ClaimResult {
	key := name{workspace: entry.GetWorkspace(), key: entry.GetKey()}
	known, found := m.names[key]
	if found {
		return known.answerTo(entry)
	}
	if m.workspace(key.workspace).claims >= policy.PerWorkspace || len(m.names) >= policy.InAll {
		m.tidy(key.workspace)
		return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_FULL}
	}
	m.add(&claim{
		name: key, digest: entry.GetDigest(), owner: entry.GetOwner(), expires: now + policy.Window,
	})
	return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_GRANTED}
}

// answerTo answers a claim of a key that is taken.
func (c *claim) answerTo(entry *messenger.ClaimEntry) *messenger.ClaimResult {
	switch {
	case c.digest != entry.GetDigest():
		return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_MISMATCH}
	case c.recorded:
		return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_RECORDED, Recorded: c.answer}
	case c.owner == entry.GetOwner():
		return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_GRANTED}
	}
	return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_SPENT}
}

// Record stores outcomes. The first answer to a claim stays; one that was not
// run frees the key.
func (m *Machine) Record(now time.Duration, policy Policy, entries []*messenger.RecordEntry) {
	policy = policy.OrDefaults()
	m.expire(now)
	for _, entry := range entries {
		m.record(policy, entry)
	}
}

func (m *Machine) record(policy Policy, entry *messenger.RecordEntry) {
	known, found := m.names[name{workspace: entry.GetWorkspace(), key: entry.GetKey()}]
	if !found || known.recorded || known.digest != entry.GetDigest() || known.owner != entry.GetOwner() {
		return
	}
	if entry.GetAnswer().GetNotRun() {
		m.remove(known)
		return
	}
	known.recorded = true
	known.answer = encode(entry.GetAnswer())
	if len(known.answer) > policy.AnswerBytes {
		known.answer = omit(known.answer)
		return
	}
	m.keep(known)
	m.shrink(policy, known.name.workspace)
}

// keep counts an answer.
func (m *Machine) keep(c *claim) {
	local := m.workspace(c.name.workspace)
	c.kept = m.answers.PushBack(c)
	c.local = local.answers.PushBack(c)
	local.bytes += len(c.answer)
	m.bytes += len(c.answer)
}

// forget stops counting an answer.
func (m *Machine) forget(c *claim) {
	if c.kept == nil {
		return
	}
	local := m.workspace(c.name.workspace)
	m.answers.Remove(c.kept)
	local.answers.Remove(c.local)
	local.bytes -= len(c.answer)
	m.bytes -= len(c.answer)
	c.kept, c.local = nil, nil
}

// shrink forgets the bodies of the oldest answers, first of the workspace that
// has too many, so that one workspace does not cost the others theirs.
func (m *Machine) shrink(policy Policy, of string) {
	local := m.workspace(of)
	for local.bytes > policy.WorkspaceBytes {
		m.drop(local.answers.Front().Value.(*claim))
	}
	for m.bytes > policy.AllBytes {
		m.drop(m.answers.Front().Value.(*claim))
	}
}

func (m *Machine) drop(c *claim) {
	m.forget(c)
	c.answer = omit(c.answer)
}

func (m *Machine) workspace(name string) *workspace {
	if m.workspaces == nil {
		m.workspaces = make(map[string]*workspace)
	}
	known, found := m.workspaces[name]
	if !found {
		known = &workspace{}
		m.workspaces[name] = known
	}
	return known
}

// tidy forgets a workspace that has no claims.
func (m *Machine) tidy(name string) {
	if known, found := m.workspaces[name]; found && known.claims == 0 {
		delete(m.workspaces, name)
	}
}

func (m *Machine) add(c *claim) {
	if m.names == nil {
		m.names = make(map[name]*claim)
	}
	m.names[c.name] = c
	m.workspace(c.name.workspace).claims++
	m.queue(c)
}

// queue keeps claims in the order in which they expire. The window hardly ever
// changes, so the place is nearly always the last.
func (m *Machine) queue(c *claim) {
	for at := m.claims.Back(); at != nil; at = at.Prev() {
		if at.Value.(*claim).expires <= c.expires {
			c.queued = m.claims.InsertAfter(c, at)
			return
		}
	}
	c.queued = m.claims.PushFront(c)
}

func (m *Machine) remove(c *claim) {
	m.forget(c)
	m.claims.Remove(c.queued)
	delete(m.names, c.name)
	m.workspace(c.name.workspace).claims--
	m.tidy(c.name.workspace)
}

func (m *Machine) expire(now time.Duration) {
	for {
		oldest := m.claims.Front()
		if oldest == nil || oldest.Value.(*claim).expires > now {
			return
		}
		m.remove(oldest.Value.(*claim))
	}
}

// encode cannot fail: the texts were checked where they entered.
func encode(answer *messenger.Answer) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(answer)
	if err != nil {
		return nil
	}
	return data
}

// omit leaves the body out of an encoded answer and says so.
func omit(encoded []byte) []byte {
	var answer messenger.Answer
	if err := proto.Unmarshal(encoded, &answer); err != nil {
		return nil
	}
	answer.Body = nil
	answer.Omitted = true
	return encode(&answer)
}
