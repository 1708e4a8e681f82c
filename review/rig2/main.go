// Command rig2 plays the cases of the second review: it starts entries as processes, with stand-ins for
// the platform's store, runners and clients, and checks one rule from what these see.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(*world) int{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, isKnown := cases[os.Args[1]]
	if !isKnown {
		fmt.Fprintln(os.Stderr, "rig2: unknown case "+os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[2], play))
}

// run plays a case and ends all processes that it started.
func run(record string, play func(*world) int) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2: "+err.Error())
		return exitNotRun
	}
	defer w.close()
	code := play(w)
	w.logf("exit code %d", code)
	return code
}
