// Package crash holds the controller that finds requests that crash the
// endpoints that run them, so that they are not sent to more.
package crash

import (
	"maps"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
)

const (
	// Convicted is how many ended endpoints make a request a crashing one.
	Convicted = 2
	// MemorySpan is how long a count is kept after the last crash.
	MemorySpan = 60 * clock.Second
	// ConfirmSpan is how long after a broken answer the end of its endpoint must
	// show for the request to count as its cause.
	ConfirmSpan = 3 * clock.Second
)

type (
	controller struct {
		// broken holds requests whose answers broke, by endpoint.
		broken map[ident.Endpoint][]suspicion
	}

	suspicion struct {
		fingerprint uint64
		at          clock.Millis
	}
)

// NewController returns the controller of crashing requests.
func NewController() board.Controller {
	return &controller{broken: map[ident.Endpoint][]suspicion{}}
}

// IsConvicted reports whether the request is known to crash endpoints.
func IsConvicted(b *board.Board, fingerprint uint64) bool {
	known := b.Crashes[fingerprint]
	if known == nil || b.Now-known.SeenAt > MemorySpan {
		return false
	}
	total := 0
	for _, count := range known.Counts {
		total += count
	}
	return total >= Convicted
}

// Step handles one input.
func (c *controller) Step(b *board.Board, happened input.Input) {
	switch happened := happened.(type) {
	case input.SendEnded:
		c.ended(b, happened.Result)
	case input.EndpointRemoved:
		c.confirm(b, happened.Name)
	case input.EndpointRead:
		known := b.Pool.Find(happened.Entry.Name)
		if known != nil && known.Epoch != happened.Entry.Epoch {
			c.confirm(b, happened.Entry.Name)
		}
	case input.NewsReceived:
		for _, news := range happened.Batch.News {
			for fingerprint, count := range news.CrashCounts {
				note(b, fingerprint, news.Entry, count)
			}
		}
	case input.Ticked:
		c.forget(b)
	}
}

func (c *controller) ended(b *board.Board, result call.Result) {
	request := b.Requests[result.Number]
	if request == nil || request.Endpoint == "" {
		return
	}
	switch {
	case result.Dead:
		c.confirm(b, request.Endpoint)
	case result.End == call.EndAnswerLost:
		found := suspicion{request.Request.Fingerprint, b.Now}
		c.broken[request.Endpoint] = append(c.broken[request.Endpoint], found)
	case result.End == call.EndComplete:
		delete(b.Crashes, request.Request.Fingerprint)
	}
}

// confirm counts the requests that broke at an endpoint shortly before it ended.
func (c *controller) confirm(b *board.Board, name ident.Endpoint) {
	for _, found := range c.broken[name] {
		if b.Now-found.at > ConfirmSpan {
			continue
		}
		count := 1
		if known := b.Crashes[found.fingerprint]; known != nil {
			count += known.Counts[b.Self]
		}
		note(b, found.fingerprint, b.Self, count)
		b.NewsChanged = true
		b.Log("Request was running when an endpoint ended.", "fingerprint", found.fingerprint, "endpoint", name)
	}
	delete(c.broken, name)
}

func note(b *board.Board, fingerprint uint64, entry ident.Entry, count int) {
	known := b.Crashes[fingerprint]
	if known == nil {
		known = &board.Crash{Counts: map[ident.Entry]int{}}
		b.Crashes[fingerprint] = known
	}
	if known.Counts[entry] < count {
		known.Counts[entry] = count
		known.SeenAt = b.Now
	}
}

func (c *controller) forget(b *board.Board) {
	maps.DeleteFunc(b.Crashes, func(_ uint64, known *board.Crash) bool { return b.Now-known.SeenAt > MemorySpan })
	for name, found := range c.broken {
		if b.Now-found[len(found)-1].at > ConfirmSpan {
			delete(c.broken, name)
		}
	}
}
