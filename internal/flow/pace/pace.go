// Package pace holds the controller that finds slow endpoints: it asks one whose
// answer is later than predicted how fast it works, and goes on asking until it
// has recovered.
package pace

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/pool"
)

const (
	// lateFactor and lateSpan say how much later than predicted a first event must be
	// for its endpoints to be asked; predictions err by work that was not told yet.
	lateFactor = 2
	lateSpan   = 100 * clock.Millis(1)
)

type controller struct{}

// NewController returns the controller of slow endpoints.
func NewController() board.Controller { return controller{} }

// Step handles one input.
func (controller) Step(b *board.Board, happened input.Input) {
	switch happened := happened.(type) {
	case input.Ticked:
		for _, request := range b.Requests {
			if isLate(b, request) {
				ask(b, b.Pool.Find(request.Endpoint))
				askHelpers(b, request.Helpers)
			}
		}
		for _, endpoint := range b.Pool.SlowEndpoints(b.Now) {
			ask(b, endpoint)
		}
	case input.PaceReported:
		take(b, happened)
	}
}

// isLate reports whether the first event of a prompt is much later than predicted.
func isLate(b *board.Board, request *board.Request) bool {
	lead := b.Pool.Find(request.Endpoint)
	if lead == nil || request.Begun || b.Plan.Services[request.Service].Engine == nil {
		return false
	}
	work, found := lead.Work[request.Request.Number]
	return found && b.Now-work.StartedAt > lateFactor*(work.PrefillEndsAt-work.StartedAt)+lateSpan
}

func askHelpers(b *board.Board, helpers []ident.Endpoint) {
	for _, name := range helpers {
		ask(b, b.Pool.Find(name))
	}
}

func ask(b *board.Board, endpoint *pool.Endpoint) {
	if endpoint == nil || !endpoint.BeginReportRequest(b.Now) {
		return
	}
	b.Emit(output.RequestPace{Endpoint: endpoint.Name, Address: endpoint.Address})
}

func take(b *board.Board, report input.PaceReported) {
	endpoint := b.Pool.Find(report.Endpoint)
	if endpoint == nil {
		return
	}
	if b.Pool.RecordReport(endpoint, report.Factor, b.Now) {
		b.Log("Pace of endpoint changed.", "endpoint", endpoint.Name, "pace", report.Factor)
	}
	b.NewsChanged = true
}
