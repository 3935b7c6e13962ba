// Package claimer implements the replicated state machine of idempotency keys. A
// claim of a key gives its owner, one attempt at a request, the right to send the
// request; a record stores the outcome.
//
// Invariants:
//   - a key is granted to one owner only, until it expires or its owner reports
//     that the request was not run; a repeat by the same owner, whose first
//     answer was lost, is granted again;
//   - a record by another owner changes nothing, so a late report cannot free a
//     key that has since been claimed by a different owner;
//   - time is the replicated clock that the caller passes in, the same at all
//     replicas; no local clock is read.
//
// Memory: at most Policy.PerWorkspace claims per workspace and Policy.Total claims
// in total; the bodies of recorded answers take at most Policy.WorkspaceBytes per
// workspace and Policy.TotalBytes in total. Beyond that the bodies of the oldest
// answers are dropped; the fact that the request ran is kept.
package claimer

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
)

// Policy sets the window and the bounds. It is part of each command, so that
// replicas of different versions or settings decide alike. Zero values mean the
// defaults.
type Policy struct {
	// Window is the time from the claim of a key until it expires.
	Window         time.Duration
	PerWorkspace   int // claims of one workspace
	Total          int // claims of all workspaces
	AnswerBytes    int // maximum size of one recorded answer
	WorkspaceBytes int // of all recorded answers of one workspace
	TotalBytes     int // of all recorded answers
}

// Defaults of Policy.
const (
	DefaultWindow         = time.Hour
	DefaultPerWorkspace   = 4096
	DefaultTotal          = 131072
	DefaultAnswerBytes    = 64 << 10
	DefaultWorkspaceBytes = 512 << 10
	DefaultTotalBytes     = 32 << 20
)

// MaxKey bounds the length of a key, of a workspace's name and of an owner, in
// bytes.
const MaxKey = 256

// OrDefaults returns the policy with zero values replaced by the defaults.
func (p Policy) OrDefaults() Policy {
	setDefault(&p.Window, DefaultWindow)
	setDefault(&p.PerWorkspace, DefaultPerWorkspace)
	setDefault(&p.Total, DefaultTotal)
	setDefault(&p.AnswerBytes, DefaultAnswerBytes)
	setDefault(&p.WorkspaceBytes, DefaultWorkspaceBytes)
	setDefault(&p.TotalBytes, DefaultTotalBytes)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// scopedKey is an idempotency key with the workspace that it belongs to.
type scopedKey struct {
	workspace string
	key       string
}

// claim is a claimed key, with the answer once that is recorded.
type claim struct {
	id               scopedKey
	digest           uint64
	owner            string
	expires          time.Duration // on the replicated clock
	recorded         bool
	answer           []byte        // an encoded messenger.Answer
	expiryElement    *list.Element // in Machine.byExpiry
	answerElement    *list.Element // in Machine.answers, nil unless the answer has its body
	workspaceElement *list.Element // in workspace.answers, nil likewise
}

// workspace counts the claims and answers of one workspace, for its bounds.
type workspace struct {
	claims      int
	answerBytes int
	answers     list.List // of *claim with a body, oldest answer first
}

// Machine is the replicated state. The zero value has no claims. It is not
// safe for concurrent use.
type Machine struct {
	byID        map[scopedKey]*claim
	workspaces  map[string]*workspace
	byExpiry    list.List // of *claim, first to expire first
	answers     list.List // of *claim with a body, oldest answer first
	answerBytes int
}

// Len returns the number of claims held. It includes expired claims that the next
// Claim or Record will remove.
func (m *Machine) Len() int {
	return len(m.byID)
}

// Claim claims keys in order, and returns a result for each. Expired claims are
// removed first.
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
	key := scopedKey{workspace: entry.GetWorkspace(), key: entry.GetKey()}
	known, found := m.byID[key]
	if found {
		return known.resultFor(entry)
	}
	if m.workspace(key.workspace).claims >= policy.PerWorkspace || len(m.byID) >= policy.Total {
		m.pruneWorkspace(key.workspace)
		return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_FULL}
	}
	m.add(&claim{
		id: key, digest: entry.GetDigest(), owner: entry.GetOwner(), expires: now + policy.Window,
	})
	return &messenger.ClaimResult{Outcome: messenger.ClaimOutcome_CLAIM_GRANTED}
}

