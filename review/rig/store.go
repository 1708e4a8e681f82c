//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// item is a key of the store with its value, or its deletion.
	item struct {
		key             string
		value           []byte
		revision        int64
		createdRevision int64
		isDeleted       bool
	}

	// store is the platform's metadata store: reads and watches, as the protocol page has them.
	store struct {
		record   *record
		address  string
		server   *http.Server
		mutex    sync.Mutex
		items    map[string]item
		history  []item
		revision int64
		changed  chan struct{}
	}
)

const (
	pageItems   = 500
	longestWait = 30 * time.Second
)

func startStore(r *record) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{record: r, address: listener.Addr().String(), items: map[string]item{}, revision: 1, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a value; its return is the acknowledgement.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		// All values are maps of plain values.
		panic(err)
	}
	s.write(item{key: key, value: text})
}

func (s *store) remove(key string) { s.write(item{key: key, isDeleted: true}) }

func (s *store) write(next item) {
	s.mutex.Lock()
	s.revision++
	next.revision = s.revision
	next.createdRevision = s.revision
	if known, ok := s.items[next.key]; ok {
		next.createdRevision = known.createdRevision
	}
	s.items[next.key] = next
	if next.isDeleted {
		delete(s.items, next.key)
	}
	s.history = append(s.history, next)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mutex.Unlock()
	s.record.line("store", "%s revision %d deleted %t %s", next.key, next.revision, next.isDeleted, next.value)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mutex.Lock()
		found, ok := s.items[query.Get("key")]
		revision := s.revision
		s.mutex.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer := found.encode()
		answer["store_revision"] = revision
		writeJSON(w, answer)
	case "/kv-range":
		writeJSON(w, s.page(query.Get("prefix"), query.Get("after")))
	case "/kv-watch":
		after, afterErr := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
		if afterErr != nil || waitErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.watch(w, r, query.Get("prefix"), after, min(time.Duration(wait)*time.Millisecond, longestWait))
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
	sort.Strings(keys)
	isTruncated := len(keys) > pageItems
	items := []any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key].encode())
	}
	return map[string]any{"items": items, "truncated": isTruncated, "store_revision": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mutex.Lock()
		events := []any{}
		for _, next := range s.history {
			if next.revision > after && strings.HasPrefix(next.key, prefix) {
				events = append(events, next.encode())
			}
		}
		changed, revision := s.changed, s.revision
		s.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (i item) encode() map[string]any {
	if i.isDeleted {
		return map[string]any{"key": i.key, "revision": i.revision, "deleted": true}
	}
	return map[string]any{
		"key": i.key, "value": i.value, "revision": i.revision, "create_revision": i.createdRevision, "lease": 0,
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that has left needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
