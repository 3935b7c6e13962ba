// Package main is the bench program of shallotkeel. It runs the demo, the fault
// cells and the measurements against real processes, and attributes the credit
// that a played day lost to causes.
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
	"shallotkeel.example/bench/internal/soaker"
	"shallotkeel.example/lib/starter"
)

// demoCommand runs a small deployment and checks it.
type demoCommand struct {
	common
	Example string `long:"example" default:"examples/scambiocasa" value-name:"FOLDER" description:"deployment whose configuration is applied"`
}

// common holds the flags that every command but losses has.
type common struct {
	Programs string `long:"programs" value-name:"FOLDER" description:"folder of the programs; the bench's own by default"`
}

// reportedFailure is the error of a command that found a fault and has already
// printed it. Its text is empty, and only the exit status is left to set.
type reportedFailure struct{}

func (reportedFailure) Error() string { return "" }

// programs returns the folder of the programs: that of the flag, or that of the
// running executable.
func (c *common) programs() (string, error) {
	if c.Programs != "" {
		return c.Programs, nil
	}
	executable, err := os.Executable()
	return filepath.Dir(executable), err
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	programs, err := c.programs()
	if err != nil {
		return err
	}
	if !demo.Run(demo.Options{Programs: programs, Example: c.Example}, os.Stdout) {
		return reportedFailure{}
	}
	return nil
}

// faultsCommand runs the cells of the fault matrix.
type faultsCommand struct {
	common
	Example string `long:"example" default:"examples/scambiocasa" value-name:"FOLDER" description:"deployment whose configuration is applied"`
	Only    string `long:"only" value-name:"TEXT" description:"run only the cells whose name contains this"`
	List    bool   `long:"list" description:"list the cells and run none"`
}

// Execute implements flags.Commander.
func (c *faultsCommand) Execute([]string) error {
	programs, err := c.programs()
	if err != nil {
		return err
	}
	if !faults.Run(faults.Options{Programs: programs, Example: c.Example, Only: c.Only, List: c.List}, os.Stdout) {
		return reportedFailure{}
	}
	return nil
}

// measureCommand measures the running path and the scheduling policy.
type measureCommand struct {
	common
	Sizes  []int         `long:"routers" default:"4" default:"16" default:"64" value-name:"N" description:"a number of routers to measure with; may be repeated"`
	Steady time.Duration `long:"steady" default:"5s" description:"how long each backlog is metered"`
	Seed   uint64        `long:"seed" default:"1" description:"seed of the policy's runs"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	programs, err := c.programs()
	if err != nil {
		return err
	}
	complete := measurer.Run(measurer.Options{Programs: programs, Sizes: c.Sizes, Steady: c.Steady}, os.Stdout)
	fmt.Println("the policy alone, on simulated time:")
	if err := policy.Run(os.Stdout, c.Seed); err != nil {
		return err
	}
	if !complete {
		return reportedFailure{}
	}
	return nil
}

// soakCommand plays seeded faults against the programs on the platform's interface.
type soakCommand struct {
	Programs string        `long:"programs" value-name:"FOLDER" description:"folder of router and keeper; built as the deploy file says by default"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the play"`
	Seeds    string        `long:"seeds" value-name:"FROM-TO" description:"play these seeds one after the other"`
	Duration time.Duration `long:"duration" default:"30s" description:"how long faults are played"`
	Resuming bool          `long:"resuming" description:"endpoints that are asked to go on with a stream always do so as they are asked"`
	Unnamed  bool          `long:"unnamed" description:"half of the clients do not name the streams that they take up"`
	Outage   string        `long:"outage" choice:"keepers-away" choice:"router-stands" choice:"keepers-late" choice:"crashes" description:"play a long outage in place of the schedule (about 70 s), and see whether the fleet finds itself again and remembers"`
	Logs     string        `long:"logs" value-name:"FOLDER" description:"where plays keep their logs; the folder of temporary files by default"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	first, last := c.Seed, c.Seed
	if c.Seeds != "" {
		if _, err := fmt.Sscanf(c.Seeds, "%d-%d", &first, &last); err != nil {
			return fmt.Errorf("--seeds is FROM-TO: %w", err)
		}
	}
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	programs := filepath.Join(root, "target")
	if c.Programs != "" {
		programs, err = filepath.Abs(c.Programs)
	} else {
		err = soaker.Build(root, programs)
	}
	if err != nil {
		return err
	}
	kept := true
	for seed := first; seed <= last; seed++ {
		ok, err := soaker.Run(soaker.Options{Root: root, Programs: programs, Logs: c.Logs, Duration: c.Duration, Seed: seed, Resuming: c.Resuming, Unnamed: c.Unnamed, Outage: c.Outage}, os.Stdout)
		if err != nil {
			return err
		}
		kept = kept && ok
	}
	if !kept {
		return reportedFailure{}
	}
	return nil
}

// lossesCommand prints where a played day's credit was lost, by cause.
type lossesCommand struct {
	Report string `long:"report" required:"true" value-name:"FILE" description:"report of the day"`
	Log    string `long:"log" required:"true" value-name:"FILE" description:"what all routers logged on that day"`
}

// Execute implements flags.Commander.
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

// run executes the command line and returns the exit status.
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
		{"soak", "play seeded faults on the platform's interface and judge what clients get", &soakCommand{}},
		{"losses", "say where a played day's credit was lost, by cause", &lossesCommand{}},
		{"measure", "measure what the running path does and costs, against the baseline", &measureCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, "", command.run); err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			return starter.StatusUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitStatus(err)
}

// exitStatus maps an error to the exit status, and prints the error unless the
// command has already reported it. Help goes to standard output and is a success.
func exitStatus(err error) int {
	var flagsError *flags.Error
	switch {
	case err == nil:
		return starter.StatusOK
	case errors.Is(err, reportedFailure{}):
		return starter.StatusFailed
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Println(err)
		return starter.StatusOK
	case errors.As(err, &flagsError):
		fmt.Fprintln(os.Stderr, "bench:", err)
		return starter.StatusUsage
	}
	fmt.Fprintln(os.Stderr, "bench:", err)
	return starter.StatusFailed
}
