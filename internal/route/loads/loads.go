// Package loads holds the controller that keeps what engines report of their
// load, their caches and their lives.
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
	// ReadsPerTick bounds the reports that an entry asks for in one tick.
	ReadsPerTick = 2
	// ReadSpan is the least time between two reads of one engine.
	ReadSpan = 500 * clock.Millis(1)
	// ReadTimeout is how long a read may take before it counts as failed.
	ReadTimeout = 2 * clock.Second
	// DownAfter is how many failed reads in a row take an engine out of use.
	DownAfter = 2
	// doubtDivider is the part of the doubt of missed cache events that fades with
	// each report, since the entries that they were about fade too.
	doubtDivider = 8
	// NearPrefixLimit bounds the prefixes that are remembered for an engine of the
	// own failure domain.
	NearPrefixLimit = 4096
	// FarPrefixLimit bounds them for an engine of another failure domain.
	FarPrefixLimit = 256
)

type (
	controller struct{}
)

// NewController returns the controller of load reports.
func NewController() loop.Controller { return controller{} }

// IsDown reports whether the endpoint failed its last reads.
func IsDown(load *board.Load) bool {
	return load != nil && load.Failures >= DownAfter
}

// Step schedules reads and takes reports.
func (controller) Step(b *board.Board, happened event.Event) {
	switch happened := happened.(type) {
	case event.Ticked:
		schedule(b)
	case event.ReportRead:
		take(b, happened)
	case event.ReportFailed:
		fail(b, happened.Endpoint)
	}
}

func schedule(b *board.Board) {
	for range ReadsPerTick {
		endpoint, found := stalest(b)
		if !found {
			return
		}
		load := b.EndpointStatus(endpoint.Name)
		load.Asking = true
		load.AskedAt = b.Now
		b.Emit(action.ReadReport{Endpoint: endpoint.Name, Address: endpoint.Address, Since: load.Report.CacheSequence})
	}
}

// stalest returns the engine whose report is the oldest; engines of the own
// failure domain count as twice as old.
func stalest(b *board.Board) (fleet.Endpoint, bool) {
	var oldest fleet.Endpoint
	var worst clock.Millis
	for _, endpoint := range b.Index.Engines {
		load := b.EndpointStatus(endpoint.Name)
		waited := b.Now - load.AskedAt
		if waited < ReadSpan || (load.Asking && waited < ReadTimeout) {
			continue
		}
		if endpoint.Domain == b.Domain {
			waited *= 2
		}
		if waited > worst {
			worst = waited
			oldest = endpoint
		}
	}
	return oldest, worst > 0
}

func take(b *board.Board, read event.ReportRead) {
	load := b.EndpointStatus(read.Endpoint)
	if IsDown(load) {
		b.Audit(action.AuditEndpoint, string(read.Endpoint), "Endpoint answers again.")
	}
	if load.Report.Boot != 0 && load.Report.Boot != read.Report.Boot {
		b.Audit(action.AuditEndpoint, string(read.Endpoint), "Endpoint restarted.")
		load.Prefixes = map[uint64]clock.Millis{}
		load.Ordered = board.OrderState{}
		load.Doubt = 0
	}
	load.Doubt -= (load.Doubt + doubtDivider - 1) / doubtDivider
	applyCacheEvents(b, load, read)
	load.Report = read.Report
	load.ReadAt = b.Now
	load.Asking = false
	load.Failures = 0
}

func applyCacheEvents(b *board.Board, load *board.Load, read event.ReportRead) {
	report := read.Report
	limit := FarPrefixLimit
	if endpoint, found := b.State.Endpoint(read.Endpoint); found && endpoint.Domain == b.Domain {
		limit = NearPrefixLimit
	}
	last := load.Report.CacheSequence
	if report.Boot != load.Report.Boot {
		last = 0
	}
	for _, change := range report.CacheEvents {
		if change.Sequence > last+1 && last > 0 {
			load.Doubt += change.Sequence - last - 1
		}
		last = change.Sequence
		if !change.Stored {
			delete(load.Prefixes, change.Prefix)
			continue
		}
		if len(load.Prefixes) < limit {
			load.Prefixes[change.Prefix] = b.Now
		}
	}
}

func fail(b *board.Board, name ident.Endpoint) {
	load := b.EndpointStatus(name)
	load.Asking = false
	load.Failures++
	if load.Failures == DownAfter {
		b.Audit(action.AuditEndpoint, string(name), "Endpoint does not answer.")
	}
}
