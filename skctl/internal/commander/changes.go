package commander

import (
	"fmt"
	"io"
	"maps"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/skctl/internal/printer"
)

// changeFlags are the flags of every command that changes objects.
type changeFlags struct {
	Change  string        `long:"change" value-name:"ID" description:"change id; the same id is applied once, however often it is sent"`
	DryRun  bool          `long:"dry-run" description:"validate only"`
	Wait    bool          `long:"wait" description:"return when the change is in force at every live router"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long --wait waits"`
}

// submit sends the edits as one change and prints the findings and the outcome.
// With --wait it returns once the change is in force at every live router.
func (c *Commander) submit(flags changeFlags, edits []describer.Edit) error {
	change := describer.Change{ID: flags.Change, Author: c.global.Author, Edits: edits}
	if change.ID == "" {
		change.ID = c.NewID()
	}
	if !flags.DryRun {
		c.printProgress("change %s (repeat with --change %s if no answer comes)", change.ID, change.ID)
	}
	applied, err := c.requester().Apply(background(), change, flags.DryRun)
	if err != nil {
		return err
	}
	printer.Findings(c.Err, applied.Findings)
	if err := c.printer().Print(applied, appliedTable(applied, flags.DryRun)); err != nil {
		return err
	}
	switch applied.Outcome {
	case reporter.Invalid:
		return merry.Errorf("%w: see the findings above", errInvalid)
	case reporter.Conflict:
		return merry.Errorf("%w: look at the values above, then run the command again without --change", errConflict)
	}
	if flags.Wait && !flags.DryRun {
		return c.wait(applied.Revision, flags.Timeout)
	}
	return nil
}

func appliedTable(applied reporter.Applied, dryRun bool) func(io.Writer) {
	return func(w io.Writer) {
		switch {
		case applied.Outcome == reporter.Conflict:
			fmt.Fprintln(w, "in force is:")
			printer.Objects(applied.Winners)(w)
		case dryRun:
			fmt.Fprintln(w, applied.Outcome+" (dry run, nothing changed)")
		case applied.Resent:
			fmt.Fprintf(w, "%s earlier as revision %d\n", applied.Outcome, applied.Revision)
		default:
			fmt.Fprintf(w, "%s as revision %d\n", applied.Outcome, applied.Revision)
		}
	}
}

// pollInterval is the pause between two requests of --wait and of watch.
const pollInterval = 200 * time.Millisecond

// wait polls the fleet's status until the revision is in force at every live
// router. When the timeout expires, its error names the lagging routers.
func (c *Commander) wait(revision uint64, timeout time.Duration) error {
	deadline := c.Clock.Now().Add(timeout)
	lastProgress := ""
	for {
		lagging, total, err := c.laggingRouters(revision)
		if err == nil && len(lagging) == 0 && total > 0 {
			c.printProgress("in force at all %d routers", total)
			return nil
		}
		if c.Clock.Now().After(deadline) {
			if err != nil {
				return err
			}
			return merry.Errorf("%w: waiting for %s; see skctl status", errLagging, strings.Join(lagging, ", "))
		}
		progress := fmt.Sprintf("in force at %d of %d routers", total-len(lagging), total)
		if err == nil && progress != lastProgress {
			c.printProgress("%s", progress)
			lastProgress = progress
		}
		c.Clock.Sleep(pollInterval)
	}
}

// laggingRouters returns the routers that have an earlier revision in force, and
// the number of live routers.
func (c *Commander) laggingRouters(revision uint64) (names []string, total int, err error) {
	status, err := c.requester().Status(background())
	if err != nil {
		return nil, 0, err
	}
	for _, router := range status.Routers {
		if router.InForce < revision {
			names = append(names, router.Name)
		}
	}
	return names, len(status.Routers), nil
}

