package conns

import (
	"net/http"
	"time"
)

// unreadBodyTimeout is how long the rest of a body is read that its handler does not need.
const unreadBodyTimeout = 1 * time.Second

// DropBody makes the answer end the connection if the request has a body, whose rest the handler
// does not read. Otherwise net/http would read up to 256 KiB of it, without a time limit, before
// it writes the answer. It still reads some of it afterwards, for unreadBodyTimeout at most, so
// that the caller gets the answer.
func DropBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	// Without support for deadlines, only the timeouts of the server apply.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}
