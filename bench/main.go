// Package main is the bench program of shallotkeel: the demo, the fault cells
// and the measurements, against the real processes.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"shallotkeel.example/bench/internal/attributor"
	"shallotkeel.example/bench/internal/demo"
	"shallotkeel.example/bench/internal/faults"
	"shallotkeel.example/bench/internal/measurer"
	"shallotkeel.example/bench/internal/policy"
	"shallotkeel.example/lib/starter"
)

// demoCommand runs the demo.
type demoCommand struct {
	common
	Example string `long:"example" default:"examples/scambiocasa" value-name:"FOLDER" description:"deployment whose configuration is applied"`
}

// common are the flags of every command.
type common struct {
	Programs string `long:"programs" value-name:"FOLDER" description:"folder of the programs; the bench's own by default"`
}

// failed is returned by a command that found a fault and has said so.
type failed struct{}

func (failed) Error() string { return "" }

func (c *common) programs() (string, error) {
	if c.Programs != "" {
		return c.Programs, nil
	}
	own, err := os.Executable()
	return filepath.Dir(own), err
}

// Execute is called by the parser.
func (c *demoCommand) Execute([]string) error {
	programs, err := c.programs()
	if err != nil {
		return err
	}
	if !demo.Run(demo.Options{Programs: programs, Example: c.Example}, os.Stdout) {
		return failed{}
	}
	return nil
}

// faultsCommand runs the fault cells.
type faultsCommand struct {
	common
	Example string `long:"example" default:"examples/scambiocasa" value-name:"FOLDER" description:"deployment whose configuration is applied"`
	Only    string `long:"only" value-name:"TEXT" description:"run only the cells whose name contains this"`
	List    bool   `long:"list" description:"list the cells and run none"`
}

// Execute is called by the parser.
func (c *faultsCommand) Execute([]string) error {
	programs, err := c.programs()
	if err != nil {
		return err
	}
	if !faults.Run(faults.Options{Programs: programs, Example: c.Example, Only: c.Only, List: c.List}, os.Stdout) {
		return failed{}
	}
	return nil
}

// measureCommand measures the path and the policy.
type measureCommand struct {
	common
	Sizes  []int         `long:"routers" default:"4" default:"16" default:"64" value-name:"N" description:"a number of routers to measure with; may be repeated"`
	Steady time.Duration `long:"steady" default:"5s" description:"how long each backlog is metered"`
	Seed   uint64        `long:"seed" default:"1" description:"seed of the policy's runs"`
}

// Execute is called by the parser.
func (c *measureCommand) Execute([]string) error {
	programs, err := c.programs()
	if err != nil {
		return err
	}
	measured := measurer.Run(measurer.Options{Programs: programs, Sizes: c.Sizes, Steady: c.Steady}, os.Stdout)
	fmt.Println("the policy alone, on simulated time:")
	if err := policy.Run(os.Stdout, c.Seed); err != nil {
		return err
	}
	if !measured {
		return failed{}
	}
	return nil
}

// lossesCommand says where a played day's credit was lost.
type lossesCommand struct {
	Report string `long:"report" required:"true" value-name:"FILE" description:"report of the day"`
	Log    string `long:"log" required:"true" value-name:"FILE" description:"what all routers logged on that day"`
}

// Execute is called by the parser.
func (c *lossesCommand) Execute([]string) error {
	report, err := os.Open(c.Report)
	if err != nil {
		return err
	}
	defer report.Close()
	log, err := os.Open(c.Log)
	if err != nil {
		return err
	}
	defer log.Close()
	return attributor.Print(os.Stdout, report, log)
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	if len(arguments) == 1 && arguments[0] == "--version" {
		fmt.Println("bench", starter.Version)
		return starter.StatusOK
	}
	parser := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Run shallotkeel's processes on this machine: the demo, the fault cells, the measurements."
	for _, command := range []struct {
		name, short string
		run         flags.Commander
	}{
		{"demo", "run a small deployment and check it", &demoCommand{}},
		{"faults", "cause every fault of the matrix under load and count what must never happen", &faultsCommand{}},
		{"losses", "say where a played day's credit was lost, by cause", &lossesCommand{}},
		{"measure", "measure what the running path does and costs, against the baseline", &measureCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, "", command.run); err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			return starter.StatusUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return status(err)
}

func status(err error) int {
	var asked *flags.Error
	switch {
	case err == nil:
		return starter.StatusOK
	case errors.Is(err, failed{}):
		return starter.StatusFailed
	case errors.As(err, &asked) && asked.Type == flags.ErrHelp:
		fmt.Println(err)
		return starter.StatusOK
	case errors.As(err, &asked):
		fmt.Fprintln(os.Stderr, "bench:", err)
		return starter.StatusUsage
	}
	fmt.Fprintln(os.Stderr, "bench:", err)
	return starter.StatusFailed
}
