package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// greyEvery is the part of the bookings that runners fail: one in so many, which is less than x = 0.4.
	greyEvery = 4
	toldTime  = 8 * time.Second
)

func init() { cases["told"] = playTold }

// bookings records which bookings ran, by their text, and what their clients were told.
type bookings struct {
	mutex sync.Mutex
	// runs counts the runs of each booking, attemptRuns those of each attempt.
	runs        map[string]int
	attemptRuns map[string]int
	begun       int
	// promised are the attempts that were answered with a status which promises that they have not run.
	promised []string
}

// playTold lets runners fail a part of the bookings that they have run.
func playTold(w *world) int {
	f, ok := w.newFleet()
	if !ok {
		return exitNotRun
	}
	b := &bookings{runs: map[string]int{}, attemptRuns: map[string]int{}}
	for _, r := range f.apps {
		r.answer = func(rw http.ResponseWriter, request *http.Request, body []byte) { b.answer(w, r, rw, request, body) }
	}
	var group sync.WaitGroup
	for number, until := 0, time.Now().Add(toldTime); time.Now().Before(until); number++ {
		group.Go(func() { b.book(w, f, number) })
		time.Sleep(bookInterval)
	}
	group.Wait()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	false503, twice := 0, 0
	for _, id := range b.promised {
		if b.attemptRuns[id] > 0 {
			false503++
		}
	}
	for _, runs := range b.runs {
		if runs > 1 {
			twice++
		}
	}
	w.logf("%d attempts ran; %d attempts were answered with 408, 421, 429 or 503, %d of these had run; %d bookings ran twice",
		b.begun, len(b.promised), false503, twice)
	switch {
	case b.begun == 0:
		return exitNotRun
	case false503 > 0:
		return exitBroken
	}
	return exitHeld
}

// answer runs a booking. As the disruption, the runner then fails one in greyEvery of them.
func (b *bookings) answer(w *world, r *runner, rw http.ResponseWriter, request *http.Request, body []byte) {
	attempt := request.Header.Get("Attempt-Id")
	b.mutex.Lock()
	b.begun++
	isFailed := w.hasTrouble && b.begun%greyEvery == 0
	b.runs[string(body)]++
	b.attemptRuns[attempt]++
	b.mutex.Unlock()
	w.logf("%s runs %s, attempt %s, and fails it: %v", r.id, body, attempt, isFailed)
	if !pause(request, 15*time.Millisecond) {
		return
	}
	if isFailed {
		rw.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(rw, "the database was lost after the booking\n")
		return
	}
	_, _ = io.WriteString(rw, r.text(attempt))
}

// book books once. The client sends the booking again, as another attempt, only after a promise that it has not run.
func (b *bookings) book(w *world, f *fleet, number int) {
	text := fmt.Sprintf("roof %d", number)
	for try := range 2 {
		a := newAttempt(http.MethodPost, "/book/2f", bookTimeout)
		a.body = text
		e := f.entries[(number+try)%len(f.entries)]
		got := a.send(e.address("frontend"))
		w.logf("%s, attempt %s at %s: %v, stamp %q", text, a.id, e.name, got, got.stamp)
		switch got.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			b.mutex.Lock()
			b.promised = append(b.promised, a.id)
			b.mutex.Unlock()
		default:
			return
		}
	}
}
