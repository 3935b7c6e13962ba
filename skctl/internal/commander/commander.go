// Package commander implements the commands of skctl, the operators' command
// line.
//
// Invariants: a command that changes objects prints the change id before it
// sends the change, so that an operator whose terminal dies can send the same
// change again; the exit status tells a script how the command ended; standard
// output carries only the result, everything else goes to standard error.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/starter"
	"shallotkeel.example/skctl/internal/printer"
	"shallotkeel.example/skctl/internal/requester"
)

// Exit statuses beyond those of package starter.
const (
	StatusInvalid     = 3 // the change was refused; the findings give the reasons
	StatusConflict    = 4 // another operator changed an object first
	StatusUnreachable = 5 // no router could be reached, or it had no quorum of keepers; safe to retry with the same change id
	StatusLagging     = 6 // accepted, but not yet in force at every live router when the timeout of --wait expired
	StatusDiffers     = 7 // diff found differences
)

// Failures that have their own exit status.
var (
	errInvalid  = merry.Sentinel("the change is invalid")
	errConflict = merry.Sentinel("somebody else changed it first")
	errLagging  = merry.Sentinel("accepted, but not yet in force everywhere")
	errDiffers  = merry.Sentinel("the configuration differs")
)

// Commander parses command lines and runs the commands against a fleet.
type Commander struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Clock  clockwork.Clock
	NewID  func() string
	global globals
}

type globals struct {
	Routers []string       `long:"router" short:"r" env:"SKCTL_ROUTER" env-delim:"," value-name:"URL" description:"a router's address, http://IP:PORT; may be repeated"`
	Token   string         `long:"token" env:"SKCTL_TOKEN" value-name:"TOKEN" description:"the operators' token"`
	Output  printer.Format `long:"output" short:"o" default:"table" choice:"table" choice:"json" description:"output format"`
	Author  string         `long:"author" env:"USER" value-name:"NAME" description:"who makes the change, for the history"`
	Version bool           `long:"version" description:"print the version and stop"`
}

// Run parses the arguments, runs the command and returns the exit status.
// Errors are printed to Err.
func (c *Commander) Run(arguments []string) int {
	for _, argument := range arguments {
		if argument == "--version" {
			fmt.Fprintln(c.Out, "skctl", starter.Version)
			return starter.StatusOK
		}
	}
	parser := flags.NewNamedParser("skctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if err := c.register(parser); err != nil {
		fmt.Fprintln(c.Err, "skctl:", err)
		return starter.StatusUsage
	}
	_, err := parser.ParseArgs(arguments)
	return c.exitStatus(err)
}

const longDescription = `skctl drives a shallotkeel fleet: operators describe workspaces, services
and endpoints by labels, and selectors that say which work may go where.

Exit statuses: 0 done, 1 failed, 2 called wrongly, 3 change invalid, 4 conflict with another operator,
5 nobody reachable (safe to repeat with the same --change), 6 accepted but not in force everywhere yet,
7 diff found differences.`

func (c *Commander) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Global", "", &c.global); err != nil {
		return err
	}
	for _, command := range c.commands() {
		if _, err := parser.AddCommand(command.name, command.short, command.short, command.run); err != nil {
			return err
		}
	}
	return nil
}

type command struct {
	name  string
	short string
	run   flags.Commander
}

func (c *Commander) commands() []command {
	return []command{
		{"apply", "apply files of objects, or - for standard input", &apply{commander: c}},
		{"diff", "show what apply would change", &diff{commander: c}},
		{"get", "list objects", &get{commander: c}},
		{"delete", "delete an object", &remove{commander: c}},
		{"label", "set or remove labels of an object", &label{commander: c}},
		{"drain", "stop new work to an endpoint, or start it again", &drain{commander: c}},
		{"history", "list accepted changes, newest first", &history{commander: c}},
		{"rollback", "bring objects back to an earlier revision, as a new change", &rollback{commander: c}},
		{"watch", "print changes as they come into force", &watch{commander: c}},
		{"status", "show zones, routers, keepers, pools and endpoints, warnings first", &status{commander: c}},
		{"explain", "tell why a request went where it went, or why it waits", &explain{commander: c}},
		{"quarantines", "list what requests are refused for because endpoints crash under it", &quarantines{commander: c}},
		{"lift", "end a quarantine", &lift{commander: c}},
		{"digest", "print the digest of a workspace's bearer token, for its token label", &digest{commander: c}},
		{"completion", "print the completion script of a shell", &completion{commander: c}},
	}
}

func (c *Commander) exitStatus(err error) int {
	var flagsError *flags.Error
	switch {
	case err == nil:
		return starter.StatusOK
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Fprintln(c.Out, err)
		return starter.StatusOK
	case errors.As(err, &flagsError):
		fmt.Fprintln(c.Err, "skctl:", err)
		return starter.StatusUsage
	}
	fmt.Fprintln(c.Err, "skctl:", err)
	switch {
	case errors.Is(err, errInvalid):
		return StatusInvalid
	case errors.Is(err, errConflict):
		return StatusConflict
	case errors.Is(err, requester.ErrUnreachable):
		return StatusUnreachable
	case errors.Is(err, errLagging):
		return StatusLagging
	case errors.Is(err, errDiffers):
		return StatusDiffers
	}
	return starter.StatusFailed
}

func (c *Commander) requester() *requester.Requester {
	routers := make([]string, 0, len(c.global.Routers))
	for _, router := range c.global.Routers {
		routers = append(routers, strings.TrimRight(router, "/"))
	}
	return &requester.Requester{Routers: routers, Token: c.global.Token, Sleep: c.Clock.Sleep}
}

func (c *Commander) printer() printer.Printer {
	return printer.Printer{Out: c.Out, Format: c.global.Output}
}

// printProgress writes a line to standard error, because progress is not part
// of a command's result.
func (c *Commander) printProgress(format string, values ...any) {
	fmt.Fprintf(c.Err, format+"\n", values...)
}

func background() context.Context {
	return context.Background()
}
