// Package printer writes the answers of the operators' API as tables for people
// or as JSON for programs.
//
// Invariants: a row of a table is one line; JSON output encodes the API's own
// types, so that docs, API and skctl use the same field names.
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

// Printer writes values to Out in one format.
type Printer struct {
	Out    io.Writer
	Format Format
}

// Print writes the value as indented JSON, or lets table write it as columns
// separated by tabs, which Print aligns.
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

// Objects returns a function that writes a table of objects.
func Objects(objects []describer.Object) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "KIND\tNAME\tVERSION\tSELECTOR\tLABELS")
		for _, object := range objects {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", object.Kind, object.Name, object.Version,
				orDash(object.Selector), Labels(object.Labels))
		}
	}
}

// Labels formats labels in order of their keys. Token digests are shortened to 8
// characters: they are not secret, but too long for a readable table.
func Labels(labels labeler.Labels) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		value := labels[key]
		if key == describer.LabelToken || key == describer.LabelTokenNext {
			value = value[:min(len(value), 8)] + "..."
		}
		parts = append(parts, key+"="+value)
	}
	return orDash(strings.Join(parts, ","))
}

// Differences returns a function that writes what a change would do, one line for
// each object.
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
		return "+ " + name + "\t" + describeObject(*difference.After)
	case difference.After == nil:
		return "- " + name + "\t" + describeObject(*difference.Before)
	}
	return "~ " + name + "\t" + describeObject(*difference.Before) + "  ->  " + describeObject(*difference.After)
}

func describeObject(object describer.Object) string {
	return "selector " + orDash(object.Selector) + " labels " + Labels(object.Labels)
}

// Findings writes errors and warnings, errors first.
func Findings(w io.Writer, findings []reporter.Finding) {
	ordered := slices.Clone(findings)
	slices.SortStableFunc(ordered, func(a, b reporter.Finding) int {
		return strings.Compare(a.Severity, b.Severity)
	})
	for _, finding := range ordered {
		fmt.Fprintf(w, "%s: %s %s: %s; %s\n", finding.Severity, finding.Kind, finding.Name, finding.Message, finding.Remedy)
	}
}

// History returns a function that writes a table of accepted changes.
func History(history reporter.History) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tWHEN\tAUTHOR\tCHANGE\tOBJECTS")
		for _, revision := range history.Revisions {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", revision.Revision,
				time.UnixMilli(revision.UnixMS).UTC().Format(time.RFC3339), orDash(revision.Author), revision.Change,
				editedNames(revision.Edits))
		}
	}
}

// Quarantines prints a table of quarantines.
func Quarantines(answer reporter.Quarantines) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "FEATURE\tENDS IN")
		for _, q := range answer.Quarantines {
			fmt.Fprintf(w, "%s\t%s\n", q.Feature, (time.Duration(q.LeftMS) * time.Millisecond).Round(time.Second))
		}
	}
}

const maxNamesShown = 4

func editedNames(edits []describer.Edit) string {
	names := make([]string, 0, maxNamesShown)
	for i, edit := range edits {
		if i == maxNamesShown {
			names = append(names, fmt.Sprintf("and %d more", len(edits)-maxNamesShown))
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

// Status returns a function that writes the fleet's state, warnings first.
func Status(status reporter.Status) func(io.Writer) {
	return func(w io.Writer) {
		for _, warning := range status.Warnings {
			fmt.Fprintln(w, "WARNING: "+warning)
		}
		fmt.Fprintf(w, "revision in force: %d%s\n\n", status.Revision, textIf(status.Stale, " (may be stale: no quorum of keepers reached)"))
		keepers(w, status.Keepers)
		routers(w, status.Routers)
		pools(w, status.Pools)
		endpoints(w, status.Endpoints)
	}
}

func keepers(w io.Writer, list []reporter.Keeper) {
	fmt.Fprintln(w, "KEEPER\tZONE\tROLE\tTERM\tREVISION\tQUORUM")
	for _, keeper := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%t\n", keeper.Name, orDash(keeper.Zone), keeper.Role, keeper.Term, keeper.Revision, keeper.Quorum)
	}
	fmt.Fprintln(w)
}

func routers(w io.Writer, list []reporter.Router) {
	fmt.Fprintln(w, "ROUTER\tZONE\tIN FORCE\tHEARD MS AGO\tNOTE")
	for _, router := range list {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", router.Name, router.Zone, router.InForce, router.AgeMS, textIf(router.Leaving, "leaving"))
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

// Explanation returns a function that writes the outcome and the steps of a
// request.
func Explanation(explanation reporter.Explanation) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintf(w, "request %s of workspace %s to service %s %s\n", explanation.ID, explanation.Workspace,
			explanation.Service, explanation.Model)
		fmt.Fprintf(w, "outcome: %s %s\n", orDash(explanation.Outcome), explanation.Code)
		if explanation.Why != "" {
			fmt.Fprintln(w, "why: "+explanation.Why)
		}
		fmt.Fprintln(w, "AT MS\tSTEP\tDETAIL")
		for _, step := range explanation.Steps {
			fmt.Fprintf(w, "%d\t%s\t%s\n", step.AtMS, step.Step, step.Detail)
		}
	}
}

func textIf(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
