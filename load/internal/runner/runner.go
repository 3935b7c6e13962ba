// Package runner sends a load that settings or flags describe, and prints a
// summary of the results.
//
// Invariants: a run ends by itself, once its sending time is over and every
// request has ended; its exit status is 0 only if every request was answered
// correctly, refused as not run, or refused because the request itself is
// invalid.
package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/caller"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/starter"
)

// ErrLoad is the kind of the errors in the description of a load.
var ErrLoad = merry.Sentinel("load cannot run")

// Options are the flags of "load run".
type Options struct {
	Settings   string        `long:"settings" short:"s" value-name:"FILE" description:"settings file, JSON with comments; flags below are laid over it"`
	Routers    []string      `long:"router" short:"r" value-name:"URL" description:"a router's address, http://IP:PORT; may be repeated"`
	Workspaces []string      `long:"workspace" short:"w" value-name:"NAME=TOKEN" description:"a workspace and its bearer token; may be repeated"`
	Rate       float64       `long:"rate" default:"5" description:"requests a second of each --workspace"`
	Backlog    int           `long:"backlog" description:"keep this many requests of each --workspace outstanding in place of --rate"`
	Models     []string      `long:"model" value-name:"NAME" description:"a model that the workspaces ask; may be repeated"`
	Service    string        `long:"service" value-name:"NAME" description:"the plain service that the workspaces call"`
	Time       time.Duration `long:"time" short:"t" default:"10s" description:"how long requests are sent"`
	Patience   time.Duration `long:"patience" default:"1m" description:"how long a caller waits for one answer"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of arrivals and requests"`
	Output     string        `long:"output" short:"o" default:"table" choice:"table" choice:"json" description:"output format"` //nolint:staticcheck // go-flags repeats the tag for each choice
}

// Defaults of a load that flags describe, and the bound on outstanding requests of
// every load.
const (
	defaultMaxTokens   = 48
	defaultPromptBytes = 600
	maxOutstanding     = 20_000
)

// Settings describe the loads of several workspaces.
type Settings struct {
	Routers []string      `json:"routers"`
	Loads   []caller.Load `json:"loads"`
}

// Check returns the problems of the settings.
func (s *Settings) Check() []loader.Problem {
	var problems []loader.Problem
	if len(s.Routers) == 0 {
		problems = append(problems, loader.Problem{Key: "routers", Message: "is empty", Remedy: "name routers as http://IP:PORT"})
	}
	if len(s.Loads) == 0 {
		problems = append(problems, loader.Problem{Key: "loads", Message: "is empty", Remedy: "describe one load a workspace"})
	}
	for _, load := range s.Loads {
		problems = append(problems, checkLoad(load)...)
	}
	return problems
}

func checkLoad(load caller.Load) []loader.Problem {
	var problems []loader.Problem
	if load.PerSecond <= 0 && load.Backlog <= 0 {
		problems = append(problems, loader.Problem{
			Key: load.Workspace, Message: "sends nothing", Remedy: "set \"per_second\" or \"backlog\"",
		})
	}
	if load.Mix.Stream+load.Mix.Whole > 0 && len(load.Mix.Models) == 0 {
		problems = append(problems, loader.Problem{Key: load.Workspace, Message: "names no model", Remedy: "set \"models\" in its mix"})
	}
	if load.Mix.Plain+load.Mix.Once > 0 && load.Mix.Service == "" {
		problems = append(problems, loader.Problem{Key: load.Workspace, Message: "names no service", Remedy: "set \"service\" in its mix"})
	}
	return problems
}

// Main runs the program and returns its exit status: it parses the flags, sends the
// load, writes the summary to out, and writes errors and failed requests to
// problems.
func Main(arguments []string, out io.Writer, problems io.Writer) int {
	if len(arguments) > 0 && arguments[0] == "run" {
		arguments = arguments[1:]
	}
	var options Options
	if status, stop := starter.ParseFlags("load run", "Send a load to routers and check every answer.", arguments, &options); stop {
		return status
	}
	settings, err := options.settings()
	if err != nil {
		fmt.Fprintln(problems, "load:", err)
		return starter.StatusUsage
	}
	recorder := options.send(settings)
	if err := printSummary(out, options.Output, recorder); err != nil {
		fmt.Fprintln(problems, "load:", err)
		return starter.StatusFailed
	}
	for _, failure := range recorder.Failures() {
		fmt.Fprintf(problems, "%s %s from %s: %s %s\n", failure.Ending, failure.ID, failure.Target, failure.Code, failure.Error)
	}
	if !Clean(recorder.Summary()) {
		return starter.StatusFailed
	}
	return starter.StatusOK
}

