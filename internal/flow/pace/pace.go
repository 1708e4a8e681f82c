// Package pace provides the controller that detects slow endpoints. It requests a report
// of the pace, which is how many times as long as published an endpoint takes for its
// work, from endpoints whose answers are later than predicted. It requests further reports
// until the endpoint has recovered.
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
	// A report is requested if the time to the first event exceeds the prediction times
	// lateFactor, plus lateMargin. Predictions miss work that other entries have not
	// published yet.
	lateFactor = 2
	lateMargin = 100 * clock.Millis(1)
)

type controller struct{}

// NewController returns the controller that detects slow endpoints.
func NewController() board.Controller { return controller{} }

// Step handles one input.
func (controller) Step(b *board.Board, in input.Input) {
	switch in := in.(type) {
	case input.Ticked:
		for _, request := range b.Requests {
			if isLate(b, request) {
				requestReport(b, b.Pool.Find(request.Endpoint))
				requestHelperReports(b, request.Helpers)
			}
		}
		for _, endpoint := range b.Pool.SlowEndpoints(b.Now) {
			requestReport(b, endpoint)
		}
	case input.PaceReported:
		applyReport(b, in)
	}
}

// isLate reports whether the first event of a prompt is much later than predicted.
func isLate(b *board.Board, request *board.Request) bool {
	lead := b.Pool.Find(request.Endpoint)
	if lead == nil || request.FirstEventSent || b.Plan.Services[request.Service].Engine == nil {
		return false
	}
	work, isRunning := lead.Work[request.Request.Number]
	return isRunning && b.Now-work.StartedAt > lateFactor*(work.PrefillEndsAt-work.StartedAt)+lateMargin
}

func requestHelperReports(b *board.Board, helpers []ident.Endpoint) {
	for _, name := range helpers {
		requestReport(b, b.Pool.Find(name))
	}
}

// requestReport requests a pace report unless the endpoint sent or was asked for one
// recently, or is evacuated.
func requestReport(b *board.Board, endpoint *pool.Endpoint) {
	if endpoint == nil || endpoint.IsEvacuated() || !endpoint.BeginReportRequest(b.Now) {
		return
	}
	b.Emit(output.RequestPace{Endpoint: endpoint.Name, Address: endpoint.Address})
}

func applyReport(b *board.Board, report input.PaceReported) {
	endpoint := b.Pool.Find(report.Endpoint)
	if endpoint == nil {
		return
	}
	if b.Pool.RecordReport(endpoint, report.Factor, b.Now) {
		b.Log("Pace of endpoint changed.", "endpoint", endpoint.Name, "pace", report.Factor)
	}
	b.NewsChanged = true
}
