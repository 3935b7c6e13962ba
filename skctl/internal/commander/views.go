package commander

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/skctl/internal/printer"
)

type get struct {
	Selector string `long:"selector" short:"l" value-name:"SELECTOR" description:"only objects whose labels match"`
	At       uint64 `long:"at" value-name:"REVISION" description:"as of an earlier revision"`
	Args     struct {
		Kind describer.Kind `positional-arg-name:"KIND" description:"workspace, service or endpoint; all if left out"`
		Name string         `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command.
func (g *get) Execute([]string) error {
	selector, err := labeler.Parse(g.Selector)
	if err != nil {
		return err
	}
	answer, err := g.commander.requester().Objects(background(), g.At)
	if err != nil {
		return err
	}
	answer.Objects = slices.DeleteFunc(answer.Objects, func(object describer.Object) bool {
		wrongKind := g.Args.Kind != "" && object.Kind != g.Args.Kind
		wrongName := g.Args.Name != "" && object.Name != g.Args.Name
		return wrongKind || wrongName || !selector.Matches(object.Labels)
	})
	describer.SortObjects(answer.Objects)
	if answer.Stale {
		g.commander.printProgress("may be stale: no quorum of keepers was reached")
	}
	if g.Args.Name != "" && len(answer.Objects) == 0 {
		return merry.Errorf("%s %s does not exist; see skctl get %s", g.Args.Kind, g.Args.Name, g.Args.Kind)
	}
	return g.commander.printer().Print(answer, printer.Objects(answer.Objects))
}

type history struct {
	Limit     int    `long:"limit" default:"20" description:"how many changes"`
	Before    uint64 `long:"before" value-name:"REVISION" description:"only earlier ones"`
	commander *Commander
}

// Execute runs the command.
func (h *history) Execute([]string) error {
	answer, err := h.commander.requester().History(background(), h.Before, h.Limit)
	if err != nil {
		return err
	}
	return h.commander.printer().Print(answer, printer.History(answer))
}

type status struct {
	commander *Commander
}

// Execute runs the command.
func (s *status) Execute([]string) error {
	answer, err := s.commander.requester().Status(background())
	if err != nil {
		return err
	}
	return s.commander.printer().Print(answer, printer.Status(answer))
}

type explain struct {
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"yes" description:"the X-Request-Id of an answer"`
	} `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command.
func (e *explain) Execute([]string) error {
	answer, err := e.commander.requester().Explain(background(), e.Args.Request)
	if err != nil {
		return err
	}
	return e.commander.printer().Print(answer, printer.Explanation(answer))
}

type quarantines struct {
	commander *Commander
}

// Execute runs the command.
func (q *quarantines) Execute([]string) error {
	answer, err := q.commander.requester().Quarantines(background())
	if err != nil {
		return err
	}
	if answer.Stale {
		q.commander.printProgress("may be stale: no quorum of keepers was reached")
	}
	return q.commander.printer().Print(answer, printer.Quarantines(answer))
}

type lift struct {
	Args struct {
		Feature string `positional-arg-name:"FEATURE" required:"yes" description:"as skctl quarantines lists it"`
	} `positional-args:"yes"`
	commander *Commander
}

// Execute runs the command.
func (l *lift) Execute([]string) error {
	if err := l.commander.requester().LiftQuarantine(background(), l.Args.Feature); err != nil {
		return err
	}
	l.commander.printProgress("lifted %s; it begins anew if endpoints crash again", l.Args.Feature)
	return nil
}

type watch struct {
	For       time.Duration `long:"for" value-name:"DURATION" description:"stop after this time; without it, until interrupted"`
	commander *Commander
}

// Execute runs the command. It polls the history and prints every change once,
// in order of revisions.
func (w *watch) Execute([]string) error {
	c := w.commander
	objects, err := c.requester().Objects(background(), 0)
	if err != nil {
		return err
	}
	lastShown := objects.Revision
	c.printProgress("watching from revision %d", lastShown)
	started := c.Clock.Now()
	for w.For == 0 || c.Clock.Since(started) < w.For {
		lastShown, err = w.printNew(lastShown)
		if err != nil {
			return err
		}
		c.Clock.Sleep(pollInterval)
	}
	return nil
}

// watchBatchSize is the number of changes that watch requests at a time.
const watchBatchSize = 100

// printNew prints the changes after revision lastShown and returns the newest
// revision that has been printed.
func (w *watch) printNew(lastShown uint64) (uint64, error) {
	fresh, err := w.changesAfter(lastShown)
	if err != nil || len(fresh.Revisions) == 0 {
		return lastShown, err
	}
	newest := fresh.Revisions[len(fresh.Revisions)-1].Revision
	return newest, w.commander.printer().Print(fresh, printer.History(fresh))
}

// changesAfter returns the changes after a revision, oldest first. It requests batches from the
// newest change back to that revision.
func (w *watch) changesAfter(lastShown uint64) (reporter.History, error) {
	var fresh reporter.History
	before := uint64(0)
	for {
		batch, err := w.commander.requester().History(background(), before, watchBatchSize)
		if err != nil {
			return reporter.History{}, err
		}
		for _, revision := range batch.Revisions {
			if revision.Revision <= lastShown {
				slices.Reverse(fresh.Revisions)
				return fresh, nil
			}
			fresh.Revisions = append(fresh.Revisions, revision)
			before = revision.Revision
		}
		if len(batch.Revisions) < watchBatchSize {
			slices.Reverse(fresh.Revisions)
			return fresh, nil
		}
	}
}

type digest struct {
	Args struct {
		Token string `positional-arg-name:"TOKEN" description:"the token; read from standard input if left out"`
	} `positional-args:"yes"`
	commander *Commander
}

const maxTokenBytes = 4096

// Execute runs the command.
func (d *digest) Execute([]string) error {
	token := d.Args.Token
	if token == "" {
		text, err := io.ReadAll(io.LimitReader(d.commander.In, maxTokenBytes))
		if err != nil {
			return merry.Wrap(err)
		}
		token = trimLineEnd(string(text))
	}
	if token == "" {
		return merry.New("the token is empty; give it as argument or on standard input")
	}
	fmt.Fprintln(d.commander.Out, matcher.Digest(token))
	return nil
}

func trimLineEnd(text string) string {
	for len(text) > 0 && (text[len(text)-1] == '\n' || text[len(text)-1] == '\r') {
		text = text[:len(text)-1]
	}
	return text
}

type completion struct {
	Args struct {
		Shell string `positional-arg-name:"SHELL" choice:"bash" default:"bash"`
	} `positional-args:"yes"`
	commander *Commander
}

// bashCompletion asks skctl itself for the completions, so that the script
// always matches the commands and flags of the installed skctl.
const bashCompletion = `_skctl() {
  local words=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${words[@]}"))
}
complete -F _skctl skctl
`

// Execute runs the command.
func (c *completion) Execute([]string) error {
	fmt.Fprint(c.commander.Out, bashCompletion)
	return nil
}
