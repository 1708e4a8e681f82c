// Package answer detects broken answers that net/http accepts: parts of an answer before a reset, and invalid heads.
package answer

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/serve/probe"
)

// past is a deadline that ends a write at once.
var past = time.Unix(1, 0)

type (
	// ResetError reports that a connection failed while a request was being written, so that what was read from it
	// may be only a part of the answer.
	ResetError struct{ Err error }

	// conn is a connection that distinguishes its regular end from a failure that a write has reported. It rejects
	// the first answer if its head has a folded line.
	conn struct {
		net.Conn
		folds foldScanner
		// mutex is held during a write. It guards writeErr, the error of the first write that failed.
		mutex    sync.Mutex
		writeErr error
	}
)

// Error returns a message with the cause.
func (e *ResetError) Error() string { return "connection failed during the request: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Err }

// NewDial returns a probe.Dial whose connections fail with a *ResetError where they would report io.EOF although they
// were reset or timed out. The kernel reports such a failure to one system call only: if that is a write, the reads
// that follow succeed up to what has arrived and then report the end of the connection. Reads of the first answer on
// a connection fail with a *HeadError if its head has a folded line.
func NewDial(dial probe.Dial) probe.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened}, nil
	}
}

// Read reads from the connection. At its end, a write that is still in progress is ended too.
func (c *conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if c.folds.scan(buffer[:count]) {
		return 0, &HeadError{"folded line"}
	}
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if failure := c.endWrite(); failure != nil {
		return count, &ResetError{failure}
	}
	return count, err
}

// Write writes to the connection.
func (c *conn) Write(buffer []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count, err := c.Conn.Write(buffer)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return count, err
}

// endWrite ends a write in progress and returns the error with which the connection failed, if a write has got it.
func (c *conn) endWrite() error {
	_ = c.SetWriteDeadline(past)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case errors.Is(c.writeErr, syscall.EPIPE):
		// The peer had already ended its direction in order when it reset the connection.
		return nil
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded), errors.Is(c.writeErr, net.ErrClosed):
		return nil
	}
	return c.writeErr
}
