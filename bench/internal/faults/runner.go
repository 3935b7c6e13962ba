package faults

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

// cellLimit bounds one cell, so that a hung process cannot stop the run.
const cellLimit = 2 * time.Minute

// Options of a run.
type Options struct {
	Programs string
	Example  string
	Only     string // run only cells whose name contains this
	List     bool   // print the cells' names and run none
}

// cell is a fault at a step.
type cell struct {
	fault string
	step  string
	shape shape
	run   func(*bed) error
}

func (c cell) name() string { return c.fault + " / " + c.step }

// Run runs the cells in order, prints one line for each, and returns whether
// all passed.
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

// cells returns every cell, in the order in which they are run.
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

// execute runs one cell on a bed of its own.
func (c cell) execute(options Options, out io.Writer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cellLimit)
	defer cancel()
	began := time.Now()
	b, err := newBed(ctx, options, c.shape)
	if err == nil {
		err = c.run(b)
	}
	took := time.Since(began).Round(100 * time.Millisecond)
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
