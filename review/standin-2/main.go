// Command standin2 plays the cases of the second review: it starts the project's programs with the commands of the
// deploy file, and plays the operator, workers, clients and the network beside them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by number. Each reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"6": forgottenKeepers,
	"7": forgottenCrashes,
	"8": twoKeys,
	"9": unknownKey,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE, in the project's root")
		os.Exit(statusFailed)
	}
	number := os.Args[1]
	os.Exit(run(cases[number], newRecorder(filepath.Join("review", number, "record.txt"))))
}

// run plays a case and returns its exit status.
func run(play func(f *fleet, trouble bool) (bool, error), r *recorder) int {
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(r)
	if err != nil {
		r.notef("could not run: %v", err)
		return statusFailed
	}
	defer f.close()
	f.closeOnInterrupt()
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		r.notef("could not run: %v", err)
		return statusFailed
	case broken:
		r.notef("the rule was BROKEN")
		return statusBroken
	}
	r.notef("the rule held")
	return statusHeld
}
