package conns

import "net/http"

// writer adds the header that announces the end of the connection to answers whose header
// is written after the stop began, or while a new connection waits for a place.
type writer struct {
	http.ResponseWriter
	tracker *Tracker
	// isBegun is set once the header is written.
	isBegun bool
}

// WriteHeader writes the header of the answer.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceClose()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *writer) Write(body []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(body)
}

// Unwrap makes the writer usable by an http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announceClose has no effect after the header was written. It announces one end for each attempt to
// find a place.
func (w *writer) announceClose() {
	if w.isBegun {
		return
	}
	w.isBegun = true
	if w.tracker.current() != serving || w.tracker.isFull.Load() && w.tracker.isFull.CompareAndSwap(true, false) {
		w.ResponseWriter.Header().Set("Connection", "close")
	}
}
