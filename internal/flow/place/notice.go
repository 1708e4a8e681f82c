package place

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
)

// pauseSpread is the share of a pause by which callers return later than its end at most, so that
// they do not all return at the same time.
const pauseSpread = 0.5

// handleNotice records what an endpoint says of itself, unless it has started anew since. Work that
// it runs goes on.
func handleNotice(b *board.Board, notice input.EndpointNoticed) {
	endpoint := b.Pool.Find(notice.Endpoint)
	if endpoint == nil || endpoint.Epoch != notice.Epoch {
		return
	}
	if notice.Leaving && b.Pool.AnnounceLeaving(endpoint, b.Now) {
		b.NewsChanged = true
		b.Log("Endpoint announces that it leaves.", "request", notice.Request, "endpoint", endpoint.Name)
	}
	if notice.ColdLeft > 0 {
		b.Pool.MarkEndpointCold(endpoint, b.Now+notice.ColdLeft, b.Now)
	}
	if notice.RetryAfter > 0 {
		until := b.Pool.Pause(endpoint, notice.RetryAfter, b.Now)
		b.NewsChanged = true
		b.Log("Endpoint asks for a pause.", "request", notice.Request, "endpoint", endpoint.Name,
			"retryAfter", notice.RetryAfter, "until", until)
	}
}

// noEndpoint returns the decision on a request if no endpoint is usable. If some are only cold, it
// waits for them or the caller is told when it may be served. If some have only asked for a pause, the
// caller is told to return when the first pause has ended. Nobody knows when an evacuation will end: the
// caller keeps most of its time for its next attempt.
func noEndpoint(b *board.Board, request *board.Request, isLong bool) choice {
	if next := nextColdSend(b, request.Service, isLong); next != 0 {
		return awaitCold(b, request, next)
	}
	end := b.Pool.PauseEnd(request.Service, b.Now)
	if end == 0 && b.Pool.IsServiceEvacuated(request.Service) {
		return choice{reason: call.ReasonEvacuated, retryAfter: b.RetryAfter(request)}
	}
	if end == 0 {
		return choice{reason: call.ReasonNoEndpoint, retryAfter: FullRetryAfter}
	}
	return choice{reason: call.ReasonPaused, retryAfter: spreadReturn(b, end)}
}

// spreadReturn returns the delay after which a caller should return that can be served from the given time
// on.
func spreadReturn(b *board.Board, from clock.Millis) clock.Millis {
	delay := from - b.Now
	return delay + clock.Millis(pauseSpread*b.Random.Float64()*float64(delay))
}
