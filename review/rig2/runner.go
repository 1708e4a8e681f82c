package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// runner stands in for a runner of a plain service or of a model.
	runner struct {
		id, service, zone string
		address           string
		slots             int
		isModel           bool
		listener          net.Listener
		server            *http.Server

		// answer replaces the usual answer; it is called after the request has begun to run.
		answer func(w http.ResponseWriter, r *http.Request, body []byte)
		// begin is called before a request runs, and reports whether it shall.
		begin func(w http.ResponseWriter, r *http.Request) bool

		mutex   sync.Mutex
		runs    map[string]int
		running int
	}
)

// startRunner starts a runner on a free port of the address.
func startRunner(id, service, zone, ip string, slots int, isModel bool) (*runner, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &runner{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, isModel: isModel, listener: listener,
		runs: map[string]int{},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// ip returns the address without the port.
func (s *runner) ip() string { return s.listener.Addr().(*net.TCPAddr).IP.String() }

// record returns what the runner writes to the store.
func (s *runner) record(state string) string {
	text, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_left_ms": 0, "stage": "prefill_decode", "models": []any{}, "sequence": 1, "born": 1_700_000_000_000,
	})
	return string(text)
}

// ServeHTTP answers reports, orders, health checks and requests.
func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		_, _ = io.WriteString(w, `{"stage":"prefill_decode","models":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_used":0,"kv_total":315000,"handles":0,"pace":1}`)
		return
	case "/order":
		_, _ = io.WriteString(w, `{"free":315000}`)
		return
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.begin != nil && !s.begin(w, r) {
		return
	}
	if !s.enter(attempt) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	w.Header().Set("Server-Stamp", "stamp."+s.id+"."+attempt)
	switch {
	case s.answer != nil:
		s.answer(w, r, body)
	case s.isModel:
		s.stream(w, r)
	default:
		if pause(r, 15*time.Millisecond) {
			_, _ = io.WriteString(w, s.text(attempt))
		}
	}
}

// enter takes a slot for a request that begins to run. It reports false if none is free.
func (s *runner) enter(attempt string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	s.runs[attempt]++
	return true
}

func (s *runner) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// text is the body of the answer of a plain service.
func (s *runner) text(attempt string) string {
	return "answer to " + attempt + strings.Repeat(".", 700)
}

// stream answers like a model, with a reading speed of 177 tokens in a millisecond for each part.
func (s *runner) stream(w http.ResponseWriter, r *http.Request) {
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	parts := 1
	if helpers := r.Header.Get("Helpers"); helpers != "" {
		parts += strings.Count(helpers, ",") + 1
	}
	if !pause(r, time.Duration(tokens/parts/177)*time.Millisecond) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := first + 1; id <= 16; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", id, r.Header.Get("Attempt-Id"), id)
		_ = http.NewResponseController(w).Flush()
		if !pause(r, 45*time.Millisecond) {
			return
		}
	}
}

// pause waits, and reports false if the caller leaves before.
func pause(r *http.Request, duration time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(duration):
		return true
	}
}
