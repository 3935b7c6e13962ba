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
	seedsEnv     = "SHALLOTKEEL_SEEDS"
	firstSeedEnv = "SHALLOTKEEL_FIRST_SEED"
	seedsInCI    = 1000
	steps        = 300
	settleTime   = 30 * time.Second
)

// keeper is one keeper of the walk: a driver on a disk that can fail.
type keeper struct {
	name    string
	files   *recorder.Memory
	driver  *driver.Driver // nil while it is down
	life    int
	written *driver.Snapshot // taken and not yet written
	reached uint64           // highest revision seen in this life
}

type packet struct {
	message replicator.Message
	due     time.Time
}

// fleet is a group of keepers, its network and its clients, driven by one seed.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	keepers  []*keeper
	network  []packet
	lossy    bool
	nextID   replicator.ID
	next     int
	problem  error
	granted  map[string]string // owner by key
	accepted map[string]uint64 // revision by change id
	highest  uint64            // of the accepted revisions
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), lossy: true,
		granted: make(map[string]string), accepted: make(map[string]uint64),
	}
	var group replicator.Group
	for i := range size {
		k := &keeper{name: fmt.Sprint("keeper-", i+1), files: recorder.NewMemory()}
		f.keepers = append(f.keepers, k)
		f.start(k)
		group = append(group, replicator.Replica{ID: k.driver.Identity(), Name: k.name, Role: replicator.Voter})
	}
	if err := f.keepers[0].driver.Found(f.now, group); err != nil {
		f.fail("found: %w", err)
	}
	return f
}

func (f *fleet) fail(format string, values ...any) {
	if f.problem == nil {
		f.problem = fmt.Errorf(format, values...)
	}
}

// Send is the drivers' transport.
func (f *fleet) Send(messages []replicator.Message) {
	for _, message := range messages {
		if f.lossy && f.random.IntN(30) == 0 {
			continue
		}
		delay := time.Duration(f.random.Int64N(int64(5 * time.Millisecond)))
		if f.lossy && f.random.IntN(20) == 0 {
			delay = time.Duration(f.random.Int64N(int64(400 * time.Millisecond)))
		}
		f.network = append(f.network, packet{message: message, due: f.now.Add(delay)})
	}
}

func (f *fleet) start(k *keeper) {
	k.life++
	opened, err := driver.Open(driver.Config{
		Files: k.files, Limits: recorder.Limits{SegmentBytes: 1000, ReserveBytes: 1000},
		Transport: f, Random: rand.New(rand.NewPCG(f.random.Uint64(), 1)),
		Mint:            func() replicator.ID { f.nextID++; return f.nextID },
		SnapshotEntries: 5 + f.random.IntN(20),
	}, f.now)
	if err != nil {
		f.stop(k, err)
		return
	}
	k.driver, k.written, k.reached = opened, nil, 0
}

// stop is the end of a keeper's process. Only injected faults may cause it.
func (f *fleet) stop(k *keeper, err error) {
	if !errors.Is(err, recorder.ErrFailed) && !errors.Is(err, recorder.ErrUnusable) &&
		!errors.Is(err, recorder.ErrFull) && !errors.Is(err, recorder.ErrInjected) {
		f.fail("%s stopped: %w", k.name, err)
	}
	f.crash(k)
}

func (f *fleet) crash(k *keeper) {
	k.driver = nil
	k.files.Crash(f.random)
}

func (f *fleet) flush(k *keeper) {
	if k.driver == nil {
		return
	}
	err := k.driver.Flush(f.now)
	if err == nil && k.written == nil {
		k.written, err = k.driver.TakeSnapshot()
	}
	if err == nil && k.written != nil && f.random.IntN(3) == 0 {
		err = k.driver.SnapshotWritten(k.written, k.written.Write())
		k.written = nil
	}
	if err != nil {
		f.stop(k, err)
		return
	}
	revision := k.driver.State().Configuration().Revision()
	if revision < k.reached {
		f.fail("revision at %s went from %d to %d", k.name, k.reached, revision)
	}
	k.reached = revision
}

