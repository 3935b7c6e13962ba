package faults

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/reporter"
)

const (
	changeTimeout = 2 * time.Second
	// inForceLimit is "within seconds".
	inForceLimit = 10 * time.Second
	manyChanges  = 600
	races        = 60
)

func changeCells() []cell {
	return []cell{
		{fault: "racing operators", step: "equal versions", run: raceOperators},
		{fault: "lost answer", step: "a change resent to another router", run: resentChange},
		{fault: "restart of everything", step: "after hundreds of changes", run: restartAll},
	}
}

// changes makes changes of one workspace object after the other and remembers
// what was accepted.
type changes struct {
	bed      *bed
	number   int
	accepted map[string]uint64 // revision by change id
	last     map[string]string // last accepted value of each object's label
	highest  map[string]uint64 // highest revision that each router has shown
}

func newChanges(b *bed) *changes {
	return &changes{bed: b, accepted: make(map[string]uint64), last: make(map[string]string), highest: make(map[string]uint64)}
}

// run makes changes until the time is over.
func (c *changes) run(lasts time.Duration) error {
	until := time.Now().Add(lasts)
	for time.Now().Before(until) {
		if err := c.one(); err != nil {
			return err
		}
	}
	return nil
}

// one makes a change and sends it to one router after the other, with the same
// id, until one says what became of it.
func (c *changes) one() error {
	c.number++
	id := changeID(c.number)
	name := fmt.Sprintf("club-prova-%d", c.number%5)
	value := fmt.Sprintf("v%d", c.number)
	change := describer.Change{ID: id, Author: "faults", Edits: []describer.Edit{{Object: describer.Object{
		Kind: describer.Workspace, Name: name, Labels: labeler.Labels{"round": value},
	}}}}
	revision, err := c.bed.settle(change, c.number)
	if err != nil {
		return err
	}
	if twice, known := c.accepted[id]; known {
		return merry.Errorf("%w: change %s was accepted as revisions %d and %d", ErrCell, id, twice, revision)
	}
	c.accepted[id] = revision
	c.last[name] = value
	return c.look()
}

// settle resends a change until it is accepted.
func (b *bed) settle(change describer.Change, first int) (uint64, error) {
	routers := b.fleet.Of(launcher.Router)
	said := ""
	for attempt := range 200 {
		router := routers[(first+attempt)%len(routers)]
		if !router.Running() {
			continue
		}
		ctx, cancel := context.WithTimeout(b.ctx, changeTimeout)
		status, applied, err := router.Change(ctx, change)
		cancel()
		switch {
		case err == nil && status == http.StatusOK && applied.Revision > 0:
			return applied.Revision, nil
		case status == http.StatusConflict || status == http.StatusUnprocessableEntity:
			return 0, merry.Errorf("%w: change %s got status %d: %v", ErrCell, change.ID, status, applied.Findings)
		}
		said = fmt.Sprint(status, " ", err)
		b.sleep(50 * time.Millisecond)
	}
	return 0, merry.Errorf("%w: change %s was never answered: %s", ErrCell, change.ID, said)
}

// look fails if a router shows a lower revision than it has shown before.
func (c *changes) look() error {
	for _, router := range c.bed.fleet.Of(launcher.Router) {
		if !router.Running() {
			continue
		}
		ctx, cancel := context.WithTimeout(c.bed.ctx, changeTimeout)
		var objects reporter.Objects
		err := router.Admin(ctx, "/admin/objects", &objects)
		cancel()
		if err != nil {
			continue
		}
		if objects.Revision < c.highest[router.Name] {
			return merry.Errorf("%w: %s went back from revision %d to %d", ErrCell, router.Name, c.highest[router.Name], objects.Revision)
		}
		c.highest[router.Name] = objects.Revision
	}
	return nil
}

