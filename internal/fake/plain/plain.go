// Package plain simulates a plain service, such as a booking system. It counts the runs
// of each idempotency key, optionally deduplicates calls by key, and injects faults on
// request.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mustardhook/internal/serve/limit"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/faults"
)

const (
	// PathRuns is the path that returns the number of runs of every key as JSON.
	PathRuns = "/fake/runs"

	// maxBodyBytes is the maximum size of the body of a request.
	maxBodyBytes = 16 << 20
)

type (
	// Ledger records the runs and the last answer of each key. All instances of one
	// service share it. It is safe for concurrent use.
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

// Runs returns the number of runs of a key.
func (l *Ledger) Runs(key string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[key]
}

// RunsByKey returns the number of runs of every key.
func (l *Ledger) RunsByKey() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make(map[string]int, len(l.runs))
	for key, runs := range l.runs {
		all[key] = runs
	}
	return all
}

// TotalRuns returns the number of runs of all keys.
func (l *Ledger) TotalRuns() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.total
}

// execute runs a call and returns its answer. With checks, a key that has already run
// does not run again and returns the previous answer.
func (l *Ledger) execute(key string, checks bool) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if answer, ok := l.answer[key]; ok && checks && key != "" {
		return answer
	}
	l.total++
	l.runs[key]++
	answer := `{"booking":` + strconv.Itoa(l.total) + `}`
	l.answer[key] = answer
	return answer
}

// New returns a service instance that records its runs in the ledger. With checksKeys,
// the instance runs each key only once.
func New(ledger *Ledger, checksKeys bool) *Server {
	return &Server{ledger: ledger, checksKeys: checksKeys}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(injected faults.Service) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = injected
}

// ServeHTTP handles a service call, or a request to the paths for tests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case faults.Path:
		s.handleFaults(w, r)
		return
	case PathRuns:
		text, err := json.Marshal(s.ledger.RunsByKey())
		if err != nil {
			panic(err)
		}
		_, _ = w.Write(text)
		return
	}
	s.mutex.Lock()
	injected := s.faults
	s.mutex.Unlock()
	s.answer(w, r, injected)
}

// answer runs the call and sends its answer, changed by the injected faults.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, injected faults.Service) {
	if _, err := limit.ReadAll(r.Body, maxBodyBytes); err != nil || injected.DisconnectBeforeCall {
		panic(http.ErrAbortHandler)
	}
	answer := s.ledger.execute(r.Header.Get(caller.HeaderIdempotencyKey), s.checksKeys)
	time.Sleep(injected.Delay.Duration())
	if injected.DisconnectAfterCall {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get(caller.HeaderAttempt)
	if injected.WrongAttempt {
		attempt = "another/attempt"
	}
	w.Header().Set(caller.HeaderAttempt, attempt)
	w.Header().Set("Content-Type", caller.TypeJSON)
	if injected.TruncateBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	body, err := limit.ReadAll(r.Body, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	injected, err := faults.DecodeService(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(injected)
}