// Clean reports whether every request ended without a fault: answered, refused as
// not run, or invalid.
func Clean(summary caller.Summary) bool {
	faultless := summary.Endings[caller.Answered] + summary.Endings[caller.NotRun] + summary.Endings[caller.Invalid]
	return faultless == summary.Requests
}

// settings reads the settings file, if one is named, and adds the routers and the
// loads of the flags.
func (o *Options) settings() (Settings, error) {
	var settings Settings
	if o.Settings != "" {
		if err := loader.Load(o.Settings, &settings); err != nil {
			return settings, err
		}
	}
	settings.Routers = append(settings.Routers, o.Routers...)
	for _, workspace := range o.Workspaces {
		name, token, found := strings.Cut(workspace, "=")
		if !found {
			return settings, merry.Errorf("%w: --workspace %q; write NAME=TOKEN", ErrLoad, workspace)
		}
		settings.Loads = append(settings.Loads, o.flagLoad(name, token))
	}
	for _, problem := range settings.Check() {
		return settings, merry.Errorf("%w: %s %s; %s", ErrLoad, problem.Key, problem.Message, problem.Remedy)
	}
	return settings, nil
}

// flagLoad returns the load of one --workspace. With models, three of four chat
// completions are streamed; with a service, half of the plain calls may not be
// repeated.
func (o *Options) flagLoad(name, token string) caller.Load {
	mix := caller.Mix{Models: o.Models, Service: o.Service, Bound: defaultMaxTokens, Prompt: defaultPromptBytes}
	if len(o.Models) > 0 {
		mix.Stream, mix.Whole = 3, 1
	}
	if o.Service != "" {
		mix.Plain, mix.Once = 1, 1
	}
	return caller.Load{Workspace: name, Token: token, PerSecond: o.Rate, Backlog: o.Backlog, Mix: mix}
}

// send sends the loads for the time of the flag, waits for outstanding requests and
// returns the results.
func (o *Options) send(settings Settings) *caller.Recorder {
	recorder := &caller.Recorder{}
	driver := caller.Driver{
		Caller:  &caller.Caller{Client: caller.NewClient(), Clock: clockwork.NewRealClock(), Timeout: o.Patience},
		Targets: settings.Routers, Loads: settings.Loads, Seed: o.Seed, Recorder: recorder, MaxOutstanding: maxOutstanding,
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Time)
	defer cancel()
	driver.Run(ctx)
	return recorder
}

func printSummary(out io.Writer, format string, recorder *caller.Recorder) error {
	summary := recorder.Summary()
	if format == "json" {
		return json.NewEncoder(out).Encode(summary)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\t%d\n", summary.Requests)
	for _, ending := range []caller.Ending{
		caller.Answered, caller.NotRun, caller.Invalid, caller.Unknown, caller.Wrong, caller.Cut, caller.Lost, caller.Unsent, caller.Missing,
	} {
		fmt.Fprintf(table, "%s\t%d\n", ending, summary.Endings[ending])
	}
	fmt.Fprintf(table, "first token p50 p95 p99\t%.1f %.1f %.1f ms\n", summary.First.P50, summary.First.P95, summary.First.P99)
	fmt.Fprintf(table, "between tokens p50 p95 p99\t%.1f %.1f %.1f ms\n", summary.Between.P50, summary.Between.P95, summary.Between.P99)
	fmt.Fprintln(table, "workspace\trequests\tanswered\ttokens\tfirst p95 ms")
	for _, name := range summary.Names() {
		workspace := summary.Workspaces[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\n", name, workspace.Requests, workspace.Answered, workspace.Tokens, workspace.FirstP95)
	}
	return table.Flush()
}
