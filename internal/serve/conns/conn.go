package conns

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/serve/limit"
)

const (
	stateUnused connState = iota
	stateIdle
	stateBusy
)

// unannouncedDelay is how long a connection stays open whose caller was not told that it ends:
// after a last answer that has not said so, or before the first request.
const unannouncedDelay = 200 * time.Millisecond

type (
	connState int

	// conn is a tracked connection. The mutex of its tracker guards the fields.
	conn struct {
		net.Conn
		tracker *Tracker
		// free holds a value for each open connection of the listener.
		free  chan struct{}
		state connState
		// isAwaiting is set once the server waits for the next request of an idle
		// connection.
		isAwaiting bool
		// hasNextByte is set if the server has read the first byte of the next request while
		// the current one is being answered. http.Server reads ahead one byte to notice the end
		// of the connection.
		hasNextByte bool
		// isInterrupted is set while reads fail because the connection is not needed
		// any more.
		isInterrupted bool
		// readDeadline is the read deadline that the server has set.
		readDeadline time.Time
		// openedAt is when the connection was opened, and usedAt when its last answer ended.
		openedAt, usedAt time.Time
		isClosed         bool
		// isLingering is set while the connection stays open for the rest of an answer.
		isLingering bool

		// isInHead is set from the first byte of a request to the begin of its handler. head is the
		// size of what was read of it, headBeganAt when it began, and headDeadline when it must end;
		// zero for no limit.
		isInHead     bool
		head         headSize
		headBeganAt  time.Time
		headDeadline time.Time
		// buffered is the most that the server holds in its buffer.
		buffered headSize
		// refusal is the error of every read after a head was refused.
		refusal error
		// share holds the memory of the current request, which taken counts; nil without a budget.
		share *limit.Share
		taken int64
	}
)

// past is a read deadline that has passed.
var past = time.Unix(1, 0)

// Read reads from the connection. Bytes that it returns make the connection busy. Those of a head
// are counted. After a refused head it fails always, since net/http takes the end of a line that was
// cut off by an error for whole and reads on.
func (c *conn) Read(buffer []byte) (int, error) {
	if err := c.refused(); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if cause := c.receive(buffer[:count], len(buffer)); cause != nil {
		c.refuse(cause)
		return 0, c.refused()
	}
	return count, err
}

// refused returns the error of reads after a refused head; nil if none was refused.
func (c *conn) refused() error {
	c.tracker.mutex.Lock()
	defer c.tracker.mutex.Unlock()
	return c.refusal
}

// receive records bytes that were read into a slice of the given capacity. It returns a *HeadError
// if they belong to a head that must be refused.
func (c *conn) receive(text []byte, capacity int) error {
	var read headSize
	if capacity <= serverBufferBytes {
		read = sizeOf(text)
	}
	c.tracker.mutex.Lock()
	defer c.tracker.mutex.Unlock()
	c.hasNextByte = c.state == stateBusy && capacity == 1
	if c.state != stateBusy {
		// The server reads while its buffer holds less than the begin of a request line.
		c.beginHead(headSize{})
	}
	c.becomeBusy()
	if c.hasNextByte {
		return nil
	}
	c.noteBuffered(read, capacity)
	if !c.isInHead {
		return nil
	}
	err := c.countHead(read)
	if err != nil {
		c.refusal = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
	}
	return err
}

// SetReadDeadline sets the read deadline unless the connection is interrupted. http.Server
// sets one before it waits for the next request and another one once it has the first bytes
// of it, which may come from its buffer instead of Read. The one that it sets on a new
// connection is meant for the head of the first request. The deadline of a head stays
// as it is.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.tracker.mutex.Lock()
	defer c.tracker.mutex.Unlock()
	switch {
	case deadline.IsZero():
	case c.state == stateUnused:
		deadline = time.Now().Add(max(c.tracker.headTime(), c.tracker.idleTime()))
	case c.state == stateIdle && !c.isAwaiting:
		deadline = time.Now().Add(c.tracker.idleTime())
	}
	c.readDeadline = deadline
	if c.state == stateIdle && c.isAwaiting {
		c.beginHead(c.buffered)
		c.becomeBusy()
	}
	c.isAwaiting = c.state == stateIdle
	if c.isInterrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline())
}

// SetDeadline sets the read and the write deadline.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// reset closes the connection in such a way that its caller gets an error.
func (c *conn) reset() error {
	if tcp, isTCP := c.Conn.(interface{ SetLinger(seconds int) error }); isTCP {
		if err := tcp.SetLinger(0); err != nil {
			return errors.Join(err, c.closeNow())
		}
	}
	return c.closeNow()
}

// becomeIdle records the end of an answer. The next request may have begun already. If the
// answer has not announced the end of the connection, the caller may be sending the next request.
func (c *conn) becomeIdle() {
	c.releaseHead()
	c.isInHead = false
	c.usedAt = time.Now()
	if c.hasNextByte {
		c.hasNextByte = false
		c.beginHead(c.buffered)
		return
	}
	c.state = stateIdle
	c.isAwaiting = false
	if c.isUnneeded() {
		c.interruptLater()
	}
}

// becomeBusy undoes the interruption of a connection without a request, which came too late. The time
// for a head begins. That of an interrupted head is not prolonged by more of its bytes.
func (c *conn) becomeBusy() {
	isNew := c.state != stateBusy
	c.state = stateBusy
	c.isAwaiting = false
	if isNew {
		c.isInterrupted = false
		_ = c.Conn.SetReadDeadline(c.deadline())
	}
}

// end ends the connection if the phase of the tracker asks for it: an idle one at once, an
// unused one later, because its first request may be on the way.
func (c *conn) end() {
	switch {
	case !c.isUnneeded():
	case c.state == stateUnused:
		c.interruptLater()
	default:
		c.interrupt()
	}
}

// isUnneeded reports whether the phase of the tracker asks for the end of a connection in this
// state.
func (c *conn) isUnneeded() bool {
	phase := c.tracker.current()
	return c.state == stateIdle && phase >= retiring || c.state == stateUnused && phase >= finishing
}

// interruptLater interrupts the connection after unannouncedDelay if it is still unneeded.
func (c *conn) interruptLater() {
	time.AfterFunc(unannouncedDelay, func() {
		c.tracker.mutex.Lock()
		defer c.tracker.mutex.Unlock()
		if c.isUnneeded() {
			c.interrupt()
		}
	})
}

// interrupt makes reads fail.
func (c *conn) interrupt() { c.interruptAt(past) }

// interruptAt makes reads fail from the given time on.
func (c *conn) interruptAt(deadline time.Time) {
	if c.isInterrupted {
		return
	}
	c.isInterrupted = true
	// A connection that refuses a deadline is closed already.
	_ = c.Conn.SetReadDeadline(deadline)
}
