package conns

import "net/http"

// writer adds the header that announces the end of the connection to answers whose header
// is written after the stop began.
type writer struct {
	http.ResponseWriter
	tracker *Tracker
}

// WriteHeader writes the header of the answer.
func (w *writer) WriteHeader(status int) {
	w.announceClose()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *writer) Write(body []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(body)
}

// Unwrap makes the writer usable by an http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announceClose has no effect after the header was written.
func (w *writer) announceClose() {
	if w.tracker.current() != serving {
		w.ResponseWriter.Header().Set("Connection", "close")
	}
}
