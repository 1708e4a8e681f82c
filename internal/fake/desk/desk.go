// Package desk is the stand-in of a plain service: it counts how often each
// idempotency key ran, checks keys or does not, and fails on demand.
package desk

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/faults"
)

const (
	// PathRuns answers with the runs of every key.
	PathRuns = "/fake/runs"
)

type (
	// Ledger counts runs by key. Instances of one service share it.
	Ledger struct {
		mutex  sync.Mutex
		runs   map[string]int
		answer map[string]string
		total  int
	}

	// Server is one instance of a service.
	Server struct {
		mutex      sync.Mutex
		ledger     *Ledger
		checksKeys bool
		faults     faults.Service
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, answer: map[string]string{}}
}

// Runs returns how often the key ran.
func (l *Ledger) Runs(key string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[key]
}

// All returns the runs of every key.
func (l *Ledger) All() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make(map[string]int, len(l.runs))
	for key, runs := range l.runs {
		all[key] = runs
	}
	return all
}

// Total returns the count of all runs.
func (l *Ledger) Total() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.total
}

// run counts one run and returns its answer. A service that checks keys runs a
// key once and gives the first answer again.
func (l *Ledger) run(key string, checks bool) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if answer, known := l.answer[key]; known && checks && key != "" {
		return answer
	}
	l.total++
	l.runs[key]++
	answer := `{"booking":` + strconv.Itoa(l.total) + `}`
	l.answer[key] = answer
	return answer
}

// New returns an instance of a service with the ledger.
func New(ledger *Ledger, checksKeys bool) *Server {
	return &Server{ledger: ledger, checksKeys: checksKeys}
}

// SetFaults changes the faults.
func (s *Server) SetFaults(wanted faults.Service) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = wanted
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case faults.Path:
		s.decodeFaults(w, r)
		return
	case PathRuns:
		text, err := json.Marshal(s.ledger.All())
		if err != nil {
			panic(err)
		}
		_, _ = w.Write(text)
		return
	}
	s.mutex.Lock()
	wrong := s.faults
	s.mutex.Unlock()
	s.answer(w, r, wrong)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, wrong faults.Service) {
	if _, err := io.ReadAll(r.Body); err != nil || wrong.DisconnectBeforeCall {
		panic(http.ErrAbortHandler)
	}
	answer := s.ledger.run(r.Header.Get(caller.HeaderIdempotencyKey), s.checksKeys)
	time.Sleep(wrong.Delay.Duration())
	if wrong.DisconnectAfterCall {
		panic(http.ErrAbortHandler)
	}
	name := r.Header.Get(caller.HeaderAttempt)
	if wrong.WrongAttempt {
		name = "another/attempt"
	}
	w.Header().Set(caller.HeaderAttempt, name)
	w.Header().Set("Content-Type", caller.TypeJSON)
	if wrong.TruncateBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func (s *Server) decodeFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	wanted, err := faults.DecodeService(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(wanted)
}
