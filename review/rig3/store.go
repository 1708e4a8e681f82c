package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the most items in one page of a range.
const maxPageItems = 500

type (
	// object is a JSON object.
	object = map[string]any

	// item is one key of the store, or one change of it.
	item struct {
		key       string
		value     []byte
		revision  uint64
		isDeleted bool
	}

	// image is the content of the store at a moment.
	image struct {
		at       time.Time
		items    map[string]item
		revision uint64
	}

	// store stands in for the platform's store, with the calls that read it.
	store struct {
		address string
		mutex   sync.Mutex
		items   map[string]item
		history []item
		// oldest is the least revision after which a watch may begin.
		oldest   uint64
		revision uint64
		era      int
		isAway   bool
		// lostSince is the time of the copy from which the store last came back.
		lostSince time.Time
		changed   chan struct{}
		// images are copies of the last seconds, the oldest first.
		images []image
	}
)

// startStore starts a store that keeps a copy of itself every 100 ms.
func startStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), items: map[string]item{}, revision: 100, oldest: 100, era: 1, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.copyImage()
		}
	}()
	return s, nil
}

func (s *store) copyImage() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isAway {
		return
	}
	s.images = append(s.images, image{time.Now(), maps.Clone(s.items), s.revision})
	s.images = s.images[max(len(s.images)-300, 0):]
}

// put writes a value. It reports the revision, or false while the store is away.
func (s *store) put(key string, value []byte) (uint64, bool) {
	return s.change(item{key: key, value: value})
}

// remove deletes a key.
func (s *store) remove(key string) (uint64, bool) { return s.change(item{key: key, isDeleted: true}) }

func (s *store) change(next item) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isAway {
		return 0, false
	}
	s.revision++
	next.revision = s.revision
	if next.isDeleted {
		delete(s.items, next.key)
	} else {
		s.items[next.key] = next
	}
	s.history = append(s.history, next)
	s.wake()
	return next.revision, true
}

// wake ends all waits.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentEra returns the era.
func (s *store) currentEra() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// lossTime returns the time after which the store has lost what it had acknowledged.
func (s *store) lossTime() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lostSince
}

// leave makes the store unavailable: calls lose their connection.
func (s *store) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isAway = true
	s.wake()
}

// comeBack ends leave. With a positive age the store comes back from a copy that is older than its
// leaving by that. It returns the revision before and after.
func (s *store) comeBack(age time.Duration) (before, after uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before = s.revision
	if age > 0 {
		last := s.images[len(s.images)-1].at
		copied := s.images[0]
		for _, candidate := range s.images {
			if last.Sub(candidate.at) >= age {
				copied = candidate
			}
		}
		s.lostSince = copied.at
		s.items = maps.Clone(copied.items)
		s.revision = copied.revision
		s.oldest = copied.revision
		s.history = nil
		s.era++
	}
	s.isAway = false
	s.wake()
	return before, s.revision
}

// ServeHTTP answers the calls that read.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mutex.Lock()
	isAway := s.isAway
	s.mutex.Unlock()
	switch {
	case isAway:
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/kv-range":
		s.give(w, http.StatusOK, s.page(query.Get("prefix"), query.Get("after")))
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	default:
		s.give(w, http.StatusNotFound, object{})
	}
}

func (s *store) give(w http.ResponseWriter, status int, body object) {
	era := s.currentEra()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) page(prefix, after string) object {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []object{}
	isTruncated := false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if len(items) == maxPageItems {
			isTruncated = true
			break
		}
		items = append(items, s.items[key].encode())
	}
	return object{"items": items, "truncated": isTruncated, "store_revision": s.revision}
}

// watch answers as soon as there is a change after the revision, or when the time is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	era := s.currentEra()
	for isOver := false; ; {
		s.mutex.Lock()
		if s.isAway || s.era != era {
			s.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		isKnown := after >= s.oldest && after <= s.revision
		body := object{"events": s.eventsAfter(query.Get("prefix"), after), "store_revision": s.revision}
		changed := s.changed
		s.mutex.Unlock()
		if !isKnown {
			s.give(w, http.StatusGone, object{})
			return
		}
		if isOver || len(body["events"].([]object)) > 0 {
			s.give(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after uint64) []object {
	events := []object{}
	for _, change := range s.history {
		if change.revision > after && strings.HasPrefix(change.key, prefix) {
			events = append(events, change.encode())
		}
	}
	return events
}

func (i item) encode() object {
	if i.isDeleted {
		return object{"key": i.key, "revision": i.revision, "deleted": true}
	}
	return object{
		"key": i.key, "value": base64.StdEncoding.EncodeToString(i.value), "revision": i.revision,
		"create_revision": i.revision, "lease": 0,
	}
}
