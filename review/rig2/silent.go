package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silentClients is the number of clients that open a connection and send nothing, and open it again once the entry has
	// closed it. silentTime is how long they stay, and silentLead how long before the first booking.
	silentClients = 2000
	silentTime    = 20 * time.Second
	silentLead    = 3 * time.Second
	silentPause   = 100 * time.Millisecond
)

func init() { cases["silent"] = playSilent }

// playSilent lets clients open connections without a request, and books meanwhile at the same entry.
func playSilent(w *world) int {
	f, ok := w.newFleet()
	if !ok {
		return exitNotRun
	}
	target := f.entries[:1]
	calm := &ordinary{world: w}
	calm.book(target, f.apps[0], calmTime)
	if calm.answered < calm.sent {
		w.logf("bookings are not answered in calm: %d of %d", calm.answered, calm.sent)
		return exitNotRun
	}
	var opened, open atomic.Int64
	var crowd sync.WaitGroup
	if w.hasTrouble {
		w.logf("%d clients open a connection to %s and send nothing", silentClients, target[0].name)
		until := time.Now().Add(silentTime)
		for range silentClients {
			crowd.Go(func() {
				for time.Now().Before(until) {
					holdSilently(target[0].address("frontend"), until, &opened, &open)
				}
			})
		}
		time.Sleep(silentLead)
	}
	during := &ordinary{world: w}
	done := make(chan struct{})
	go func() {
		defer close(done)
		during.book(target, f.apps[0], crowdTime)
	}()
	for isDone := false; !isDone; {
		w.logf("silent connections: %d open, %d opened so far; the entry is ready: %v", open.Load(), opened.Load(), target[0].isReady())
		select {
		case <-done:
			isDone = true
		case <-time.After(time.Second):
		}
	}
	crowd.Wait()
	w.logf("%s has ended: %v", target[0].name, target[0].hasEnded())
	return during.judge()
}

// holdSilently holds a connection until the entry closes it or the time is over.
func holdSilently(address string, until time.Time, opened, open *atomic.Int64) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		time.Sleep(silentPause)
		return
	}
	defer func() { _ = conn.Close() }()
	opened.Add(1)
	open.Add(1)
	defer open.Add(-1)
	_ = conn.SetReadDeadline(until)
	_, _ = conn.Read(make([]byte, 1))
}
