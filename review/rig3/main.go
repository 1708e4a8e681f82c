// Command rig3 runs the cases of the third review: it starts relays as processes, plays the platform, the runners
// and the clients, and checks one rule. It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

type (
	// record is the file with what was sent, answered and run.
	record struct {
		mutex sync.Mutex
		file  *os.File
		start time.Time
	}

	// verdict is the result of a case.
	verdict struct {
		isBroken bool
		err      error
	}

	// play runs a case in a temporary folder.
	play func(r *record, folder string, hasTrouble bool) verdict
)

var plays = map[string]play{
	"drill-config":     playDrillConfig,
	"drill-evacuation": playDrillEvacuation,
	"unread":           playUnread,
	"bodies":           playBodies,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(folder) }()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, trouble %t", name, hasTrouble)
	result := plays[name](r, folder, hasTrouble)
	switch {
	case result.err != nil:
		r.logf("COULD NOT RUN: %v", result.err)
		return exitFailed
	case result.isBroken:
		r.logf("BROKEN")
		return exitBroken
	}
	r.logf("HELD")
	return exitHeld
}

// logf writes a line to the record, and to the terminal.
func (r *record) logf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...)
	_, _ = fmt.Fprintln(r.file, line)
	if !strings.Contains(line, " client ") && !strings.Contains(line, " runner ") {
		fmt.Println(line)
	}
}

// at returns an instant as seconds since the start.
func (r *record) at(moment time.Time) float64 { return moment.Sub(r.start).Seconds() }

// writeAll writes all that was sent, answered and run.
func (r *record) writeAll(sent []outcome, arrived []arrival) {
	for _, o := range sent {
		r.logf("client sent %s at %.3f: status %d, stamp %q, %d bytes, %v, ended %.3f", o.attempt, r.at(o.sentAt), o.status, o.stamp,
			len(o.body), o.err, r.at(o.endedAt))
	}
	for _, a := range arrived {
		r.logf("runner %s (%s, %s) got %s %s at %.3f, ran %t, answered %t", a.runner, a.service, a.zone, a.attempt, a.path, r.at(a.at),
			a.isRun, a.isAnswered)
	}
}
