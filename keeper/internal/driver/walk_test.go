package driver_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/recorder"
	"shallotkeel.example/lib/replicator"
)

const (
	seedsEnv        = "SHALLOTKEEL_SEEDS"
	firstSeedEnv    = "SHALLOTKEEL_FIRST_SEED"
	defaultSeeds    = 1000
	stepsPerSeed    = 300
	recoveryTimeout = 30 * time.Second
)

// keeper is one simulated keeper: a driver on an in-memory disk that can fail.
type keeper struct {
	name            string
	files           *recorder.Memory
	driver          *driver.Driver          // nil while it is down
	starts          int                     // of the process
	pendingSnapshot *driver.PendingSnapshot // taken and not yet written
	highestRevision uint64                  // of its configuration since the last start
}

// packet is a message on the simulated network.
type packet struct {
	message   replicator.Message
	deliverAt time.Time
}

// cluster simulates a group of keepers, their network and their clients. All its
// randomness comes from one seed.
type cluster struct {
	random          *rand.Rand
	now             time.Time
	keepers         []*keeper
	network         []packet
	lossy           bool // the network drops and delays messages
	nextID          replicator.ID
	requests        int               // sent by clients
	failure         error             // the first violated invariant
	granted         map[string]string // owner by key
	accepted        map[string]uint64 // revision by change id
	highestRevision uint64            // of the accepted revisions
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), lossy: true,
		granted: make(map[string]string), accepted: make(map[string]uint64),
	}
	var group replicator.Group
	for i := range size {
		k := &keeper{name: fmt.Sprint("keeper-", i+1), files: recorder.NewMemory()}
		c.keepers = append(c.keepers, k)
		c.start(k)
		group = append(group, replicator.Replica{ID: k.driver.Identity(), Name: k.name, Role: replicator.Voter})
	}
	if err := c.keepers[0].driver.Bootstrap(c.now, group); err != nil {
		c.fail("bootstrap: %w", err)
	}
	return c
}

// fail records the first violation of an invariant.
func (c *cluster) fail(format string, values ...any) {
	if c.failure == nil {
		c.failure = fmt.Errorf(format, values...)
	}
}

// Send implements driver.Transport.
func (c *cluster) Send(messages []replicator.Message) {
	for _, message := range messages {
		if c.lossy && c.random.IntN(30) == 0 {
			continue
		}
		delay := time.Duration(c.random.Int64N(int64(5 * time.Millisecond)))
		if c.lossy && c.random.IntN(20) == 0 {
			delay = time.Duration(c.random.Int64N(int64(400 * time.Millisecond)))
		}
		c.network = append(c.network, packet{message: message, deliverAt: c.now.Add(delay)})
	}
}

// start opens a keeper's driver from its disk.
func (c *cluster) start(k *keeper) {
	k.starts++
	opened, err := driver.Open(driver.Config{
		Files: k.files, Limits: recorder.Limits{SegmentBytes: 1000, ReserveBytes: 1000},
		Transport: c, Random: rand.New(rand.NewPCG(c.random.Uint64(), 1)),
		NewID:           func() replicator.ID { c.nextID++; return c.nextID },
		SnapshotEntries: 5 + c.random.IntN(20),
	}, c.now)
	if err != nil {
		c.stop(k, err)
		return
	}
	k.driver, k.pendingSnapshot, k.highestRevision = opened, nil, 0
}

// stop ends a keeper's process after an error. Only injected faults may cause it.
func (c *cluster) stop(k *keeper, err error) {
	if !errors.Is(err, recorder.ErrFailed) && !errors.Is(err, recorder.ErrUnusable) &&
		!errors.Is(err, recorder.ErrFull) && !errors.Is(err, recorder.ErrInjected) {
		c.fail("%s stopped: %w", k.name, err)
	}
	c.crash(k)
}

// crash ends a keeper's process and loses what its disk has not synced.
func (c *cluster) crash(k *keeper) {
	k.driver = nil
	k.files.Crash(c.random)
}

// flush flushes a keeper's driver, and takes and writes its snapshots at random
// later times. It checks that the revision never decreases.
func (c *cluster) flush(k *keeper) {
	if k.driver == nil {
		return
	}
	err := k.driver.Flush(c.now)
	if err == nil && k.pendingSnapshot == nil {
		k.pendingSnapshot, err = k.driver.TakeSnapshot()
	}
	if err == nil && k.pendingSnapshot != nil && c.random.IntN(3) == 0 {
		err = k.driver.SnapshotWritten(k.pendingSnapshot, k.pendingSnapshot.Write())
		k.pendingSnapshot = nil
	}
	if err != nil {
		c.stop(k, err)
		return
	}
	revision := k.driver.State().Configuration().Revision()
	if revision < k.highestRevision {
		c.fail("revision at %s went from %d to %d", k.name, k.highestRevision, revision)
	}
	k.highestRevision = revision
}