type apply struct {
	changeFlags
	Prune bool `long:"prune" description:"delete objects that the files do not hold"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command.
func (a *apply) Execute([]string) error {
	differences, err := a.commander.differences(a.Args.Files, a.Prune)
	if err != nil {
		return err
	}
	if len(differences) == 0 {
		a.commander.printProgress("nothing to change")
		return nil
	}
	return a.commander.submit(a.changeFlags, describer.Edits(differences))
}

// differences compares the objects of files with the configuration in force.
// With prune, objects that the files do not contain count as deleted.
func (c *Commander) differences(files []string, prune bool) ([]describer.Difference, error) {
	wanted, err := c.readObjects(files)
	if err != nil {
		return nil, err
	}
	current, err := c.requester().Objects(background(), 0)
	if err != nil {
		return nil, err
	}
	return describer.Diff(current.Objects, wanted, prune), nil
}

type diff struct {
	Prune bool `long:"prune" description:"show deletions of objects that the files do not hold"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command.
func (d *diff) Execute([]string) error {
	differences, err := d.commander.differences(d.Args.Files, d.Prune)
	if err != nil {
		return err
	}
	if err := d.commander.printer().Print(differences, printer.Differences(differences)); err != nil {
		return err
	}
	if len(differences) > 0 {
		return merry.Errorf("%w: %d objects", errDiffers, len(differences))
	}
	return nil
}

type objectArgs struct {
	Kind describer.Kind `positional-arg-name:"KIND" required:"yes"`
	Name string         `positional-arg-name:"NAME" required:"yes"`
}

type remove struct {
	changeFlags
	Args      objectArgs `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command.
func (r *remove) Execute([]string) error {
	before, found, err := r.commander.findObject(describer.Key(r.Args))
	if err != nil {
		return err
	}
	if !found {
		return merry.Errorf("%s %s does not exist; see skctl get %s", r.Args.Kind, r.Args.Name, r.Args.Kind)
	}
	deletion := describer.Difference{Key: before.Key(), Before: &before}
	return r.commander.submit(r.changeFlags, describer.Edits([]describer.Difference{deletion}))
}

// findObject returns the object in force. If it does not exist, found is false and
// the object carries only the kind and the name.
func (c *Commander) findObject(key describer.Key) (object describer.Object, found bool, err error) {
	current, err := c.requester().Objects(background(), 0)
	if err != nil {
		return describer.Object{}, false, err
	}
	for _, candidate := range current.Objects {
		if candidate.Key() == key {
			return candidate, true, nil
		}
	}
	return describer.Object{Kind: key.Kind, Name: key.Name}, false, nil
}

type label struct {
	changeFlags
	Args struct {
		Kind   describer.Kind `positional-arg-name:"KIND" required:"yes"`
		Name   string         `positional-arg-name:"NAME" required:"yes"`
		Labels []string       `positional-arg-name:"KEY=VALUE|KEY-" required:"1"`
	} `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command.
func (l *label) Execute([]string) error {
	return l.commander.relabel(l.changeFlags, describer.Key{Kind: l.Args.Kind, Name: l.Args.Name}, l.Args.Labels)
}

// relabel sets the labels given as key=value and removes those given as key-.
// An object that does not exist is created.
func (c *Commander) relabel(flags changeFlags, key describer.Key, labels []string) error {
	before, found, err := c.findObject(key)
	if err != nil {
		return err
	}
	after := before
	after.Labels = maps.Clone(before.Labels)
	if after.Labels == nil {
		after.Labels = make(labeler.Labels)
	}
	for _, argument := range labels {
		if err := setLabel(after.Labels, argument); err != nil {
			return err
		}
	}
	difference := describer.Difference{Key: key, After: &after}
	if found {
		difference.Before = &before
	}
	if found && describer.Equivalent(before, after) {
		c.printProgress("nothing to change")
		return nil
	}
	return c.submit(flags, describer.Edits([]describer.Difference{difference}))
}

func setLabel(labels labeler.Labels, argument string) error {
	if key, removed := strings.CutSuffix(argument, "-"); removed && !strings.Contains(argument, "=") {
		delete(labels, key)
		return nil
	}
	key, value, found := strings.Cut(argument, "=")
	if !found {
		return merry.Errorf("%q is no label; write key=value, or key- to remove one", argument)
	}
	labels[key] = value
	return nil
}

type drain struct {
	changeFlags
	Undo bool `long:"undo" description:"let new work go there again"`
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"yes"`
	} `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command. An endpoint drains as long as it carries the drain
// label.
func (d *drain) Execute([]string) error {
	argument := describer.LabelDrain + "=" + describer.Yes
	if d.Undo {
		argument = describer.LabelDrain + "-"
	}
	key := describer.Key{Kind: describer.Endpoint, Name: d.Args.Endpoint}
	return d.commander.relabel(d.changeFlags, key, []string{argument})
}

type rollback struct {
	changeFlags
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command. The objects of the earlier revision are restored by
// a new change with a new revision, so that revisions never decrease anywhere.
func (r *rollback) Execute([]string) error {
	earlier, err := r.commander.requester().Objects(background(), r.Args.Revision)
	if err != nil {
		return err
	}
	current, err := r.commander.requester().Objects(background(), 0)
	if err != nil {
		return err
	}
	differences := describer.Diff(current.Objects, earlier.Objects, true)
	if len(differences) == 0 {
		r.commander.printProgress("nothing to change")
		return nil
	}
	return r.commander.submit(r.changeFlags, describer.Edits(differences))
}
