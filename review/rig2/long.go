package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// longTokens is the length of a prompt, longPerEntry the number of clients
	// that send one to each entry, and longDeadline how long they wait.
	longTokens   = 25_000
	longPerEntry = 300
	longDeadline = 15 * time.Second

	calmTime  = 3 * time.Second
	crowdTime = 8 * time.Second
)

func init() { cases["long"] = playLong }

// playLong lets many clients send one long prompt each, and books meanwhile.
func playLong(w *world) int {
	f, ok := w.newFleet()
	if !ok {
		return exitNotRun
	}
	calm := &ordinary{world: w}
	calm.book(f.entries, f.apps[0], calmTime)
	if calm.answered < calm.sent {
		w.logf("bookings are not answered in calm: %d of %d", calm.answered, calm.sent)
		return exitNotRun
	}
	var crowd sync.WaitGroup
	if w.hasTrouble {
		w.logf("%d clients send a prompt of %d tokens to each entry", longPerEntry, longTokens)
		for range longPerEntry {
			for _, e := range f.entries {
				crowd.Go(func() {
					a := newAttempt(http.MethodPost, "/dossier/2f", longDeadline, prompt(longTokens, 800)...)
					a.body = a.id
					w.logf("prompt %s at %s: %v", a.id, e.name, a.send(e.address("frontend")))
				})
			}
		}
		time.Sleep(time.Second)
	}
	during := &ordinary{world: w}
	during.book(f.entries, f.apps[0], crowdTime)
	crowd.Wait()
	for _, e := range f.entries {
		w.logf("%s has ended: %v", e.name, e.hasEnded())
	}
	return during.judge()
}
