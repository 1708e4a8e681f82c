package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// bookInterval is the time between two bookings.
	bookInterval = 100 * time.Millisecond
	// bookTimeout is the timeout_ms of the route for bookings, and answerSlack the time after it within which a
	// request must have an answer.
	bookTimeout = 1500 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	// bookDeadline is how long the client of a booking waits.
	bookDeadline = 3 * time.Second
	// minLate is the least number of requests without an answer that counts, and maxDirect the longest time that
	// a runner may take that is asked directly: with more, the machine of the test is too busy.
	minLate   = 8
	maxDirect = 250 * time.Millisecond
)

// ordinary are the outcomes of ordinary bookings.
type ordinary struct {
	world *world
	group sync.WaitGroup

	mutex    sync.Mutex
	sent     int
	answered int
	// unanswered are the requests without an answer at the timeout of their route, silent those without one
	// answerSlack later.
	unanswered int
	silent     int
	// slowestDirect is the longest time that a runner took that was asked directly.
	slowestDirect time.Duration
}

// book sends a booking in each bookInterval for the given time, each on a new connection and to the next entry. With each it asks
// a runner directly too.
func (o *ordinary) book(entries []*entry, app *runner, duration time.Duration) {
	for number, until := 0, time.Now().Add(duration); time.Now().Before(until); number++ {
		o.group.Go(func() { o.bookOnce(entries[number%len(entries)]) })
		o.group.Go(func() { o.ask(app) })
		time.Sleep(bookInterval)
	}
	o.group.Wait()
}

func (o *ordinary) bookOnce(e *entry) {
	a := newAttempt(http.MethodPost, "/book/2f", bookDeadline)
	a.body = "roof " + a.id
	got := a.send(e.address("frontend"))
	isAnswer := got.status != 0 && got.err == nil
	o.world.logf("booking %s at %s: %v", a.id, e.name, got)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.sent++
	if isAnswer && got.took <= bookTimeout {
		o.answered++
		return
	}
	o.unanswered++
	if got.took > bookTimeout+answerSlack {
		o.silent++
	}
}

// ask sends a request to a runner directly, which shows that the machine of the test is not too busy.
func (o *ordinary) ask(app *runner) {
	got := newAttempt(http.MethodGet, "/health", bookDeadline).send(app.address)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.slowestDirect = max(o.slowestDirect, got.took)
}

// judge returns the exit code by the rule CONFIG: eight or more of the requests that last longer than the timeout of their
// route, and more than half of them, have no answer half a second later.
func (o *ordinary) judge() int {
	o.world.logf("bookings: %d sent, %d answered in time, %d unanswered at the timeout of the route, %d of these still %d ms later",
		o.sent, o.answered, o.unanswered, o.silent, answerSlack.Milliseconds())
	o.world.logf("slowest direct answer of a runner: %d ms", o.slowestDirect.Milliseconds())
	switch {
	case o.slowestDirect > maxDirect:
		o.world.logf("the machine of the test is too busy")
		return exitNotRun
	case o.silent >= minLate && 2*o.silent > o.unanswered:
		return exitBroken
	}
	return exitHeld
}
