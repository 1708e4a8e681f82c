//go:build review

// Command rig plays the cases of the review: the relays run as processes, and the store, the
// runners and the clients are stand-ins inside this program.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	usageArguments = 3
)

// setting is what a case needs. hasTrouble is false for the run without the disruption.
type setting struct {
	record     *record
	folder     string
	hasTrouble bool
}

// cases maps the name of a case to the function that plays it and returns the exit code.
var cases = map[string]func(*setting) (int, error){
	"keys": playKeys, "unframed": playUnframed, "early": playEarly, "parts": playParts,
}

func main() {
	if settings := os.Getenv(childVariable); settings != "" {
		runChild(settings)
		os.Exit(exitNotRun)
	}
	os.Exit(play())
}

func play() int {
	if len(os.Args) != usageArguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD, in the repository")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := &setting{record: r, folder: folder, hasTrouble: os.Getenv("TROUBLE") != "0"}
	code, err := cases[os.Args[1]](s)
	if err != nil {
		r.line("end", "the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	r.line("end", "exit code %d", code)
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(folder, filepath.Join(keep, filepath.Base(folder)))
	}
	_ = os.RemoveAll(folder)
	return code
}

// startFleet starts the store with the first configuration and runners, and entries in three zones.
func (s *setting) startFleet(config map[string]any, services map[string]int, entries int) (*store, *runs, []*runner, *fleet, error) {
	published, err := startStore(s.record)
	if err != nil {
		return nil, nil, nil, nil, err
	}
	list := &runs{}
	var runners []*runner
	for service, count := range services {
		for i := range count {
			zone := zoneNames[i%len(zoneNames)]
			n, err := startRunner(s.record, list, fmt.Sprintf("i-%s-%d", service, i+1), service, zone)
			if err != nil {
				return nil, nil, nil, nil, err
			}
			runners = append(runners, n)
			published.put("servers/"+n.id, n.entry("ready", 1))
		}
	}
	published.put("op/config", config)
	f, err := newFleet(s.record, s.folder, published.address, 0)
	if err != nil {
		return nil, nil, nil, nil, err
	}
	for i := range entries {
		if err := f.add(zoneNames[i%len(zoneNames)]); err != nil {
			f.stop()
			return nil, nil, nil, nil, err
		}
	}
	return published, list, runners, f, nil
}

var zoneNames = []string{"north", "south", "harbour"}
