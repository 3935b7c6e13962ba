// Package printer writes answers as tables for people or as JSON for programs.
//
// Invariants: tables go to a writer and never contain more than one line a
// row; JSON output is the API's own types, so a script reads the same names in
// docs, API and skctl.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/reporter"
)

// Format is an output format.
type Format string

// The output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Printer writes in one format.
type Printer struct {
	Out    io.Writer
	Format Format
}

// Print writes the value as JSON, or calls the table function.
func (p Printer) Print(value any, table func(w io.Writer)) error {
	if p.Format == JSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// Objects prints objects as a table.
func Objects(objects []describer.Object) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "KIND\tNAME\tVERSION\tSELECTOR\tLABELS")
		for _, object := range objects {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", object.Kind, object.Name, object.Version,
				dash(object.Selector), Labels(object.Labels))
		}
	}
}

// Labels writes labels in order, with token digests cut short: the digest is
// no secret, but a table is for reading.
func Labels(labels labeler.Labels) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		value := labels[key]
		if key == describer.LabelToken || key == describer.LabelTokenNext {
			value = value[:min(len(value), 8)] + "..."
		}
		parts = append(parts, key+"="+value)
	}
	return dash(strings.Join(parts, ","))
}

// Differences prints what a change would do, one line an object.
func Differences(differences []describer.Difference) func(io.Writer) {
	return func(w io.Writer) {
		for _, difference := range differences {
			fmt.Fprintln(w, differenceLine(difference))
		}
	}
}

func differenceLine(difference describer.Difference) string {
	name := string(difference.Key.Kind) + " " + difference.Key.Name
	switch {
	case difference.Before == nil:
		return "+ " + name + "\t" + describe(*difference.After)
	case difference.After == nil:
		return "- " + name + "\t" + describe(*difference.Before)
	}
	return "~ " + name + "\t" + describe(*difference.Before) + "  ->  " + describe(*difference.After)
}

func describe(object describer.Object) string {
	return "selector " + dash(object.Selector) + " labels " + Labels(object.Labels)
}

// Findings prints errors and warnings, errors first.
func Findings(w io.Writer, findings []reporter.Finding) {
	ordered := slices.Clone(findings)
	slices.SortStableFunc(ordered, func(a, b reporter.Finding) int {
		return strings.Compare(a.Severity, b.Severity)
	})
	for _, finding := range ordered {
		fmt.Fprintf(w, "%s: %s %s: %s; %s\n", finding.Severity, finding.Kind, finding.Name, finding.Message, finding.Remedy)
	}
}

// History prints accepted changes.
func History(history reporter.History) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tWHEN\tAUTHOR\tCHANGE\tOBJECTS")
		for _, revision := range history.Revisions {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", revision.Revision,
				time.UnixMilli(revision.UnixMS).UTC().Format(time.RFC3339), dash(revision.Author), revision.Change,
				editedNames(revision.Edits))
		}
	}
}

const namesShown = 4

func editedNames(edits []describer.Edit) string {
	names := make([]string, 0, namesShown)
	for i, edit := range edits {
		if i == namesShown {
			names = append(names, fmt.Sprintf("and %d more", len(edits)-namesShown))
			break
		}
		sign := ""
		if edit.Delete {
			sign = "-"
		}
		names = append(names, sign+string(edit.Object.Kind)+"/"+edit.Object.Name)
	}
	return strings.Join(names, ", ")
}

// Status prints the fleet's state, warnings first.
func Status(status reporter.Status) func(io.Writer) {
	return func(w io.Writer) {
		for _, warning := range status.Warnings {
			fmt.Fprintln(w, "WARNING: "+warning)
		}
		fmt.Fprintf(w, "revision in force: %d%s\n\n", status.Revision, note(status.Stale, " (may be stale: no quorum of keepers reached)"))
		keepers(w, status.Keepers)
		routers(w, status.Routers)
		pools(w, status.Pools)
		endpoints(w, status.Endpoints)
	}
}

func keepers(w io.Writer, list []reporter.Keeper) {
	fmt.Fprintln(w, "KEEPER\tZONE\tROLE\tTERM\tREVISION\tQUORUM")
	for _, keeper := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%t\n", keeper.Name, dash(keeper.Zone), keeper.Role, keeper.Term, keeper.Revision, keeper.Quorum)
	}
	fmt.Fprintln(w)
}

func routers(w io.Writer, list []reporter.Router) {
	fmt.Fprintln(w, "ROUTER\tZONE\tIN FORCE\tHEARD MS AGO\tNOTE")
	for _, router := range list {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", router.Name, router.Zone, router.InForce, router.AgeMS, note(router.Leaving, "leaving"))
	}
	fmt.Fprintln(w)
}

func pools(w io.Writer, list []reporter.Pool) {
	fmt.Fprintln(w, "SERVICE\tZONE\tSCHEDULER\tWAITING\tRUNNING\tSLOTS\tUTILISATION\tGAP")
	for _, pool := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%.0f\n", pool.Service, pool.Zone, pool.Scheduler,
			pool.Waiting, pool.Running, pool.Slots, pool.Utilisation, pool.Gap)
	}
	fmt.Fprintln(w)
}

func endpoints(w io.Writer, list []reporter.Endpoint) {
	fmt.Fprintln(w, "ENDPOINT\tSERVICE\tZONE\tADDRESS\tSTATE\tBUSY\tWINDOW\tSLOTS")
	for _, endpoint := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", endpoint.ID, endpoint.Service, endpoint.Zone,
			endpoint.Address, endpoint.State, endpoint.Busy, endpoint.Window, endpoint.Slots)
	}
}

// Explanation prints what happened to a request.
func Explanation(explanation reporter.Explanation) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintf(w, "request %s of workspace %s to service %s %s\n", explanation.ID, explanation.Workspace,
			explanation.Service, explanation.Model)
		fmt.Fprintf(w, "outcome: %s %s\n", dash(explanation.Outcome), explanation.Code)
		if explanation.Why != "" {
			fmt.Fprintln(w, "why: "+explanation.Why)
		}
		fmt.Fprintln(w, "AT MS\tSTEP\tDETAIL")
		for _, step := range explanation.Steps {
			fmt.Fprintf(w, "%d\t%s\t%s\n", step.AtMS, step.Step, step.Detail)
		}
	}
}

func note(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
