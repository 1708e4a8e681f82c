// Package config simulates the platform's configuration service. Its HTTP interface is
// read-only and supports long polling. Tests can count the reads and make the service slow,
// stale, invalid or unavailable.
package config

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mustardhook/internal/core/event"
	"mustardhook/internal/wire/watch"
)

const (
	// DefaultRate is the maximum number of reads per second.
	DefaultRate = 2000

	pageLimit = 512
)

type (
	// Server is the configuration service. Its values are set by tests, the demonstration and
	// the standin command, never by an entry. It is safe for concurrent use.
	Server struct {
		mutex    sync.Mutex
		values   map[string]watch.Value
		era      uint64
		revision uint64
		changed  chan struct{}
		limiter  *rate.Limiter
		reads    int
		down     bool
		garbage  bool
		frozen   *Server
		lag      time.Duration
		// ignoresEra makes the service read polls as if they named no era.
		ignoresEra bool
	}
)

// New returns a service without values.
func New() *Server {
	return &Server{
		values: map[string]watch.Value{}, changed: make(chan struct{}),
		limiter: rate.NewLimiter(DefaultRate, DefaultRate),
	}
}

// Set publishes a value.
func (s *Server) Set(key string, text []byte) { s.publish(watch.Value{Key: key, Text: text}) }

// Remove publishes the removal of a value.
func (s *Server) Remove(key string) { s.publish(watch.Value{Key: key, Removed: true}) }

// SetInstance publishes an instance in the list of instances. It panics if the
// instance can't be encoded.
func (s *Server) SetInstance(instance event.Instance) {
	text, err := watch.EncodeInstance(instance)
	if err != nil {
		panic(err)
	}
	s.Set(watch.InstancePrefix+instance.Name, text)
}

// RemoveInstance removes an instance from the list of instances.
func (s *Server) RemoveInstance(name string) { s.Remove(watch.InstancePrefix + name) }

// publish stores a value under the next revision and wakes waiting reads.
func (s *Server) publish(value watch.Value) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	value.Revision = s.revision
	s.values[value.Key] = value
	s.wake()
}

// wake ends the waits of all polls.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown makes the service refuse all reads, or accept them again.
func (s *Server) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.wake()
}

// SetGarbage makes the service answer every read with a ticket of malformed JSON.
func (s *Server) SetGarbage(garbage bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.garbage = garbage
}

// SetLag delays every answer.
func (s *Server) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
}

// Freeze makes the service answer with the values of this moment until Unfreeze,
// whatever is published meanwhile.
func (s *Server) Freeze() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozen = New()
	s.frozen.era = s.era
	s.frozen.revision = s.revision
	for key, value := range s.values {
		s.frozen.values[key] = value
	}
}

// Unfreeze ends the effect of Freeze.
func (s *Server) Unfreeze() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozen = nil
	s.wake()
}

// Reads returns the number of reads so far. A long poll counts as one read.
func (s *Server) Reads() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads
}

// ServeHTTP answers a read. A read with a wait time returns as soon as there is a newer
// value, or when that time has passed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != watch.Path {
		http.Error(w, "only reads of "+watch.Path, http.StatusMethodNotAllowed)
		return
	}
	if !s.limiter.Allow() {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	page, status := s.wait(r, watch.ParseQuery(r.URL.Query()))
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

// wait returns the first page with values after the point of the poll, or an empty page when
// the wait time has passed, and an HTTP status.
func (s *Server) wait(r *http.Request, poll watch.Poll) (watch.Page, int) {
	timer := time.NewTimer(poll.Wait.Duration())
	defer timer.Stop()
	s.beginRead()
	for expired := false; ; {
		page, changed, status := s.currentPage(poll)
		if status != http.StatusOK || len(page.Values) > 0 || expired || poll.Wait == 0 {
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

// beginRead counts a read and waits for the lag.
func (s *Server) beginRead() {
	s.mutex.Lock()
	s.reads++
	lag := s.lag
	s.mutex.Unlock()
	time.Sleep(lag)
}

// currentPage returns the page after the point of the poll, a channel that is closed at the next
// change, and an HTTP status.
func (s *Server) currentPage(poll watch.Poll) (watch.Page, <-chan struct{}, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return watch.Page{}, s.changed, http.StatusServiceUnavailable
	}
	if s.garbage {
		value := watch.Value{Key: watch.TicketPrefix + "garbage", Text: []byte("{\"number\": ")}
		return watch.Page{Era: s.era, Revision: s.revision, Values: []watch.Value{value}}, s.changed, http.StatusOK
	}
	source := s
	if s.frozen != nil {
		source = s.frozen
	}
	after := poll.After
	if poll.NamesEra && poll.Era != source.era && !s.ignoresEra {
		after = 0
	}
	return source.valuesAfter(after), s.changed, http.StatusOK
}

// valuesAfter returns up to pageLimit values with a higher revision, oldest first.
func (s *Server) valuesAfter(after uint64) watch.Page {
	page := watch.Page{Era: s.era, Revision: s.revision}
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
