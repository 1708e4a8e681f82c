// Package conns tracks the connections of an HTTP server, so that the server can stop
// without losing a request that it has read or an answer that it has not flushed.
//
// The methods of http.Server that close idle connections close a connection whose next
// request was read but not parsed yet, and Shutdown drops a request that is parsed after
// it began. A Tracker never closes a connection. It makes the next read fail on a
// connection of which no part of a request has been read, and the goroutine that serves
// the connection then closes it.
package conns

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/serve/limit"
)

const (
	// serving keeps all connections open.
	serving phase = iota
	// announcing ends each connection after its next answer.
	announcing
	// retiring also ends connections that are idle.
	retiring
	// finishing also ends connections that have not sent a request yet, after
	// unannouncedDelay.
	finishing
)

type (
	// Tracker knows the open connections of a server and ends them when it stops.
	Tracker struct {
		phase atomic.Int32
		// isFull is set while a new connection waits for a place that no answer has announced yet.
		isFull atomic.Bool
		// mutex guards open and the state of the connections.
		mutex sync.Mutex
		open  map[*conn]struct{}
		// closed has a value after a connection was closed.
		closed chan struct{}
		// heads bounds the memory of the requests; nil for no bound.
		heads *limit.Budget
		// limits are those in force. Zero values stand for the timeouts of the server.
		limits   Limits
		refusals Refusals
		// server is the one that the tracker is attached to; may be nil.
		server *http.Server
	}

	// Limits bounds the heads of requests and the time of connections.
	Limits struct {
		// HeadBytes is the size of a head up to which it is accepted; zero for the limit of the
		// server.
		HeadBytes int
		// HeadTime is how long a head may take from its first byte on, and IdleTime how long a
		// connection may stay open without a byte; zero for the timeout of the server.
		HeadTime, IdleTime time.Duration
	}

	// Refusals counts what did not get to a handler: heads over the limit, requests without memory,
	// and connections that ended in favour of others.
	Refusals struct{ TooLarge, NoMemory, GaveWay int64 }

	// Option configures a Tracker.
	Option func(*Tracker)

	connKey struct{}

	// Counts is the number of open connections by state.
	Counts struct {
		// Unused connections have not sent a byte, Idle ones have sent none since their
		// last answer. On Busy ones a request is being read or answered.
		Unused, Idle, Busy int
	}

	// OpenError reports that connections were still open when a shutdown had to end.
	OpenError struct{ Counts }

	phase int32

	listener struct {
		net.Listener
		tracker *Tracker
		// free holds a value for each open connection.
		free      chan struct{}
		closed    chan struct{}
		closeOnce sync.Once
		// waited is the number of new connections in a row, up to the last one, that waited for a
		// place. Only Accept uses it.
		waited int
	}
)

// Error returns a message with the numbers of the connections.
func (e *OpenError) Error() string {
	return fmt.Sprintf("connections still open: %d busy, %d idle, %d unused", e.Busy, e.Idle, e.Unused)
}

// New returns a tracker without connections.
func New(options ...Option) *Tracker {
	t := &Tracker{open: map[*conn]struct{}{}, closed: make(chan struct{}, 1)}
	for _, option := range options {
		option(t)
	}
	return t
}

// WithMemory bounds the memory of all requests together, from the first byte of a head to the end
// of its answer. A request that finds none is refused with status 503.
func WithMemory(budget *limit.Budget) Option { return func(t *Tracker) { t.heads = budget } }

// SetLimits sets the limits of heads that begin, and of connections that become idle, later.
func (t *Tracker) SetLimits(limits Limits) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.limits = limits
}

// Listen returns a listener whose connections are tracked. It must be the listener that the
// server accepts from, so a listener for TLS goes inside. At most maxOpen connections are open; one
// more takes the place of one that no request uses, or that ends with its answer. netutil.LimitListener would hide the method that
// resets a connection.
func (t *Tracker) Listen(inner net.Listener, maxOpen int) net.Listener {
	return &listener{Listener: inner, tracker: t, free: make(chan struct{}, max(maxOpen, 1)), closed: make(chan struct{})}
}

// Attach makes the server report the states of its connections to the tracker, and its
// handler announce the end of a connection once the stop begins. Call it before the server
// is started. Requests have no TLS state. A new connection may stay unused for the idle timeout
// of the server, and the time for the head of a request begins with its first byte.
func (t *Tracker) Attach(server *http.Server) {
	t.server = server
	server.ConnState = t.observe
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	inner := server.Handler
	// The handler of the server would bypass the end of the head.
	server.DisableGeneralOptionsHandler = true
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = &writer{ResponseWriter: w, tracker: t}
		if c, isTracked := r.Context().Value(connKey{}).(*conn); isTracked && !c.endHead(parsedSize(r)) {
			refuseRequest(w, r)
			return
		}
		if r.Method == http.MethodOptions && r.RequestURI == "*" {
			answerOptions(w, r)
			return
		}
		inner.ServeHTTP(w, r)
	})
}