func (f *fleet) pass(step time.Duration) {
	f.now = f.now.Add(step)
	var due, later []packet
	for _, at := range f.network {
		if at.due.After(f.now) {
			later = append(later, at)
			continue
		}
		due = append(due, at)
	}
	f.network = later
	f.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, at := range due {
		for _, k := range f.keepers {
			if k.driver != nil && k.driver.Identity() == at.message.To {
				k.driver.Receive(f.now, []replicator.Message{at.message})
			}
		}
	}
	for _, k := range f.keepers {
		if k.driver != nil {
			k.driver.Tick(f.now)
			f.flush(k)
		}
	}
}

// act lets one random thing happen.
func (f *fleet) act() {
	f.pass(time.Duration(f.random.Int64N(int64(40 * time.Millisecond))))
	k := f.keepers[f.random.IntN(len(f.keepers))]
	switch f.random.IntN(80) {
	case 0:
		f.crash(k)
	case 1, 2, 3, 11, 12, 13, 14:
		if k.driver == nil {
			f.start(k)
		}
	case 4:
		k.files.FailAfter = f.random.IntN(30)
	case 5:
		k.files.FailSyncs = true
	case 6:
		used := int64(1)
		for _, name := range names(k.files) {
			data, _ := k.files.Read(name)
			used += int64(len(data))
		}
		k.files.Capacity = used + 1000 + f.random.Int64N(500)
	case 7, 8, 15, 16:
		k.files.Capacity = 0
	case 9:
		f.lossy = !f.lossy
	case 10:
		if k.driver != nil {
			k.driver.Transfer(f.now)
		}
	default:
		for range f.random.IntN(5) {
			f.ask(k)
		}
	}
	f.flush(k)
}

func names(files *recorder.Memory) []string {
	listed, _ := files.List()
	return listed
}

// ask lets a client ask a keeper for a key or a change, new or again.
func (f *fleet) ask(k *keeper) {
	if k.driver == nil {
		return
	}
	f.next++
	if f.random.IntN(2) == 0 {
		entry := &messenger.ClaimEntry{
			Workspace: "club", Key: fmt.Sprint("key-", f.random.IntN(1+f.next/4)), Owner: fmt.Sprint("owner-", f.next),
		}
		command := &messenger.Command{Claim: &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{entry}}}
		k.driver.Propose(f.now, command, func(result applier.Result, err error) {
			if err == nil && result.Claims[0].GetOutcome() == messenger.ClaimOutcome_CLAIM_GRANTED {
				f.grant(entry)
			}
		})
		return
	}
	id := fmt.Sprint("change-", f.random.IntN(1+f.next/2))
	change := describer.Change{ID: id, Edits: []describer.Edit{{
		Object: describer.Object{Kind: describer.Endpoint, Name: fmt.Sprint("endpoint-", f.random.IntN(5))},
		Check:  f.random.IntN(3) == 0, Version: 1 << 40, // which no object has
	}}}
	known := f.highest
	k.driver.Change(f.now, change, false, func(result configurer.Result, err error) {
		switch {
		case err != nil:
		case result.Outcome == configurer.Moved:
			f.fail("change %s has no answer", id)
		case result.Outcome == configurer.Accepted:
			f.accept(id, result)
		case result.Revision < known:
			f.fail("a conflict was found on revision %d although %d had been accepted", result.Revision, known)
		}
	})
}

func (f *fleet) grant(entry *messenger.ClaimEntry) {
	if owner, found := f.granted[entry.GetKey()]; found && owner != entry.GetOwner() {
		f.fail("key %s was granted to %s and to %s", entry.GetKey(), owner, entry.GetOwner())
	}
	f.granted[entry.GetKey()] = entry.GetOwner()
}

func (f *fleet) accept(id string, result configurer.Result) {
	if revision, found := f.accepted[id]; found && revision != result.Revision {
		f.fail("change %s was accepted as revision %d and as %d", id, revision, result.Revision)
	}
	f.accepted[id] = result.Revision
	f.highest = max(f.highest, result.Revision)
}

func (f *fleet) leader() *keeper {
	for _, k := range f.keepers {
		if k.driver == nil {
			continue
		}
		if status := k.driver.Status(f.now); status.State == replicator.Leader && status.Quorum {
			return k
		}
	}
	return nil
}

