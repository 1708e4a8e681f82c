package conns

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout is how long a caller may take no byte of an answer that has been written before its
	// connection is closed all the same.
	lingerTimeout = 5 * time.Second
	// minLingerPause and maxLingerPause bound the time between two looks at what the caller has yet to take.
	minLingerPause = 2 * time.Millisecond
	maxLingerPause = 50 * time.Millisecond
)

// Close closes the connection once its caller has acknowledged all that was written. The kernel would reset a
// connection with bytes of its caller unread, such as a next request that was sent ahead, and drop what is left of the answer.
// It sends the end of the answer at once and waits without reading: a request that was read must be answered. A
// second call closes at once.
func (c *conn) Close() error {
	if c.beginLinger() {
		go c.linger()
		return nil
	}
	return c.closeNow()
}

// beginLinger reports whether the connection has to stay open for what its caller has yet to take.
func (c *conn) beginLinger() bool {
	c.tracker.mutex.Lock()
	defer c.tracker.mutex.Unlock()
	if c.isLingering || c.isClosed || c.unacknowledged() == 0 {
		return false
	}
	half, canHalfClose := c.Conn.(interface{ CloseWrite() error })
	if !canHalfClose || half.CloseWrite() != nil {
		return false
	}
	c.isLingering = true
	c.interrupt()
	return true
}

// linger waits until the caller has acknowledged all that was written, takes none of it for lingerTimeout or is gone.
func (c *conn) linger() {
	pause := minLingerPause
	left, progressAt := c.unacknowledged(), time.Now()
	for left > 0 && time.Since(progressAt) < lingerTimeout {
		time.Sleep(pause)
		pause = min(2*pause, maxLingerPause)
		if now := c.unacknowledged(); now < left {
			left, progressAt = now, time.Now()
		}
	}
	// Nobody is left to hear of an error.
	_ = c.closeNow()
}

// closeNow closes the connection.
func (c *conn) closeNow() error {
	err := c.Conn.Close()
	c.tracker.remove(c)
	return err
}

// unacknowledged returns the number of bytes that were written and that the caller's kernel has not acknowledged; 0
// if that can't be told, or if the connection was reset.
func (c *conn) unacknowledged() int {
	socket, hasSocket := c.Conn.(syscall.Conn)
	if !hasSocket {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	left := 0
	err = raw.Control(func(descriptor uintptr) {
		count, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		if err != nil || count == 0 {
			return
		}
		if cause, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && cause == 0 {
			left = count
		}
	})
	if err != nil {
		return 0
	}
	return left
}
