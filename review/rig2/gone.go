package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// watchLife is how long a watch lives that the store cuts. Entries ask for 900 ms.
	watchLife = 300 * time.Millisecond
	// drainTime is drain_ms, and exitDelay how much longer a runner serves before it exits.
	drainTime = 2 * time.Second
	exitDelay = 250 * time.Millisecond
	// Every replaceInterval a runner is replaced without a notice, replaceCount times.
	replaceInterval = 7 * time.Second
	replaceCount    = 12
	// A booking is sent in each goneInterval, and takes goneWork.
	goneInterval = 10 * time.Millisecond
	goneWork     = 60 * time.Millisecond
)

func init() { cases["gone"] = playGone }

// departures records which bookings reach runners that are gone from the store.
type departures struct {
	world *world
	fleet *fleet
	group sync.WaitGroup
	stop  chan struct{}

	mutex sync.Mutex
	// sentAt is when the client sent an attempt, goneAt when the store acknowledged that a runner is gone.
	sentAt, goneAt map[string]time.Time
	// running holds the late attempts at each runner.
	running map[string]map[string]bool
	// arrived counts the bookings that ran, late those that reached their runner later than drainTime after it was gone, and lost
	// those of them that its exit cut off.
	arrived, late, lost int
}

// playGone replaces runners that never report that they drain. As the disruption, the store cuts the watches that wait.
func playGone(w *world) int {
	f, ok := w.newFleet()
	if !ok {
		return exitNotRun
	}
	d := &departures{
		world: w, fleet: f, stop: make(chan struct{}), sentAt: map[string]time.Time{}, goneAt: map[string]time.Time{},
		running: map[string]map[string]bool{},
	}
	for _, r := range f.apps {
		d.serve(r)
	}
	if w.hasTrouble {
		f.store.cutWatches(watchLife)
	}
	d.group.Go(d.book)
	for number := range replaceCount {
		time.Sleep(replaceInterval)
		if err := d.add(modelCount + appCount + number); err != nil {
			w.logf("a runner can't start: %v", err)
			return exitNotRun
		}
		d.remove(f.apps[number])
	}
	time.Sleep(replaceInterval / 2)
	close(d.stop)
	d.group.Wait()
	w.logf("the store has cut %d watches; the entries took that for %d outages of the store", f.store.cutCount(), d.outages())
	w.logf("%d bookings ran; %d reached a runner later than %d ms after it was gone from the store, sent by their clients later than that too; "+
		"%d of these were cut off by its exit", d.arrived, d.late, drainTime.Milliseconds(), d.lost)
	switch {
	case d.arrived == 0:
		return exitNotRun
	case d.late > 0:
		return exitBroken
	}
	return exitHeld
}

// outages returns how often the entries logged that they can't read the store.
func (d *departures) outages() int {
	count := 0
	for _, e := range d.fleet.entries {
		count += strings.Count(e.logText(), "Published state can't be read.")
	}
	return count
}

// serve makes the runner record the bookings that it runs.
func (d *departures) serve(r *runner) {
	r.answer = func(rw http.ResponseWriter, request *http.Request, _ []byte) {
		attempt := request.Header.Get("Attempt-Id")
		d.begin(r.id, attempt)
		if pause(request, goneWork) {
			_, _ = io.WriteString(rw, r.text(attempt))
		}
		d.mutex.Lock()
		defer d.mutex.Unlock()
		delete(d.running[r.id], attempt)
	}
}

// begin records that a booking begins to run.
func (d *departures) begin(runner, attempt string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.arrived++
	goneAt, isGone := d.goneAt[runner]
	if !isGone || time.Since(goneAt) <= drainTime || d.sentAt[attempt].Sub(goneAt) <= drainTime {
		return
	}
	d.late++
	d.running[runner][attempt] = true
	d.world.logf("%s reaches %s %d ms after it was gone, sent %d ms after", attempt, runner, time.Since(goneAt).Milliseconds(),
		d.sentAt[attempt].Sub(goneAt).Milliseconds())
}

// add starts a runner that enters itself in the store.
func (d *departures) add(number int) error {
	r, err := d.fleet.addRunner(number)
	if err != nil {
		return err
	}
	d.serve(r)
	d.fleet.store.put("servers/"+r.id, r.record("ready"))
	return nil
}

// remove removes the entry of a runner, which serves for drainTime and exitDelay more and then exits.
func (d *departures) remove(r *runner) {
	d.fleet.store.remove("servers/" + r.id)
	d.mutex.Lock()
	d.goneAt[r.id] = time.Now()
	d.running[r.id] = map[string]bool{}
	d.mutex.Unlock()
	d.world.logf("%s is gone from the store", r.id)
	d.group.Go(func() {
		time.Sleep(drainTime + exitDelay)
		d.mutex.Lock()
		d.lost += len(d.running[r.id])
		d.world.logf("%s exits; late bookings that it runs: %d", r.id, len(d.running[r.id]))
		d.mutex.Unlock()
		_ = r.server.Close()
	})
}

// book sends bookings to all entries in turn.
func (d *departures) book() {
	for number := 0; ; number++ {
		select {
		case <-d.stop:
			return
		case <-time.After(goneInterval):
		}
		e := d.fleet.entries[number%len(d.fleet.entries)]
		d.group.Go(func() {
			a := newAttempt(http.MethodPost, "/book/2f", bookTimeout)
			a.body = fmt.Sprintf("roof %d", number)
			d.mutex.Lock()
			d.sentAt[a.id] = time.Now()
			d.mutex.Unlock()
			if got := a.send(e.address("frontend")); got.status != http.StatusOK {
				d.world.logf("%s at %s: %v", a.id, e.name, got)
			}
		})
	}
}
