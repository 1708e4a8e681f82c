// Package host serves the simulated platform, engines and services over HTTP.
package host

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	headerTimeout = 5 * time.Second
	// maxHeadBytes is the maximum size of the head of a request.
	maxHeadBytes = 64 << 10
	anyLoopback  = "127.0.0.1:0"
)

type (
	// Host is a running HTTP server with its listener.
	Host struct {
		server   *http.Server
		listener net.Listener
		done     chan struct{}
	}
)

// Start serves the handler at an address. An empty address selects any free loopback
// port.
func Start(address string, handler http.Handler) (*Host, error) {
	if address == "" {
		address = anyLoopback
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "open port")
	}
	h := &Host{
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeadBytes},
		listener: listener, done: make(chan struct{}),
	}
	go func() {
		defer close(h.done)
		// Serve always returns an error, in general because of Close.
		_ = h.server.Serve(listener)
	}()
	return h, nil
}

// Address returns the address of the listener with its port.
func (h *Host) Address() string { return h.listener.Addr().String() }

// Close closes the listener and all connections, and waits until serving has ended.
func (h *Host) Close() {
	_ = h.server.Close()
	<-h.done
}
