package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// badPart crashes each runner that begins to write an answer on it.
	badPart = "bad0"
	// badBurst is the number of prompts with the part that come at once; then one more comes in each badInterval. Sound
	// prompts come in each soundInterval.
	badBurst      = 40
	badInterval   = 2 * time.Second
	soundInterval = 2 * time.Second
	partTime      = 24 * time.Second
	partDeadline  = 9500 * time.Millisecond
	// writeDelay is how long a runner reads a prompt, lapseTime is three heartbeats, and restartTime how long a runner is
	// away after a crash.
	writeDelay  = 60 * time.Millisecond
	lapseTime   = 3600 * time.Millisecond
	restartTime = 4 * time.Second
	// countedCrash is the crash in the rule, and maxLatePrompts how many prompts may come later than stabilityWindow
	// after it.
	countedCrash   = 5
	maxLatePrompts = 3
)

func init() { cases["part"] = playPart }

// partCase is a deployment in which one part of a prompt crashes runners.
type partCase struct {
	world *world
	fleet *fleet

	mutex   sync.Mutex
	crashes []time.Time
	crashed map[string]bool
	// badRuns is the number of prompts with the part that reached a runner, late those of them that count. badRefused is
	// the number of those that were refused.
	badRuns    int
	late       int
	badRefused int
	started    int
	soundSent  int
	soundOK    int
	sentNumber int
}

// playPart sends sound prompts and, as the disruption, prompts with a part that crashes runners.
func playPart(w *world) int {
	p, ok := w.newPartCase()
	if !ok {
		return exitNotRun
	}
	var group sync.WaitGroup
	until := time.Now().Add(partTime)
	group.Go(func() {
		for time.Now().Before(until) {
			group.Go(func() { p.send(false) })
			time.Sleep(soundInterval)
		}
	})
	time.Sleep(calmTime)
	if w.hasTrouble {
		w.logf("%d prompts with the part %s come at once", badBurst, badPart)
		for range badBurst {
			group.Go(func() { p.send(true) })
		}
		for time.Now().Before(until) {
			time.Sleep(badInterval)
			group.Go(func() { p.send(true) })
		}
	}
	group.Wait()
	return p.judge()
}

// newPartCase starts a deployment whose models crash on the part. It reports false if the case can't run.
func (w *world) newPartCase() (*partCase, bool) {
	f, ok := w.newFleet()
	if !ok {
		return nil, false
	}
	p := &partCase{world: w, fleet: f, crashed: map[string]bool{}}
	for _, r := range f.models {
		p.arm(r)
	}
	return p, true
}

// judge logs what was seen and returns the exit code.
func (p *partCase) judge() int {
	w := p.world
	for _, e := range p.fleet.entries {
		for line := range strings.Lines(e.logText()) {
			if strings.Contains(line, "such prompts are refused") {
				w.logf("%s: %s", e.name, strings.TrimSpace(line))
			}
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	w.logf("%d crashes; %d prompts with the part reached runners, %d of them later than %d ms after crash %d; sound prompts answered: %d of %d",
		len(p.crashes), p.badRuns, p.late, stabilityWindow.Milliseconds(), countedCrash, p.soundOK, p.soundSent)
	switch {
	case p.late > maxLatePrompts:
		return exitBroken
	case w.hasTrouble && len(p.crashes) < countedCrash && p.badRefused == 0:
		w.logf("too few crashes for the rule")
		return exitNotRun
	case !w.hasTrouble && p.soundOK < p.soundSent:
		w.logf("sound prompts fail without the disruption")
		return exitNotRun
	}
	return exitHeld
}

// arm makes a runner crash when it begins to write an answer on the part.
func (p *partCase) arm(r *runner) {
	r.begin = func(_ http.ResponseWriter, request *http.Request) bool {
		if !strings.Contains(request.Header.Get("Prompt-Prefix"), badPart+":") {
			return true
		}
		p.note(r, request.Header.Get("Attempt-Id"))
		if pause(request, writeDelay) {
			p.crash(r)
		}
		panic(http.ErrAbortHandler)
	}
}

// note counts a prompt with the part that reaches a runner.
func (p *partCase) note(r *runner, attempt string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.badRuns++
	if len(p.crashes) >= countedCrash && time.Since(p.crashes[countedCrash-1]) > stabilityWindow {
		p.late++
	}
	p.world.logf("prompt %s with the part reaches %s; %d so far, %d late", attempt, r.id, p.badRuns, p.late)
}

// crash ends a runner: its port refuses, its connections break, its record lapses, and another incarnation starts later.
func (p *partCase) crash(r *runner) {
	p.mutex.Lock()
	isFirst := !p.crashed[r.id]
	p.crashed[r.id] = true
	if isFirst {
		p.crashes = append(p.crashes, time.Now())
		p.world.logf("%s crashes; crash %d", r.id, len(p.crashes))
	}
	p.started++
	number := p.started
	p.mutex.Unlock()
	if !isFirst {
		return
	}
	_ = r.server.Close()
	time.AfterFunc(lapseTime, func() { p.fleet.store.remove("servers/" + r.id) })
	time.AfterFunc(restartTime, func() {
		next, err := startRunner(fmt.Sprintf("i-%04x", number+5000), r.service, r.zone, r.ip(), r.slots, true)
		if err != nil {
			p.world.logf("a runner can't start again: %v", err)
			return
		}
		p.arm(next)
		p.fleet.store.put("servers/"+next.id, next.record("ready"))
	})
}

// send sends a prompt to the next entry. No two are alike; all share their first part and their caller.
func (p *partCase) send(isBad bool) {
	number := p.next()
	middle := fmt.Sprintf("%x:900", 0xaa0000+number%7)
	if isBad {
		middle = badPart + ":900"
	}
	p.sendParts(number, "5c1e07a2:40,"+middle, isBad)
}

// next returns the number of the next prompt.
func (p *partCase) next() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sentNumber++
	return p.sentNumber
}

// sendParts sends a prompt with the given parts and one of its own to the entry with the number.
func (p *partCase) sendParts(number int, parts string, isBad bool) {
	a := newAttempt(http.MethodPost, "/short/2f", partDeadline, "Model: m", "Token-Usage: 1000,800",
		fmt.Sprintf("Prompt-Prefix: %s,%x:60", parts, attempts.Add(1)+1<<33))
	a.body = a.id
	e := p.fleet.entries[number%len(p.fleet.entries)]
	got := a.send(e.address("frontend"))
	p.world.logf("prompt %s, with the part: %v, at %s: %v", a.id, isBad, e.name, got)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if isBad {
		if got.status == http.StatusServiceUnavailable {
			p.badRefused++
		}
		return
	}
	p.soundSent++
	if got.status == http.StatusOK && got.err == nil {
		p.soundOK++
	}
}
