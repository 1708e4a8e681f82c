package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// oversizedTokens is the length of a prompt that one runner can't hold, oversizedPerEntry the number of clients
	// that send one to each entry, and oversizedDeadline how long they wait.
	oversizedTokens   = 400_000
	oversizedPerEntry = 300
	oversizedDeadline = 15 * time.Second

	calmTime  = 3 * time.Second
	crowdTime = 8 * time.Second
)

func init() { cases["oversized"] = playOversized }

// playOversized lets many clients send one long prompt each, and books meanwhile.
func playOversized(w *world) int {
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
		w.logf("%d clients send a prompt of %d tokens to each entry", oversizedPerEntry, oversizedTokens)
		for range oversizedPerEntry {
			for _, e := range f.entries {
				crowd.Go(func() {
					a := newAttempt(http.MethodPost, "/dossier/2f", oversizedDeadline, prompt(oversizedTokens, 800)...)
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