// advance moves the time forward by one step, delivers the messages that are due
// in random order, and ticks and flushes all running keepers.
func (c *cluster) advance(step time.Duration) {
	c.now = c.now.Add(step)
	var due, later []packet
	for _, p := range c.network {
		if p.deliverAt.After(c.now) {
			later = append(later, p)
			continue
		}
		due = append(due, p)
	}
	c.network = later
	c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		for _, k := range c.keepers {
			if k.driver != nil && k.driver.Identity() == p.message.To {
				k.driver.Receive(c.now, []replicator.Message{p.message})
			}
		}
	}
	for _, k := range c.keepers {
		if k.driver != nil {
			k.driver.Tick(c.now)
			c.flush(k)
		}
	}
}

// randomEvent lets some time pass and causes one random event at one keeper.
func (c *cluster) randomEvent() {
	c.advance(time.Duration(c.random.Int64N(int64(40 * time.Millisecond))))
	k := c.keepers[c.random.IntN(len(c.keepers))]
	switch c.random.IntN(80) {
	case 0:
		c.crash(k)
	case 1, 2, 3, 11, 12, 13, 14:
		if k.driver == nil {
			c.start(k)
		}
	case 4:
		k.files.FailAfter = c.random.IntN(30)
	case 5:
		k.files.FailSyncs = true
	case 6:
		used := int64(1)
		for _, name := range fileNames(k.files) {
			data, _ := k.files.Read(name)
			used += int64(len(data))
		}
		k.files.Capacity = used + 1000 + c.random.Int64N(500)
	case 7, 8, 15, 16:
		k.files.Capacity = 0
	case 9:
		c.lossy = !c.lossy
	case 10:
		if k.driver != nil {
			k.driver.Transfer(c.now)
		}
	default:
		for range c.random.IntN(5) {
			c.sendRequest(k)
		}
	}
	c.flush(k)
}

// fileNames lists the files of a simulated disk.
func fileNames(files *recorder.Memory) []string {
	listed, _ := files.List()
	return listed
}

// sendRequest sends a keeper a claim or a change from a client, either new or
// repeated.
func (c *cluster) sendRequest(k *keeper) {
	if k.driver == nil {
		return
	}
	c.requests++
	if c.random.IntN(2) == 0 {
		entry := &messenger.ClaimEntry{
			Workspace: "club", Key: fmt.Sprint("key-", c.random.IntN(1+c.requests/4)), Owner: fmt.Sprint("owner-", c.requests),
		}
		command := &messenger.Command{Claim: &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{entry}}}
		k.driver.Propose(c.now, command, func(result applier.Result, err error) {
			if err == nil && result.Claims[0].GetOutcome() == messenger.ClaimOutcome_CLAIM_GRANTED {
				c.grant(entry)
			}
		})
		return
	}
	id := fmt.Sprint("change-", c.random.IntN(1+c.requests/2))
	change := describer.Change{ID: id, Edits: []describer.Edit{{
		Object: describer.Object{Kind: describer.Endpoint, Name: fmt.Sprint("endpoint-", c.random.IntN(5))},
		Check:  c.random.IntN(3) == 0, Version: 1 << 40, // no object reaches it
	}}}
	known := c.highestRevision
	k.driver.Change(c.now, change, false, func(result configurer.Result, err error) {
		switch {
		case err != nil:
		case result.Outcome == configurer.Moved:
			c.fail("change %s was answered with the internal outcome Moved", id)
		case result.Outcome == configurer.Accepted:
			c.accept(id, result)
		case result.Revision < known:
			c.fail("a change was checked against revision %d although revision %d had been accepted", result.Revision, known)
		}
	})
}

// grant checks that a granted key has no other owner.
func (c *cluster) grant(entry *messenger.ClaimEntry) {
	if owner, found := c.granted[entry.GetKey()]; found && owner != entry.GetOwner() {
		c.fail("key %s was granted to %s and to %s", entry.GetKey(), owner, entry.GetOwner())
	}
	c.granted[entry.GetKey()] = entry.GetOwner()
}

// accept checks that an accepted change keeps its revision.
func (c *cluster) accept(id string, result configurer.Result) {
	if revision, found := c.accepted[id]; found && revision != result.Revision {
		c.fail("change %s was accepted as revision %d and as %d", id, revision, result.Revision)
	}
	c.accepted[id] = result.Revision
	c.highestRevision = max(c.highestRevision, result.Revision)
}

