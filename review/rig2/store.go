package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store.
type store struct {
	address string

	mutex    sync.Mutex
	items    map[string]map[string]any
	history  []map[string]any
	revision int
	changed  chan struct{}
	// watchLife is how long a watch waits before the store cuts it; zero for no cuts.
	watchLife time.Duration
	cuts      int
}

// newStore starts a store on a free port of the address.
func newStore(ip string) (*store, error) {
	s := &store{items: map[string]map[string]any{}, revision: 100, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put writes a value, and remove deletes one. Both return when the store has acknowledged it.
func (s *store) put(key, value string) {
	s.write(map[string]any{"key": key, "value": []byte(value), "lease": 0})
}

func (s *store) remove(key string) { s.write(map[string]any{"key": key, "deleted": true}) }

func (s *store) write(item map[string]any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	key := item["key"].(string)
	item["revision"] = s.revision
	delete(s.items, key)
	if item["deleted"] == nil {
		item["create_revision"] = s.revision
		s.items[key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls that read.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/kv-range":
		_ = json.NewEncoder(w).Encode(s.page(prefix, query.Get("after")))
	case "/kv-watch":
		after, _ := strconv.Atoi(query.Get("after"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		page, ok := s.await(r, prefix, after, time.Duration(wait)*time.Millisecond)
		if !ok {
			// The connection is closed without an answer.
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(page)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) page(prefix, after string) map[string]any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := make([]any, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	return map[string]any{"items": items, "truncated": false, "store_revision": s.revision}
}

// cutWatches makes the store cut all watches that wait for longer than the given time.
func (s *store) cutWatches(life time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchLife = life
}

// cutCount returns how many watches were cut.
func (s *store) cutCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cuts
}

// startCut returns a channel that gets a value when the watch that begins is cut; nil if it isn't.
func (s *store) startCut() <-chan time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watchLife == 0 {
		return nil
	}
	return time.After(s.watchLife)
}

// await returns the changes after the revision as soon as there is one. It reports false if the watch is cut or its caller has left.
func (s *store) await(r *http.Request, prefix string, after int, wait time.Duration) (page map[string]any, ok bool) {
	timeout, cut := time.After(wait), s.startCut()
	for {
		s.mutex.Lock()
		changed, revision := s.changed, s.revision
		events := []any{}
		for _, item := range s.history {
			if item["revision"].(int) > after && strings.HasPrefix(item["key"].(string), prefix) {
				events = append(events, item)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "store_revision": revision}, true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil, false
		case <-cut:
			s.mutex.Lock()
			s.cuts++
			s.mutex.Unlock()
			return nil, false
		case <-timeout:
			return map[string]any{"events": events, "store_revision": revision}, true
		}
	}
}
