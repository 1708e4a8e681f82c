package main

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleWave is the number of clients that come at once, maxIdle the largest number of them that is tried, and
	// idleTime how long they keep a connection without a request: four fifths of the limit in the configuration.
	idleWave = 15
	maxIdle  = 3000
	idleTime = 12 * time.Second
	// readTimeout is the time after which a client abandons an attempt that was not read.
	readTimeout = 1 * time.Second
	// newcomers is the number of clients that try afterwards, for newcomerTime; minNewcomers is the number in the rule.
	newcomers    = 10
	minNewcomers = 7
	newcomerTime = 6 * time.Second
	// stabilityWindow is stability_window_ms.
	stabilityWindow = 3 * time.Second
	boardDeadline   = 1500 * time.Millisecond
	newcomerPause   = 50 * time.Millisecond
)

func init() { cases["idle"] = playIdle }

// newcomerLog records what clients get that come when all places are taken.
type newcomerLog struct {
	mutex sync.Mutex
	// triedBy is the number of attempts of each client, lastAt when one was last answered, and longest the longest
	// time in which none was. isUnready is set once the entry has said that it is not ready.
	triedBy   [newcomers]int
	answered  int
	lastAt    time.Time
	longest   time.Duration
	isUnready bool
}

// playIdle lets clients send one request each and keep their connections, until the entry takes no further one. Then
// others try.
func playIdle(w *world) int {
	f, ok := w.newFleet()
	if !ok {
		return exitNotRun
	}
	target := f.entries[0]
	gone := make(chan struct{})
	var clients sync.WaitGroup
	if w.hasTrouble {
		w.fill(target, gone, &clients)
	}
	l := &newcomerLog{lastAt: time.Now()}
	l.watch(w, target)
	close(gone)
	clients.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	tried := 0
	for _, count := range l.triedBy {
		if count > 0 {
			tried++
		}
	}
	w.logf("%d newcomers tried %v times; %d answers; longest time without one %d ms; the entry said all the while that it was ready: %v",
		tried, l.triedBy, l.answered, l.longest.Milliseconds(), !l.isUnready)
	if tried >= minNewcomers && l.longest >= stabilityWindow && !l.isUnready {
		return exitBroken
	}
	return exitHeld
}

// fill lets clients come in waves until some of them get no answer. They keep their connections until gone is closed, or as
// long as clients do.
func (w *world) fill(target *entry, gone chan struct{}, clients *sync.WaitGroup) {
	for total := 0; total < maxIdle; total += idleWave {
		results := make(chan bool, idleWave)
		for range idleWave {
			clients.Go(func() { keepIdle(target.address("frontend"), gone, results) })
		}
		answered := 0
		for range idleWave {
			if <-results {
				answered++
			}
		}
		if answered < idleWave {
			w.logf("%d clients came and had an answer each; %d of the last wave had none", total+answered, idleWave-answered)
			return
		}
	}
	w.logf("%d clients came and had an answer each", maxIdle)
}

// keepIdle sends one request and keeps the connection.
func keepIdle(address string, gone <-chan struct{}, results chan<- bool) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		results <- false
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(readTimeout))
	got := newAttempt(http.MethodGet, "/board/2f", boardDeadline).exchange(conn, bufio.NewReader(conn))
	results <- got.status != 0 && got.err == nil
	if got.err != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(idleTime))
	closed := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	}()
	select {
	case <-gone:
	case <-closed:
	}
}

// watch lets the newcomers try and asks meanwhile whether the entry is ready.
func (l *newcomerLog) watch(w *world, target *entry) {
	var group sync.WaitGroup
	until := time.Now().Add(newcomerTime)
	for i := range newcomers {
		group.Go(func() {
			for time.Now().Before(until) {
				l.try(w, target, i)
				time.Sleep(newcomerPause)
			}
		})
	}
	for time.Now().Before(until) {
		isReady := target.isReady()
		w.logf("%s is ready: %v", target.name, isReady)
		l.mutex.Lock()
		l.isUnready = l.isUnready || !isReady
		l.mutex.Unlock()
		time.Sleep(time.Second)
	}
	group.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.longest = max(l.longest, time.Since(l.lastAt))
}

// try sends a request on a new connection. The client abandons it if it is not answered in readTimeout.
func (l *newcomerLog) try(w *world, target *entry, client int) {
	a := newAttempt(http.MethodGet, "/board/2f", boardDeadline)
	a.patience = readTimeout
	got := a.send(target.address("frontend"))
	w.logf("newcomer %d, %s: %v", client, a.id, got)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.triedBy[client]++
	if got.status != 0 {
		l.answered++
		l.longest = max(l.longest, time.Since(l.lastAt))
		l.lastAt = time.Now()
	}
}
