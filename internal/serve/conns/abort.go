package conns

import (
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// ConnError reports that a connection can't be reset because it is not tracked.
type ConnError struct{ Remote string }

// Error returns a message with the address of the caller.
func (e *ConnError) Error() string { return "connection of " + e.Remote + " is not tracked" }

// Abort ends an answer that can't be completed so that its caller notices the truncation. It
// panics with http.ErrAbortHandler, after which net/http closes the connection without the last
// chunk. The answer to a caller of HTTP/1.0 has no chunks and ends with its connection, which is
// reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if err := reset(w, r); err != nil {
			// Without a reset the answer would look complete.
			panic(err)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter, r *http.Request) error {
	hijacked, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return errors.Wrap(err, "take over connection")
	}
	if outer, isTLS := hijacked.(interface{ NetConn() net.Conn }); isTLS {
		hijacked = outer.NetConn()
	}
	tracked, isTracked := hijacked.(*conn)
	if !isTracked {
		return &ConnError{r.RemoteAddr}
	}
	return tracked.reset()
}
