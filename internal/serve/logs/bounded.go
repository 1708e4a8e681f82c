package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the maximum number of lines that are queued for a slow reader.
	maxQueuedLines = 1024
	// linesPerSecond and burstLines bound the log volume under load. A busy entry
	// answers some tens of requests a second and logs one or two lines for each.
	linesPerSecond = 400
	burstLines     = 800
	// closeTimeout is how long Close waits for a reader that is slow or stuck.
	closeTimeout = 250 * time.Millisecond
)

type (
	// Bounded is a writer that never blocks. Lines over its rate limit, and lines that
	// arrive while its queue is full, are dropped and counted.
	Bounded struct {
		out     io.Writer
		lines   chan []byte
		limiter *rate.Limiter
		// essentialLimiter limits the lines that a logger marks as essential.
		essentialLimiter *rate.Limiter

		dropped   atomic.Int64
		closeOnce sync.Once
		// closing is closed by Close, and done when the queued lines have been written.
		closing chan struct{}
		done    chan struct{}
	}

	// essentialWriter writes to a Bounded at the rate limit of essential lines.
	essentialWriter struct{ bounded *Bounded }
)

// NewBounded returns a bounded writer that writes to out from a goroutine. Close ends
// the goroutine.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{
		out: out, lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		essentialLimiter: rate.NewLimiter(linesPerSecond, burstLines), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write queues one line, or drops it. It always reports success.
func (b *Bounded) Write(line []byte) (int, error) { return b.write(line, b.limiter) }

// Write queues one line, or drops it. It always reports success.
func (w essentialWriter) Write(line []byte) (int, error) {
	return w.bounded.write(line, w.bounded.essentialLimiter)
}

func (b *Bounded) write(line []byte, limiter *rate.Limiter) (int, error) {
	if !limiter.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. It gives up on lines that the reader
// does not take within closeTimeout. Lines written after Close are dropped.
func (b *Bounded) Close() error {
	b.closeOnce.Do(func() { close(b.closing) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (b *Bounded) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.writeOut(line)
		case <-b.closing:
			b.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines that are queued now.
func (b *Bounded) writeQueued() {
	for {
		select {
		case line := <-b.lines:
			b.writeOut(line)
		default:
			return
		}
	}
}

// writeOut writes one line, and the number of lines that were dropped before it.
func (b *Bounded) writeOut(line []byte) {
	// There is no place to report a log line that can't be written.
	_, _ = b.out.Write(line)
	if dropped := b.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(b.out, "level=warn part=logs msg=\"Lines dropped.\" lines=%d\n", dropped)
	}
}
