// Package config is the stand-in of the platform's configuration service: it can
// only be read and watched, counts its reads, and can lag, go stale or be down.
package config

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/wire/watch"
)

const (
	// DefaultRate is how many reads a second the service answers.
	DefaultRate = 2000

	pageLimit = 512
)

type (
	// Server is the configuration service. Its values are set by operators, which
	// here are the tests and the demonstration, never by an entry.
	Server struct {
		mutex    sync.Mutex
		values   map[string]watch.Value
		revision uint64
		changed  chan struct{}
		limiter  *rate.Limiter
		reads    int
		down     bool
		garbage  bool
		frozen   *Server
		lag      time.Duration
	}
)

// New returns an empty service.
func New() *Server {
	return &Server{
		values: map[string]watch.Value{}, changed: make(chan struct{}),
		limiter: rate.NewLimiter(DefaultRate, DefaultRate),
	}
}

// Set publishes a value.
func (s *Server) Set(key string, text []byte) { s.put(watch.Value{Key: key, Text: text}) }

// Remove takes a value away.
func (s *Server) Remove(key string) { s.put(watch.Value{Key: key, Removed: true}) }

// SetInstance publishes one row of the list of instances.
func (s *Server) SetInstance(row event.Instance) {
	text, err := watch.EncodeInstance(row)
	if err != nil {
		panic(err)
	}
	s.Set(watch.InstancePrefix+row.Name, text)
}

// RemoveInstance drops one row of the list of instances.
func (s *Server) RemoveInstance(name string) { s.Remove(watch.InstancePrefix + name) }

func (s *Server) put(value watch.Value) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	value.Revision = s.revision
	s.values[value.Key] = value
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown makes the service refuse all reads, or answer again.
func (s *Server) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetGarbage makes the service answer with text that is no answer.
func (s *Server) SetGarbage(garbage bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.garbage = garbage
}

// SetLag holds every answer back.
func (s *Server) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
}

// Freeze makes the service go stale: it answers with what it holds now, until
// Thaw, whatever is published meanwhile.
func (s *Server) Freeze() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozen = New()
	s.frozen.revision = s.revision
	for key, value := range s.values {
		s.frozen.values[key] = value
	}
}

// Thaw ends a Freeze.
func (s *Server) Thaw() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozen = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reads returns how many reads came; a waiting one counts as one.
func (s *Server) Reads() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads
}

// ServeHTTP answers waiting reads.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != watch.Path {
		http.Error(w, "only reads of "+watch.Path, http.StatusMethodNotAllowed)
		return
	}
	if !s.limiter.Allow() {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	after, wait := watch.ParseQuery(r.URL.Query())
	page, status := s.wait(r, after, wait)
	if status != http.StatusOK {
		http.Error(w, "down", status)
		return
	}
	text, err := watch.EncodePage(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(text)
}

func (s *Server) wait(r *http.Request, after uint64, wait clock.Millis) (watch.Page, int) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	s.count()
	for expired := false; ; {
		page, changed, status := s.page(after)
		if status != http.StatusOK || len(page.Values) > 0 || expired || wait == 0 {
			return page, status
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return page, http.StatusServiceUnavailable
		}
	}
}

func (s *Server) count() {
	s.mutex.Lock()
	s.reads++
	lag := s.lag
	s.mutex.Unlock()
	time.Sleep(lag)
}

func (s *Server) page(after uint64) (watch.Page, <-chan struct{}, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return watch.Page{}, s.changed, http.StatusServiceUnavailable
	}
	if s.garbage {
		value := watch.Value{Key: watch.TicketPrefix + "garbage", Text: []byte("{\"number\": ")}
		return watch.Page{Revision: s.revision, Values: []watch.Value{value}}, s.changed, http.StatusOK
	}
	source := s
	if s.frozen != nil {
		source = s.frozen
	}
	return source.collect(after), s.changed, http.StatusOK
}

// collect returns the values after the revision, oldest first, a page at a time.
func (s *Server) collect(after uint64) watch.Page {
	page := watch.Page{Revision: s.revision}
	for _, value := range s.values {
		if value.Revision > after {
			page.Values = append(page.Values, value)
		}
	}
	slices.SortFunc(page.Values, func(a, b watch.Value) int { return cmp.Compare(a.Revision, b.Revision) })
	if len(page.Values) > pageLimit {
		page.Values = page.Values[:pageLimit]
		page.Revision = page.Values[pageLimit-1].Revision
		page.More = true
	}
	return page
}
