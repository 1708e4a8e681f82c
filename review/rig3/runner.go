package main

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two records of a runner.
	heartbeat = 1200 * time.Millisecond
	// pollPause is the least time between two attempts to write to the store. Runners take up to pollSpread more.
	pollPause  = 15 * time.Millisecond
	pollSpread = 45 * time.Millisecond
	// queuePlaces is the number of requests that wait at a runner besides those that it works on.
	queuePlaces = 24
)

type (
	// arrival is a request that reached a runner.
	arrival struct {
		at      time.Time
		runner  string
		zone    string
		service string
		attempt string
		path    string
		// isRun is set if the runner worked on it, isAnswered once its answer was written.
		isRun, isAnswered bool
	}

	// arrivals are all requests that reached any runner.
	arrivals struct {
		mutex sync.Mutex
		all   []*arrival
	}

	// runner stands in for a runner. It reports to the store and answers requests.
	runner struct {
		id, service, zone, address string
		slots                      int
		born                       int64
		store                      *store
		log                        *arrivals
		work                       time.Duration

		// places are taken by the requests that wait and those in work, busy by the latter.
		places, busy chan struct{}
		mutex        sync.Mutex
		sequence     int
		// reportedAt are the times of the records that the store has taken.
		reportedAt []time.Time
		state      string
	}
)

func (a *arrivals) add(next *arrival) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.all = append(a.all, next)
}

// list returns copies of all arrivals.
func (a *arrivals) list() []arrival {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	copies := make([]arrival, 0, len(a.all))
	for _, next := range a.all {
		copies = append(copies, *next)
	}
	return copies
}

func (a *arrivals) mark(next *arrival, isRun, isAnswered bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	next.isRun = next.isRun || isRun
	next.isAnswered = next.isAnswered || isAnswered
}

// start opens the port of the runner, and begins to report to the store.
func (r *runner) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address = listener.Addr().String()
	r.born = time.Now().UnixMilli()
	r.state = "ready"
	r.places, r.busy = make(chan struct{}, r.slots+queuePlaces), make(chan struct{}, r.slots)
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	r.report()
	go r.beat()
	return nil
}

// beat reports at each heartbeat. A report that the store didn't take is tried again soon. What the store has lost
// is written again.
func (r *runner) beat() {
	era := r.store.currentEra()
	next := time.Now().Add(heartbeat)
	for {
		time.Sleep(pollPause + rand.N(pollSpread))
		if now := r.store.currentEra(); now != era {
			era = now
			for range r.countLost(r.store.lossTime()) {
				r.report()
			}
		}
		if time.Now().After(next) && r.report() {
			next = time.Now().Add(heartbeat)
		}
	}
}

// countLost returns how many of its records the store has lost.
func (r *runner) countLost(since time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, at := range r.reportedAt {
		if at.After(since) {
			count++
		}
	}
	return count
}

// report writes the record of the runner.
func (r *runner) report() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	value, err := json.Marshal(object{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"cold_left_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	if err != nil {
		return false
	}
	_, isTaken := r.store.put("servers/"+r.id, value)
	if isTaken {
		r.reportedAt = append(r.reportedAt, time.Now())
	}
	return isTaken
}

// ServeHTTP answers one request as the page on runners says.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/report" {
		_, _ = io.WriteString(w, `{"stage":"prefill_decode","busy":false,"sequence":1,"waiting":0,"running":0,"pace":1,"born":`+
			strconv.FormatInt(r.born, 10)+`}`)
		return
	}
	if request.URL.Path == "/order" {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(w, `{"free":100000}`)
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	next := &arrival{
		at: time.Now(), runner: r.id, zone: r.zone, service: r.service, attempt: attempt, path: request.URL.Path,
	}
	w.Header().Set("Attempt-Id", attempt)
	if request.Header.Get("Expect-Instance") != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	r.log.add(next)
	if !r.begin(request.Context()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	r.log.mark(next, true, false)
	w.Header().Set("Server-Stamp", "stamp."+r.id+"."+attempt)
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
		return
	}
	_, err := io.WriteString(w, "done "+attempt)
	r.log.mark(next, false, err == nil)
}

// begin waits for a slot. It reports false if the runner is full, or if the caller has left.
func (r *runner) begin(ctx context.Context) bool {
	select {
	case r.places <- struct{}{}:
	default:
		return false
	}
	select {
	case r.busy <- struct{}{}:
		return true
	case <-ctx.Done():
		<-r.places
		return false
	}
}

// end gives the slot back.
func (r *runner) end() {
	<-r.busy
	<-r.places
}
