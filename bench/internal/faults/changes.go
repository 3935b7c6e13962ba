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
	// inForceTimeout bounds how long an accepted change may take to be in force on
	// every router.
	inForceTimeout = 10 * time.Second
	changeCount    = 600
	raceCount      = 60
)

func changeCells() []cell {
	return []cell{
		{fault: "racing operators", step: "equal versions", run: raceOperators},
		{fault: "lost answer", step: "a change resent to another router", run: resentChange},
		{fault: "restart of everything", step: "after hundreds of changes", run: restartAll},
	}
}

// changeMaker changes workspace objects in rotation and records the accepted
// changes, so that they can be checked against what the routers show.
type changeMaker struct {
	bed             *testbed
	number          int               // of the last change
	accepted        map[string]uint64 // revision by change id
	lastValue       map[string]string // last accepted value of each object's label
	highestRevision map[string]uint64 // highest revision shown so far, by router name
}

func newChangeMaker(b *testbed) *changeMaker {
	return &changeMaker{bed: b, accepted: make(map[string]uint64), lastValue: make(map[string]string), highestRevision: make(map[string]uint64)}
}

// run makes changes for the given time.
func (c *changeMaker) run(duration time.Duration) error {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		if err := c.makeChange(); err != nil {
			return err
		}
	}
	return nil
}

// makeChange makes a change and sends it to one router after the other, with the
// same id, until one reports its outcome. It fails if a change is accepted twice
// or a router shows an older revision than before.
func (c *changeMaker) makeChange() error {
	c.number++
	id := changeID(c.number)
	name := fmt.Sprintf("club-prova-%d", c.number%5)
	value := fmt.Sprintf("v%d", c.number)
	change := describer.Change{ID: id, Author: "faults", Edits: []describer.Edit{{Object: describer.Object{
		Kind: describer.Workspace, Name: name, Labels: labeler.Labels{"round": value},
	}}}}
	revision, err := c.bed.resendUntilAccepted(change, c.number)
	if err != nil {
		return err
	}
	if earlier, found := c.accepted[id]; found {
		return merry.Errorf("%w: change %s was accepted as revisions %d and %d", ErrCell, id, earlier, revision)
	}
	c.accepted[id] = revision
	c.lastValue[name] = value
	return c.checkRevisions()
}

// resendUntilAccepted sends a change to the running routers in rotation, from the
// index first on, until it is accepted, and returns its revision. A rejection is
// an error; any other answer, or none, leads to a retry.
func (b *testbed) resendUntilAccepted(change describer.Change, first int) (uint64, error) {
	routers := b.fleet.Of(launcher.Router)
	lastAnswer := ""
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
		lastAnswer = fmt.Sprint(status, " ", err)
		b.sleep(50 * time.Millisecond)
	}
	return 0, merry.Errorf("%w: change %s was never answered: %s", ErrCell, change.ID, lastAnswer)
}

// checkRevisions fails if a router shows a lower revision than it has shown before.
// Routers that do not answer are skipped.
func (c *changeMaker) checkRevisions() error {
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
		if objects.Revision < c.highestRevision[router.Name] {
			return merry.Errorf("%w: %s went back from revision %d to %d", ErrCell, router.Name, c.highestRevision[router.Name], objects.Revision)
		}
		c.highestRevision[router.Name] = objects.Revision
	}
	return nil
}

