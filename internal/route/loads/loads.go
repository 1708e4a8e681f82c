// Package loads implements the controller that collects the load reports of engines and
// tracks their caches, failures and restarts.
package loads

import (
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
)

const (
	// ReadsPerTick limits the number of reports that an entry requests per tick.
	ReadsPerTick = 2
	// ReadInterval is the minimum time between two reads from one engine.
	ReadInterval = 500 * clock.Millis(1)
	// ReadTimeout is the time after which a read that was not answered may be repeated.
	ReadTimeout = 2 * clock.Second
	// MaxFailedReads is the number of consecutive failed reads after which an engine is
	// not used.
	MaxFailedReads = 2
	// missedEventsDecay is the divisor for the part of EndpointStatus.MissedEvents that
	// each report removes. The count decays because the cached prefixes that the missed
	// events were about are evicted over time.
	missedEventsDecay = 8
	// MaxLocalPrefixes limits the number of prefixes kept for an engine of the same
	// failure domain.
	MaxLocalPrefixes = 4096
	// MaxRemotePrefixes limits the number of prefixes kept for an engine of another
	// failure domain.
	MaxRemotePrefixes = 256
)

type (
	controller struct{}
)

// NewController returns a controller for load reports.
func NewController() loop.Controller { return controller{} }

// IsDown reports whether at least MaxFailedReads consecutive reads from the endpoint
// failed.
func IsDown(status *board.EndpointStatus) bool {
	return status != nil && status.Failures >= MaxFailedReads
}

// Step requests reports on every tick and applies those that arrive.
func (controller) Step(b *board.Board, input event.Event) {
	switch input := input.(type) {
	case event.Ticked:
		schedule(b)
	case event.ReportRead:
		applyReport(b, input)
	case event.ReportFailed:
		recordFailure(b, input.Endpoint)
	}
}

func schedule(b *board.Board) {
	for range ReadsPerTick {
		endpoint, ok := stalest(b)
		if !ok {
			return
		}
		status := b.EndpointStatus(endpoint.Name)
		status.ReadInFlight = true
		status.RequestedAt = b.Now
		b.Emit(action.ReadReport{Endpoint: endpoint.Name, Address: endpoint.Address, Since: status.Report.CacheSequence, RequestedAt: b.Now})
	}
}

// stalest returns the engine that was not read for the longest time, and false if no read
// is due. The time counts twice for engines of the same failure domain.
func stalest(b *board.Board) (fleet.Endpoint, bool) {
	var oldest fleet.Endpoint
	var longest clock.Millis
	for _, endpoint := range b.Index.Engines {
		status := b.EndpointStatus(endpoint.Name)
		elapsed := b.Now - status.RequestedAt
		if elapsed < ReadInterval || (status.ReadInFlight && elapsed < ReadTimeout) {
			continue
		}
		if endpoint.Domain == b.Domain {
			elapsed *= 2
		}
		if elapsed > longest {
			longest = elapsed
			oldest = endpoint
		}
	}
	return oldest, longest > 0
}

func applyReport(b *board.Board, read event.ReportRead) {
	status := b.EndpointStatus(read.Endpoint)
	if IsDown(status) {
		b.Audit(action.AuditEndpoint, string(read.Endpoint), "Endpoint answers again.")
	}
	isRestarted := status.Report.Boot != 0 && status.Report.Boot != read.Report.Boot
	if isRestarted {
		b.Audit(action.AuditEndpoint, string(read.Endpoint), "Endpoint restarted.")
		status.LastOrder = board.OrderState{}
	}
	isCacheNew := isRestarted || read.Report.CacheSequence < status.Report.CacheSequence
	if isCacheNew {
		status.Prefixes = map[uint64]clock.Millis{}
		status.MissedEvents = 0
	}
	status.MissedEvents -= (status.MissedEvents + missedEventsDecay - 1) / missedEventsDecay
	applyCacheEvents(b, status, read)
	status.Report = read.Report
	if isCacheNew {
		// The report lists only events after a number of the former sequence.
		status.Report.CacheSequence = 0
	}
	status.ReadAt = b.Now
	status.TakenAt = read.TakenAt()
	status.ReadInFlight = false
	status.Failures = 0
}

func applyCacheEvents(b *board.Board, status *board.EndpointStatus, read event.ReportRead) {
	report := read.Report
	limit := MaxRemotePrefixes
	if endpoint, ok := b.State.Endpoint(read.Endpoint); ok && endpoint.Domain == b.Domain {
		limit = MaxLocalPrefixes
	}
	last := status.Report.CacheSequence
	if report.Boot != status.Report.Boot {
		last = 0
	}
	for _, cacheEvent := range report.CacheEvents {
		if cacheEvent.Sequence > last+1 && last > 0 {
			status.MissedEvents += cacheEvent.Sequence - last - 1
		}
		last = cacheEvent.Sequence
		if !cacheEvent.Stored {
			delete(status.Prefixes, cacheEvent.Prefix)
			continue
		}
		if len(status.Prefixes) < limit {
			status.Prefixes[cacheEvent.Prefix] = b.Now
		}
	}
}

func recordFailure(b *board.Board, name ident.Endpoint) {
	status := b.EndpointStatus(name)
	status.ReadInFlight = false
	status.Failures++
	if status.Failures == MaxFailedReads {
		b.Audit(action.AuditEndpoint, string(name), "Endpoint does not answer.")
	}
}