// answerOptions answers a request for the options of the whole server like net/http.
func answerOptions(w http.ResponseWriter, r *http.Request) {
	DropBody(w, r)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
}

// refuseRequest answers a request that finds no memory.
func refuseRequest(w http.ResponseWriter, r *http.Request) {
	DropBody(w, r)
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, http.StatusText(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
}

// headTime returns how long a head may take; zero for no limit.
func (t *Tracker) headTime() time.Duration {
	switch {
	case t.limits.HeadTime > 0 || t.server == nil:
		return t.limits.HeadTime
	case t.server.ReadHeaderTimeout > 0:
		return t.server.ReadHeaderTimeout
	}
	return t.server.ReadTimeout
}

// idleTime returns how long a connection may stay without a byte.
func (t *Tracker) idleTime() time.Duration {
	if t.limits.IdleTime > 0 || t.server == nil {
		return t.limits.IdleTime
	}
	if t.server.IdleTimeout > 0 {
		return t.server.IdleTimeout
	}
	return t.server.ReadTimeout
}

// Announce ends each connection after its next answer, which says so, and leaves idle ones
// open: a caller may be sending a request on them. New connections are still served.
func (t *Tracker) Announce() { t.enter(announcing) }

// Retire ends the idle connections, and each other one after its next answer. New
// connections are still served. Answers say that their connection is closed.
func (t *Tracker) Retire() { t.enter(retiring) }

// Open returns the number of open connections by state.
func (t *Tracker) Open() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var counts Counts
	for c := range t.open {
		switch c.state {
		case stateUnused:
			counts.Unused++
		case stateIdle:
			counts.Idle++
		case stateBusy:
			counts.Busy++
		}
	}
	return counts
}

// Refusals returns what was refused so far.
func (t *Tracker) Refusals() Refusals {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.refusals
}

// Shutdown closes the listener, does what Retire does, ends the connections that have not sent
// a request, and waits until all are closed. If the context ends before, it returns an
// *OpenError.
func (t *Tracker) Shutdown(ctx context.Context, listener net.Listener) error {
	err := listener.Close()
	t.enter(finishing)
	if !t.wait(ctx) {
		err = errors.Join(err, &OpenError{t.Open()})
	}
	return err
}

// wait waits until all connections are closed or the context ends. It reports whether all
// are closed.
func (t *Tracker) wait(ctx context.Context) bool {
	for {
		t.mutex.Lock()
		left := len(t.open)
		t.mutex.Unlock()
		if left == 0 {
			return true
		}
		select {
		case <-t.closed:
		case <-ctx.Done():
			return false
		}
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.waitForPlace() {
		return nil, errors.Join(net.ErrClosed, inner.Close())
	}
	c := &conn{Conn: inner, tracker: l.tracker, free: l.free, openedAt: time.Now()}
	if l.tracker.heads != nil {
		c.share = l.tracker.heads.NewShare()
	}
	l.tracker.mutex.Lock()
	defer l.tracker.mutex.Unlock()
	l.tracker.open[c] = struct{}{}
	c.end()
	return c, nil
}

// waitForPlace waits for a place for one more connection and makes others end until there is one.
// It reports false if the listener is closed.
func (l *listener) waitForPlace() bool {
	select {
	case l.free <- struct{}{}:
		l.waited = 0
		return true
	default:
	}
	l.waited++
	defer l.tracker.isFull.Store(false)
	for {
		l.tracker.makePlace(min(l.waited, maxEnding))
		l.tracker.isFull.Store(true)
		select {
		case l.free <- struct{}{}:
			return true
		case <-l.closed:
			return false
		case <-time.After(placeInterval):
		}
	}
}

// Close stops listening. Accept returns an error.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (t *Tracker) enter(next phase) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.phase.Store(int32(max(next, t.current())))
	for c := range t.open {
		c.end()
	}
}

func (t *Tracker) current() phase { return phase(t.phase.Load()) }

// observe is the ConnState hook of the server.
func (t *Tracker) observe(served net.Conn, state http.ConnState) {
	c, isTracked := served.(*conn)
	if !isTracked || state != http.StateIdle {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c.becomeIdle()
}

func (t *Tracker) remove(c *conn) {
	t.mutex.Lock()
	if _, isOpen := t.open[c]; isOpen {
		delete(t.open, c)
		c.isClosed = true
		c.releaseHead()
		<-c.free
	}
	t.mutex.Unlock()
	select {
	case t.closed <- struct{}{}:
	default:
	}
}
