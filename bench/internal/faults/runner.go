package faults

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

// cellLimit bounds the time of one cell, so that a hung process cannot block the run.
const cellLimit = 2 * time.Minute

// Options are the options of a run.
type Options struct {
	Programs string // folder of the programs under test
	Example  string // folder of the example deployment
	Only     string // run only cells whose name contains this
	List     bool   // print the cells' names without running them
}

// cell is one entry of the fault matrix: a fault that is injected at a step of the work.
type cell struct {
	fault string
	step  string
	fleet fleetOptions
	run   func(*testbed) error
}

func (c cell) name() string { return c.fault + " / " + c.step }

// Run runs the cells in order, prints one line for each, and reports whether
// all passed. A run without any cell has failed.
func Run(options Options, out io.Writer) bool {
	ran, failed := 0, 0
	for _, c := range cells() {
		if !strings.Contains(c.name(), options.Only) {
			continue
		}
		if options.List {
			fmt.Fprintln(out, c.name())
			continue
		}
		ran++
		if !c.execute(options, out) {
			failed++
		}
	}
	if options.List {
		return true
	}
	fmt.Fprintf(out, "faults: %d cells, %d failed\n", ran, failed)
	return failed == 0 && ran > 0
}

// cells returns every cell in the order of the run.
func cells() []cell {
	var all []cell
	for _, group := range [][]cell{
		routerCells(), endpointCells(), keeperCells(), networkCells(), floodCells(), poisonCells(), leavingCells(),
		changeCells(), pairCells(),
	} {
		all = append(all, group...)
	}
	return all
}

// execute runs one cell on its own testbed, prints its line and reports whether it
// passed. The folder of a failed cell is kept for its logs.
func (c cell) execute(options Options, out io.Writer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cellLimit)
	defer cancel()
	start := time.Now()
	b, err := newTestbed(ctx, options, c.fleet)
	if err == nil {
		err = c.run(b)
	}
	took := time.Since(start).Round(100 * time.Millisecond)
	var figures []string
	if b != nil {
		figures = b.figures
		b.close(err != nil)
	}
	if err != nil {
		fmt.Fprintf(out, "%s: FAILED %v [%s, %v", c.name(), err, strings.Join(figures, "; "), took)
		if b != nil {
			fmt.Fprintf(out, ", logs in %s", b.folder)
		}
		fmt.Fprintln(out, "]")
		return false
	}
	fmt.Fprintf(out, "%s: ok [%s, %v]\n", c.name(), strings.Join(figures, "; "), took)
	return true
}