// resultFor returns the result of a further claim of the same key.
func (c *claim) resultFor(entry *messenger.ClaimEntry) *messenger.ClaimResult {
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

// Record stores the outcomes of requests. Only the first answer to a claim is
// recorded. A report that the request was not run frees the key.
func (m *Machine) Record(now time.Duration, policy Policy, entries []*messenger.RecordEntry) {
	policy = policy.OrDefaults()
	m.expire(now)
	for _, entry := range entries {
		m.record(policy, entry)
	}
}

func (m *Machine) record(policy Policy, entry *messenger.RecordEntry) {
	known, found := m.byID[scopedKey{workspace: entry.GetWorkspace(), key: entry.GetKey()}]
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
		known.answer = withoutBody(known.answer)
		return
	}
	m.trackAnswer(known)
	m.enforceAnswerBounds(policy, known.id.workspace)
}

// trackAnswer counts an answer with a body towards the bounds.
func (m *Machine) trackAnswer(c *claim) {
	local := m.workspace(c.id.workspace)
	c.answerElement = m.answers.PushBack(c)
	c.workspaceElement = local.answers.PushBack(c)
	local.answerBytes += len(c.answer)
	m.answerBytes += len(c.answer)
}

// untrackAnswer stops counting an answer towards the bounds. An answer that is not
// counted is ignored.
func (m *Machine) untrackAnswer(c *claim) {
	if c.answerElement == nil {
		return
	}
	local := m.workspace(c.id.workspace)
	m.answers.Remove(c.answerElement)
	local.answers.Remove(c.workspaceElement)
	local.answerBytes -= len(c.answer)
	m.answerBytes -= len(c.answer)
	c.answerElement, c.workspaceElement = nil, nil
}

// enforceAnswerBounds drops the bodies of the oldest answers until the bounds hold. It starts
// with the answers of the named workspace, so that one workspace that exceeds its bound does
// not evict the answers of others.
func (m *Machine) enforceAnswerBounds(policy Policy, name string) {
	local := m.workspace(name)
	for local.answerBytes > policy.WorkspaceBytes {
		m.dropBody(local.answers.Front().Value.(*claim))
	}
	for m.answerBytes > policy.TotalBytes {
		m.dropBody(m.answers.Front().Value.(*claim))
	}
}

// dropBody removes the body of an answer and stops counting it.
func (m *Machine) dropBody(c *claim) {
	m.untrackAnswer(c)
	c.answer = withoutBody(c.answer)
}

// workspace returns the counters of a workspace, and creates them if needed.
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

// pruneWorkspace deletes the counters of a workspace without claims.
func (m *Machine) pruneWorkspace(name string) {
	if known, found := m.workspaces[name]; found && known.claims == 0 {
		delete(m.workspaces, name)
	}
}

func (m *Machine) add(c *claim) {
	if m.byID == nil {
		m.byID = make(map[scopedKey]*claim)
	}
	m.byID[c.id] = c
	m.workspace(c.id.workspace).claims++
	m.insertByExpiry(c)
}

// insertByExpiry inserts a claim into the list ordered by expiry. It searches from the end:
// the window rarely changes, so a new claim nearly always expires last.
func (m *Machine) insertByExpiry(c *claim) {
	for at := m.byExpiry.Back(); at != nil; at = at.Prev() {
		if at.Value.(*claim).expires <= c.expires {
			c.expiryElement = m.byExpiry.InsertAfter(c, at)
			return
		}
	}
	c.expiryElement = m.byExpiry.PushFront(c)
}

func (m *Machine) remove(c *claim) {
	m.untrackAnswer(c)
	m.byExpiry.Remove(c.expiryElement)
	delete(m.byID, c.id)
	m.workspace(c.id.workspace).claims--
	m.pruneWorkspace(c.id.workspace)
}

// expire removes the claims that have expired at now.
func (m *Machine) expire(now time.Duration) {
	for {
		oldest := m.byExpiry.Front()
		if oldest == nil || oldest.Value.(*claim).expires > now {
			return
		}
		m.remove(oldest.Value.(*claim))
	}
}

// encode encodes an answer. Marshalling cannot fail, because the texts were
// validated when they were received.
func encode(answer *messenger.Answer) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(answer)
	if err != nil {
		return nil
	}
	return data
}

// withoutBody returns an encoded answer without its body and with Omitted set.
func withoutBody(encoded []byte) []byte {
	var answer messenger.Answer
	if err := proto.Unmarshal(encoded, &answer); err != nil {
		return nil
	}
	answer.Body = nil
	answer.Omitted = true
	return encode(&answer)
}
