//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// run is one request that a runner began to work on.
	run struct {
		runner  string
		service string
		attempt string
		tenant  string
		path    string
		at      time.Time
	}

	// runner is a sound runner of a plain service. It does what the protocol page says.
	runner struct {
		id      string
		service string
		zone    string
		address string
		born    int64
		record  *record
		server  *http.Server
		runs    *runs
		// work replaces the default work: an answer of a few bytes after a few milliseconds.
		work func(w http.ResponseWriter, r *http.Request, body []byte)
	}

	// runs holds the runs at all runners.
	runs struct {
		mutex sync.Mutex
		list  []run
	}
)

func (l *runs) add(next run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.list = append(l.list, next)
}

// of returns the runs of a request.
func (l *runs) of(attempt string) []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []run
	for _, next := range l.list {
		if next.attempt == attempt {
			found = append(found, next)
		}
	}
	return found
}

func startRunner(r *record, list *runs, id, service, zone string) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &runner{
		id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), record: r, runs: list,
	}
	n.server = &http.Server{Handler: n, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = n.server.Serve(listener) }()
	return n, nil
}

// entry is what the runner writes to the store.
func (n *runner) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": n.service, "address": n.address, "zone": n.zone, "version": "v1", "slots": 16, "state": state,
		"cold_left_ms": 0, "sequence": sequence, "born": n.born,
	}
}

// ServeHTTP implements http.Handler.
func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	attempt := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", n.id)
		return
	}
	if attempt != "" {
		header.Set("Attempt-Id", attempt)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != n.id {
		header.Set("Instance-Id", n.id)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n.runs.add(run{n.id, n.service, attempt, r.Header.Get("Tenant"), r.RequestURI, time.Now()})
	n.record.line("run", "%s at %s tenant %q key passed on %t", attempt, n.id, r.Header.Get("Tenant"), r.Header.Get("Authorization") != "")
	header.Set("Server-Stamp", n.id+"."+attempt)
	if n.work != nil {
		n.work(w, r, body)
		return
	}
	time.Sleep(15 * time.Millisecond)
	text := fmt.Sprintf("done %s by %s\n", attempt, n.id)
	header.Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}