// check waits until every router shows the last accepted values, and checks
// that every accepted change is in the history once.
func (c *changes) check() error {
	took, err := c.bed.await(inForceLimit, "every router's taking over of the last change", func() bool {
		for _, router := range c.bed.fleet.Of(launcher.Router) {
			if router.Running() && !c.shown(router) {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	c.bed.note("%d changes accepted, in force everywhere after %v", len(c.accepted), took.Round(time.Millisecond))
	if err := c.look(); err != nil {
		return err
	}
	return c.history()
}

func (c *changes) shown(router *launcher.Node) bool {
	var objects reporter.Objects
	if router.Admin(c.bed.ctx, "/admin/objects", &objects) != nil {
		return false
	}
	for name, value := range c.last {
		at := slices.IndexFunc(objects.Objects, func(o describer.Object) bool { return o.Name == name })
		if at < 0 || objects.Objects[at].Labels["round"] != value {
			return false
		}
	}
	return true
}

func (c *changes) history() error {
	seen := make(map[string]uint64)
	var before uint64
	for {
		var page reporter.History
		path := fmt.Sprintf("/admin/history?limit=100&before=%d", before)
		if err := c.running().Admin(c.bed.ctx, path, &page); err != nil {
			return err
		}
		if len(page.Revisions) == 0 {
			break
		}
		for _, revision := range page.Revisions {
			if first, twice := seen[revision.Change]; twice {
				return merry.Errorf("%w: change %s is in the history as %d and %d", ErrCell, revision.Change, first, revision.Revision)
			}
			seen[revision.Change] = revision.Revision
			before = revision.Revision
		}
		if before <= 1 {
			break
		}
	}
	for id, revision := range c.accepted {
		if seen[id] != revision {
			return merry.Errorf("%w: change %s was accepted as revision %d, and the history says %d", ErrCell, id, revision, seen[id])
		}
	}
	return nil
}

func (c *changes) running() *launcher.Node {
	for _, router := range c.bed.fleet.Of(launcher.Router) {
		if router.Running() {
			return router
		}
	}
	return c.bed.fleet.Of(launcher.Router)[0]
}

// raceOperators: two operators who saw the same version edit one object at the
// same time through different routers. One wins, the other is shown how.
func raceOperators(b *bed) error {
	routers := b.fleet.Of(launcher.Router)
	object := func(value string) describer.Object {
		return describer.Object{Kind: describer.Workspace, Name: "club-gara", Labels: labeler.Labels{"round": value}}
	}
	var version uint64 // that both operators have seen; 0 says that there is no such object
	for i := range races {
		var edits sync.WaitGroup
		statuses := make([]int, 2)
		answers := make([]reporter.Applied, 2)
		for j := range 2 {
			edits.Go(func() {
				change := describer.Change{ID: fmt.Sprintf("race-%d-%d", i, j), Edits: []describer.Edit{
					{Object: object(fmt.Sprintf("v%d-%d", i, j)), Check: true, Version: version},
				}}
				statuses[j], answers[j], _ = routers[(i+j)%len(routers)].Change(b.ctx, change)
			})
		}
		edits.Wait()
		winner, err := oneWinner(i, statuses, answers)
		if err != nil {
			return err
		}
		version = winner.Version
	}
	b.note("%d races, one winner each", races)
	return nil
}

// oneWinner returns the winner as the loser was shown it.
func oneWinner(round int, statuses []int, answers []reporter.Applied) (describer.Object, error) {
	winner := slices.Index(statuses, http.StatusOK)
	loser := slices.Index(statuses, http.StatusConflict)
	if winner < 0 || loser < 0 {
		return describer.Object{}, merry.Errorf("%w: race %d ended with statuses %v", ErrCell, round, statuses)
	}
	want := fmt.Sprintf("v%d-%d", round, winner)
	winners := answers[loser].Winners
	if len(winners) != 1 || winners[0].Labels["round"] != want {
		return describer.Object{}, merry.Errorf("%w: race %d: the loser was shown %v and not %s", ErrCell, round, winners, want)
	}
	return winners[0], nil
}

// resentChange: the answer to a change is lost, and the operator sends it
// again through another router after somebody else has changed the same object.
func resentChange(b *bed) error {
	routers := b.fleet.Of(launcher.Router)
	edit := func(id, value string) describer.Change {
		return describer.Change{ID: id, Edits: []describer.Edit{{Object: describer.Object{
			Kind: describer.Workspace, Name: "club-prova", Labels: labeler.Labels{"round": value},
		}}}}
	}
	for i := range 20 {
		first := edit(fmt.Sprintf("resent-%d", i), fmt.Sprintf("first-%d", i))
		revision, err := b.settle(first, i)
		if err != nil {
			return err
		}
		if _, err := b.settle(edit(fmt.Sprintf("between-%d", i), fmt.Sprintf("later-%d", i)), i); err != nil {
			return err
		}
		status, applied, err := routers[(i+1)%len(routers)].Change(b.ctx, first)
		if err != nil || status != http.StatusOK || applied.Revision != revision || !applied.Resent {
			return merry.Errorf("%w: the resend got status %d, revision %d, resent %v, error %v; the first answer was revision %d",
				ErrCell, status, applied.Revision, applied.Resent, err, revision)
		}
		var objects reporter.Objects
		_, err = b.await(inForceLimit, "the later change", func() bool {
			err := routers[0].Admin(b.ctx, "/admin/objects", &objects)
			return err == nil && slices.ContainsFunc(objects.Objects, func(o describer.Object) bool {
				return o.Name == "club-prova" && o.Labels["round"] == fmt.Sprintf("later-%d", i)
			})
		})
		if err != nil {
			return merry.Errorf("%w; the resend took the later change back", err)
		}
	}
	b.note("20 resends, each the first answer")
	return nil
}

// restartAll: every process of the system is killed after hundreds of changes
// and started again.
func restartAll(b *bed) error {
	log := newChanges(b)
	for range manyChanges {
		if err := log.one(); err != nil {
			return err
		}
	}
	for _, role := range []launcher.Role{launcher.Router, launcher.Keeper} {
		for _, node := range b.fleet.Of(role) {
			node.Process().Kill()
		}
	}
	began := time.Now()
	for _, role := range []launcher.Role{launcher.Keeper, launcher.Router} {
		for _, node := range b.fleet.Of(role) {
			if err := node.Start(); err != nil {
				return err
			}
		}
	}
	if err := b.fleet.AwaitReady(b.ctx); err != nil {
		return err
	}
	b.note("all ready after %v", time.Since(began).Round(time.Millisecond))
	clear(log.highest)
	if err := log.check(); err != nil {
		return err
	}
	_, err := b.answers(zoneA, startLimit)
	return err
}
