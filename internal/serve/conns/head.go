package conns

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/serve/limit"
)

const (
	// ConnBytes is the memory that an open connection takes.
	ConnBytes = 20 << 10
	// RequestBytes is the memory that a request takes besides its header.
	RequestBytes = 16 << 10
	// headLineBytes is the memory that a line of a head takes at most besides its text: in the
	// parsed header and in the copy that is sent on. Its text is held headCopies times.
	headLineBytes = 256
	headCopies    = 2
	// removedLines is the request line, Host and Transfer-Encoding, which a parsed header lacks.
	removedLines = 3
	// serverBufferBytes is the size of the buffer into which http.Server reads heads. It may hold
	// the beginning of the next requests, or of the body.
	serverBufferBytes = 4 << 10
	// refusalTimeout is how long the rest of a refused head is read, so that the caller gets the
	// answer, and refusalBytes how much of it.
	refusalTimeout = 200 * time.Millisecond
	refusalBytes   = 256 << 10
	// roomTimeout is how long a head waits for memory that slower ones give back.
	roomTimeout  = 200 * time.Millisecond
	roomInterval = 10 * time.Millisecond

	tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Content-Length: 32\r\nConnection: close\r\n\r\nRequest Header Fields Too Large\n"
	noMemoryAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Retry-After: 1\r\nContent-Length: 20\r\nConnection: close\r\n\r\nService Unavailable\n"
)

type (
	// HeadError reports a head that was not read to its end, since it is over the limit of the
	// tracker or found no memory.
	HeadError struct {
		Bytes int
		Err   error
	}

	// headSize is the size of what was read of a head, or may have been read in advance.
	headSize struct{ bytes, lines int }
)

// Error returns a message with the size of the head and the cause.
func (e *HeadError) Error() string {
	return "head of a request, read " + strconv.Itoa(e.Bytes) + " bytes: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Err }

func (s headSize) plus(other headSize) headSize {
	return headSize{s.bytes + other.bytes, s.lines + other.lines}
}

// memory returns the memory that a request with such a head takes.
func (s headSize) memory() int64 {
	return int64(RequestBytes + headCopies*s.bytes + headLineBytes*s.lines)
}

func sizeOf(text []byte) headSize { return headSize{len(text), bytes.Count(text, []byte{'\n'})} }

// noteBuffered updates the upper bound of what the buffer of the server holds, after a read into a
// slice of the given capacity. The server reads into the free part of its buffer, or directly into
// the slice of the handler.
func (c *conn) noteBuffered(read headSize, capacity int) {
	switch {
	case capacity > serverBufferBytes:
		c.buffered = headSize{}
	case capacity == serverBufferBytes:
		c.buffered = read
	default:
		c.buffered = c.buffered.plus(read)
		// What the buffer holds beside the slice includes what was handed on since.
		if most := serverBufferBytes - capacity + read.bytes; c.buffered.bytes > most {
			c.buffered = headSize{most, min(c.buffered.lines, most)}
		}
	}
}

// beginHead starts the time and the count of a head, of which the server may have read some bytes
// already.
func (c *conn) beginHead(begun headSize) {
	c.isInHead = true
	c.head = begun
	c.headBeganAt = time.Now()
	c.headDeadline = time.Time{}
	if headTime := c.tracker.headTime(); headTime > 0 {
		c.headDeadline = c.headBeganAt.Add(headTime)
	}
}

// parsedSize returns the size of the parsed head of a request, of which at least the request line and the
// fields that net/http removes are not in the header.
func parsedSize(r *http.Request) headSize {
	size := headSize{len(r.Method) + len(r.RequestURI) + len(r.Host), removedLines}
	for name, values := range r.Header {
		for _, value := range values {
			size = size.plus(headSize{len(name) + len(value), 1})
		}
	}
	return size
}

// endHead ends the time of the head of a request, whose handler begins, and undoes an interruption,
// which came too late. It gives the memory back that was taken for a part of the body, and reports
// whether there is memory for the request.
func (c *conn) endHead(parsed headSize) bool {
	c.tracker.mutex.Lock()
	defer c.tracker.mutex.Unlock()
	if c.refusal != nil {
		return false
	}
	c.isInHead = false
	c.isInterrupted = false
	// A connection that refuses a deadline is closed already.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	c.head = headSize{min(c.head.bytes, parsed.bytes), min(c.head.lines, parsed.lines)}
	if surplus := c.taken - c.head.memory(); surplus > 0 {
		c.share.Give(surplus)
		c.taken -= surplus
	}
	if c.takeHead() != nil {
		c.tracker.refusals.NoMemory++
		return false
	}
	return true
}

// deadline returns the read deadline that is in force. That of a head is neither prolonged nor cut
// by the server, which begins its own with the fourth byte, but the server may end a read at once.
func (c *conn) deadline() time.Time {
	isEnded := !c.readDeadline.IsZero() && c.readDeadline.Before(time.Now())
	if c.isInHead && !c.headDeadline.IsZero() && !isEnded {
		return c.headDeadline
	}
	return c.readDeadline
}

// takeHead takes the memory of the head from the budget of the tracker.
func (c *conn) takeHead() error {
	if c.share == nil || c.isClosed {
		return nil
	}
	missing := c.head.memory() - c.taken
	if missing <= 0 {
		return nil
	}
	if err := c.share.Take(missing); err != nil {
		return err
	}
	c.taken += missing
	return nil
}

// releaseHead gives the memory of the head back.
func (c *conn) releaseHead() {
	if c.share != nil {
		c.share.Release()
		c.taken = 0
	}
}

// countHead counts bytes of a head and takes the memory for them. If there is none, the slowest
// heads give way. It returns a *HeadError if the head must be refused.
func (c *conn) countHead(read headSize) error {
	t := c.tracker
	c.head = c.head.plus(read)
	// The last read may have brought a part of the body too, the first one that of the head before.
	if most := t.limits.HeadBytes; most > 0 && c.head.bytes > most+2*serverBufferBytes {
		t.refusals.TooLarge++
		return &HeadError{c.head.bytes, &limit.ExceededError{Bytes: int64(most)}}
	}
	err := c.takeHead()
	for waited := time.Duration(0); err != nil && waited < roomTimeout && t.endSlowestHeads(c, c.head.memory()-c.taken); waited += roomInterval {
		t.mutex.Unlock()
		time.Sleep(roomInterval)
		t.mutex.Lock()
		err = c.takeHead()
	}
	if err != nil {
		t.refusals.NoMemory++
		return &HeadError{c.head.bytes, err}
	}
	return nil
}

// refuse answers a head that is not read to its end. The server closes the connection without an
// answer of its own after the error of its reads.
func (c *conn) refuse(cause error) {
	answer := noMemoryAnswer
	var exceeded *limit.ExceededError
	if errors.As(cause, &exceeded) {
		answer = tooLargeAnswer
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, answer); err == nil {
		if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			_ = closer.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, refusalBytes))
	}
}