// settle mends everything and checks that all keepers reach the same state,
// with everything in it that a client was told.
func (f *fleet) settle() {
	f.lossy = false
	for _, k := range f.keepers {
		f.crash(k)
		k.files.Capacity = 0
		f.start(k)
	}
	for end := f.now.Add(settleTime); f.now.Before(end) && f.problem == nil; {
		f.pass(20 * time.Millisecond)
		if f.whole() {
			f.checkAnswers(f.leader().driver)
			return
		}
	}
	f.fail("the group did not recover within %s:%s", settleTime, f.describe())
}

func (f *fleet) describe() string {
	var text strings.Builder
	for _, k := range f.keepers {
		fmt.Fprintf(&text, "\n%s life %d", k.name, k.life)
		if k.driver != nil {
			fmt.Fprintf(&text, " applied %d: %+v", k.driver.Applied(), k.driver.Status(f.now))
		}
	}
	return text.String()
}

func (f *fleet) whole() bool {
	leader := f.leader()
	if leader == nil {
		return false
	}
	for _, k := range f.keepers {
		if k.driver == nil || k.driver.Applied() != leader.driver.Status(f.now).Last.Index {
			return false
		}
	}
	want, err := leader.driver.State().Encode()
	if err != nil {
		f.fail("encode: %w", err)
	}
	for _, k := range f.keepers {
		if got, err := k.driver.State().Encode(); err != nil || string(got) != string(want) {
			f.fail("%s and %s differ: %w", k.name, leader.name, err)
		}
	}
	return true
}

func (f *fleet) checkAnswers(leader *driver.Driver) {
	for id, revision := range f.accepted {
		again := leader.State().Configuration().Check(describer.Change{ID: id})
		if !again.Resent || again.Revision != revision {
			f.fail("change %s was accepted as revision %d and is now %+v", id, revision, again)
		}
	}
	for key, owner := range f.granted {
		f.probe(leader, key, owner)
	}
}

// probe claims a key once more and expects that it is spent.
func (f *fleet) probe(leader *driver.Driver, key, owner string) {
	answered := false
	leader.Propose(f.now, &messenger.Command{Claim: &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{
		{Workspace: "club", Key: key, Owner: owner + " again"},
	}}}, func(result applier.Result, err error) {
		answered = true
		if err != nil || result.Claims[0].GetOutcome() != messenger.ClaimOutcome_CLAIM_SPENT {
			f.fail("key %s was granted and is now %v, %w", key, result.Claims, err)
		}
	})
	for range 50 {
		if answered {
			return
		}
		f.pass(10 * time.Millisecond)
	}
	f.fail("no answer about key %s", key)
}

func fromEnv(t *testing.T, name string, standard int) int {
	text := os.Getenv(name)
	if text == "" {
		return standard
	}
	number, err := strconv.Atoi(text)
	require.NoError(t, err)
	return number
}

// TestRandomWalk: the symptoms would be a keeper that doesn't start, states that
// differ, or an answer that does not hold. The events are any sequence of
// crashes at every disk operation, torn and lost writes, failed syncs, full
// disks, lost and late messages, and handovers, with snapshots and installs
// going on all the time.
func TestRandomWalk(t *testing.T) {
	t.Parallel()
	seeds, first := fromEnv(t, seedsEnv, seedsInCI), fromEnv(t, firstSeedEnv, 0)
	var next, answered atomic.Int64
	var group sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		group.Go(func() {
			for !t.Failed() {
				seed := next.Add(1) - 1
				if seed >= int64(seeds) {
					return
				}
				f := newFleet(uint64(int64(first)+seed), 1+2*int(seed%3))
				for range steps {
					if f.act(); f.problem != nil {
						break
					}
				}
				if f.problem == nil {
					f.settle()
				}
				answered.Add(int64(len(f.granted) + len(f.accepted)))
				if f.problem != nil {
					t.Errorf("seed %d: %v", int64(first)+seed, f.problem)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d seeds, %d accepted changes and claims", seeds, answered.Load())
	require.Greater(t, answered.Load(), int64(seeds))
}