// leader returns the keeper that leads with a quorum, nil if there is none.
func (c *cluster) leader() *keeper {
	for _, k := range c.keepers {
		if k.driver == nil {
			continue
		}
		if status := k.driver.Status(c.now); status.State == replicator.Leader && status.Quorum {
			return k
		}
	}
	return nil
}

// recoverAndCheck removes all faults, restarts all keepers, and checks that they
// reach the same state and that it agrees with all answers that clients got.
func (c *cluster) recoverAndCheck() {
	c.lossy = false
	for _, k := range c.keepers {
		c.crash(k)
		k.files.Capacity = 0
		c.start(k)
	}
	for end := c.now.Add(recoveryTimeout); c.now.Before(end) && c.failure == nil; {
		c.advance(20 * time.Millisecond)
		if c.converged() {
			c.checkAnswers(c.leader().driver)
			return
		}
	}
	c.fail("the group did not recover within %s:%s", recoveryTimeout, c.describe())
}

// describe lists the state of all keepers for a failure message.
func (c *cluster) describe() string {
	var text strings.Builder
	for _, k := range c.keepers {
		fmt.Fprintf(&text, "\n%s start %d", k.name, k.starts)
		if k.driver != nil {
			fmt.Fprintf(&text, " applied %d: %+v", k.driver.Applied(), k.driver.Status(c.now))
		}
	}
	return text.String()
}

// converged reports whether all keepers have applied the leader's whole log. If
// they have, their encoded states must be equal.
func (c *cluster) converged() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	for _, k := range c.keepers {
		if k.driver == nil || k.driver.Applied() != leader.driver.Status(c.now).Last.Index {
			return false
		}
	}
	want, err := leader.driver.State().Encode()
	if err != nil {
		c.fail("encode: %w", err)
	}
	for _, k := range c.keepers {
		if got, err := k.driver.State().Encode(); err != nil || string(got) != string(want) {
			c.fail("%s and %s differ: %w", k.name, leader.name, err)
		}
	}
	return true
}

// checkAnswers checks that each accepted change and each granted key is still in
// the leader's state.
func (c *cluster) checkAnswers(leader *driver.Driver) {
	for id, revision := range c.accepted {
		again := leader.State().Configuration().Check(describer.Change{ID: id})
		if !again.Resent || again.Revision != revision {
			c.fail("change %s was accepted as revision %d and is now %+v", id, revision, again)
		}
	}
	for key, owner := range c.granted {
		c.checkSpent(leader, key, owner)
	}
}

// checkSpent claims a granted key for another owner and expects CLAIM_SPENT.
func (c *cluster) checkSpent(leader *driver.Driver, key, owner string) {
	answered := false
	leader.Propose(c.now, &messenger.Command{Claim: &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{
		{Workspace: "club", Key: key, Owner: owner + " again"},
	}}}, func(result applier.Result, err error) {
		answered = true
		if err != nil || result.Claims[0].GetOutcome() != messenger.ClaimOutcome_CLAIM_SPENT {
			c.fail("key %s was granted and is now %v, %w", key, result.Claims, err)
		}
	})
	for range 50 {
		if answered {
			return
		}
		c.advance(10 * time.Millisecond)
	}
	c.fail("no answer about key %s", key)
}

// intFromEnv returns the number in an environment variable, or the fallback if it
// is unset.
func intFromEnv(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	require.NoError(t, err)
	return number
}

// Guards against a keeper that does not start, states that diverge, and answers
// that do not hold. Random sequences of crashes at any disk operation, torn and
// lost writes, failed syncs, full disks, lost and late messages, and leadership
// transfers could cause these, while snapshots are taken and installed all the
// time.
func TestRandomWalk(t *testing.T) {
	t.Parallel()
	seeds, first := intFromEnv(t, seedsEnv, defaultSeeds), intFromEnv(t, firstSeedEnv, 0)
	var next, answered atomic.Int64
	var group sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		group.Go(func() {
			for !t.Failed() {
				seed := next.Add(1) - 1
				if seed >= int64(seeds) {
					return
				}
				c := newCluster(uint64(int64(first)+seed), 1+2*int(seed%3))
				for range stepsPerSeed {
					if c.randomEvent(); c.failure != nil {
						break
					}
				}
				if c.failure == nil {
					c.recoverAndCheck()
				}
				answered.Add(int64(len(c.granted) + len(c.accepted)))
				if c.failure != nil {
					t.Errorf("seed %d: %v", int64(first)+seed, c.failure)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d seeds, %d accepted changes and claims", seeds, answered.Load())
	require.Greater(t, answered.Load(), int64(seeds))
}
