package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// queueLines is how many lines wait for a slow reader.
	queueLines = 1024
	// linesPerSecond and burstLines bound the volume under load: a busy entry
	// answers some tens of requests a second with one or two lines each.
	linesPerSecond = 400
	burstLines     = 800
)

type (
	// Bounded is a writer that never blocks: lines beyond its rate, or that a slow
	// reader leaves no room for, are dropped and counted.
	Bounded struct {
		to      io.Writer
		lines   chan []byte
		limiter *rate.Limiter
		dropped atomic.Int64
		closing sync.Once
		done    chan struct{}
	}
)

// NewBounded returns a bounded writer in front of another one. Close ends it.
func NewBounded(to io.Writer) *Bounded {
	b := &Bounded{
		to: to, lines: make(chan []byte, queueLines), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		done: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write takes one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
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

// Close writes what waits. No line may be written after it.
func (b *Bounded) Close() error {
	b.closing.Do(func() { close(b.lines) })
	<-b.done
	return nil
}

func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		// A log line that can't be written has nowhere to be reported.
		_, _ = b.to.Write(line)
		if dropped := b.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(b.to, "level=warn part=logs msg=\"Lines dropped.\" lines=%d\n", dropped)
		}
	}
}