// check waits until every running router shows the last accepted values, and
// checks that the history holds every accepted change exactly once.
func (c *changeMaker) check() error {
	took, err := c.bed.await(inForceTimeout, "every router's taking over of the last change", func() bool {
		for _, router := range c.bed.fleet.Of(launcher.Router) {
			if router.Running() && !c.showsLastValues(router) {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	c.bed.addFigure("%d changes accepted, in force everywhere after %v", len(c.accepted), took.Round(time.Millisecond))
	if err := c.checkRevisions(); err != nil {
		return err
	}
	return c.checkHistory()
}

// showsLastValues reports whether a router shows the last accepted value of every object.
func (c *changeMaker) showsLastValues(router *launcher.Node) bool {
	var objects reporter.Objects
	if router.Admin(c.bed.ctx, "/admin/objects", &objects) != nil {
		return false
	}
	for name, value := range c.lastValue {
		at := slices.IndexFunc(objects.Objects, func(o describer.Object) bool { return o.Name == name })
		if at < 0 || objects.Objects[at].Labels["round"] != value {
			return false
		}
	}
	return true
}

// checkHistory pages through the history and fails if a change is in it twice, or
// if an accepted change is missing or has another revision.
func (c *changeMaker) checkHistory() error {
	seen := make(map[string]uint64)
	var before uint64
	for {
		var page reporter.History
		path := fmt.Sprintf("/admin/history?limit=100&before=%d", before)
		if err := c.runningRouter().Admin(c.bed.ctx, path, &page); err != nil {
			return err
		}
		if len(page.Revisions) == 0 {
			break
		}
		for _, revision := range page.Revisions {
			if first, found := seen[revision.Change]; found {
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

// runningRouter returns the first running router, and the first of all if none runs.
func (c *changeMaker) runningRouter() *launcher.Node {
	for _, router := range c.bed.fleet.Of(launcher.Router) {
		if router.Running() {
			return router
		}
	}
	return c.bed.fleet.Of(launcher.Router)[0]
}

// raceOperators: two operators edit one object at the same time through different
// routers, both on the basis of the same version. Exactly one edit is accepted;
// the answer to the other one shows the winning object.
func raceOperators(b *testbed) error {
	routers := b.fleet.Of(launcher.Router)
	object := func(value string) describer.Object {
		return describer.Object{Kind: describer.Workspace, Name: "club-gara", Labels: labeler.Labels{"round": value}}
	}
	var version uint64 // on which both edits are based; 0 means that the object does not exist yet
	for i := range raceCount {
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
		winner, err := raceWinner(i, statuses, answers)
		if err != nil {
			return err
		}
		version = winner.Version
	}
	b.addFigure("%d races, one winner each", raceCount)
	return nil
}

// raceWinner checks that one edit was accepted and the other got a conflict, and
// returns the winning object from the answer to the losing edit.
func raceWinner(round int, statuses []int, answers []reporter.Applied) (describer.Object, error) {
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

// resentChange: the answer to a change is lost, and the operator resends it
// through another router after another operator has changed the same object. The
// resend gets the first answer and does not undo the later change.
func resentChange(b *testbed) error {
	routers := b.fleet.Of(launcher.Router)
	edit := func(id, value string) describer.Change {
		return describer.Change{ID: id, Edits: []describer.Edit{{Object: describer.Object{
			Kind: describer.Workspace, Name: "club-prova", Labels: labeler.Labels{"round": value},
		}}}}
	}
	for i := range 20 {
		first := edit(fmt.Sprintf("resent-%d", i), fmt.Sprintf("first-%d", i))
		revision, err := b.resendUntilAccepted(first, i)
		if err != nil {
			return err
		}
		if _, err := b.resendUntilAccepted(edit(fmt.Sprintf("between-%d", i), fmt.Sprintf("later-%d", i)), i); err != nil {
			return err
		}
		status, applied, err := routers[(i+1)%len(routers)].Change(b.ctx, first)
		if err != nil || status != http.StatusOK || applied.Revision != revision || !applied.Resent {
			return merry.Errorf("%w: the resend got status %d, revision %d, resent %v, error %v; the first answer was revision %d",
				ErrCell, status, applied.Revision, applied.Resent, err, revision)
		}
		var objects reporter.Objects
		_, err = b.await(inForceTimeout, "the later change", func() bool {
			err := routers[0].Admin(b.ctx, "/admin/objects", &objects)
			return err == nil && slices.ContainsFunc(objects.Objects, func(o describer.Object) bool {
				return o.Name == "club-prova" && o.Labels["round"] == fmt.Sprintf("later-%d", i)
			})
		})
		if err != nil {
			return merry.Errorf("%w; the resend took the later change back", err)
		}
	}
	b.addFigure("20 resends, each the first answer")
	return nil
}

// restartAll: all keepers and routers are killed after hundreds of changes and
// started again. Every accepted change is in force afterwards.
func restartAll(b *testbed) error {
	maker := newChangeMaker(b)
	for range changeCount {
		if err := maker.makeChange(); err != nil {
			return err
		}
	}
	for _, role := range []launcher.Role{launcher.Router, launcher.Keeper} {
		for _, node := range b.fleet.Of(role) {
			node.Process().Kill()
		}
	}
	start := time.Now()
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
	b.addFigure("all ready after %v", time.Since(start).Round(time.Millisecond))
	clear(maker.highestRevision)
	if err := maker.check(); err != nil {
		return err
	}
	_, err := b.awaitAnswer(zoneA, startTimeout)
	return err
}
