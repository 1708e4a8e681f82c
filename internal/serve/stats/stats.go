// Package stats holds the metrics of an entry.
package stats

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
)

type (
	// Stats are the metrics of one entry.
	Stats struct {
		registry metrics.Registry

		Prompts         metrics.Counter
		FinishedPrompts metrics.Counter
		FailedPrompts   metrics.Counter
		Attempts        metrics.Counter
		Tokens          metrics.Counter
		Calls           metrics.Counter
		UnknownCalls    metrics.Counter
		MessagesOut     metrics.Counter
		MessagesIn      metrics.Counter
		MessagesLost    metrics.Counter
		BytesOut        metrics.Counter
		BytesIn         metrics.Counter
		Reports         metrics.Counter
		Steps           metrics.Counter
		StepTime        metrics.Timer
		FirstToken      metrics.Timer
	}
)

// New returns a set of metrics with all values at zero.
func New() *Stats {
	r := metrics.NewRegistry()
	return &Stats{
		registry:        r,
		Prompts:         metrics.NewRegisteredCounter("prompts.asked", r),
		FinishedPrompts: metrics.NewRegisteredCounter("prompts.finished", r),
		FailedPrompts:   metrics.NewRegisteredCounter("prompts.failed", r),
		Attempts:        metrics.NewRegisteredCounter("prompts.attempts", r),
		Tokens:          metrics.NewRegisteredCounter("prompts.tokens", r),
		Calls:           metrics.NewRegisteredCounter("calls.asked", r),
		UnknownCalls:    metrics.NewRegisteredCounter("calls.unknown", r),
		MessagesOut:     metrics.NewRegisteredCounter("peers.messagesOut", r),
		MessagesIn:      metrics.NewRegisteredCounter("peers.messagesIn", r),
		MessagesLost:    metrics.NewRegisteredCounter("peers.messagesLost", r),
		BytesOut:        metrics.NewRegisteredCounter("peers.bytesOut", r),
		BytesIn:         metrics.NewRegisteredCounter("peers.bytesIn", r),
		Reports:         metrics.NewRegisteredCounter("endpoints.reports", r),
		Steps:           metrics.NewRegisteredCounter("core.steps", r),
		StepTime:        metrics.NewRegisteredTimer("core.stepTime", r),
		FirstToken:      metrics.NewRegisteredTimer("prompts.firstToken", r),
	}
}

// Close stops the background work of the timers.
func (s *Stats) Close() {
	s.StepTime.Stop()
	s.FirstToken.Stop()
}

// Write writes all metrics to out as JSON.
func (s *Stats) Write(out io.Writer) { metrics.WriteJSONOnce(s.registry, out) }

// CountStep counts one step of the core and records its duration since startedAt.
func (s *Stats) CountStep(startedAt time.Time) {
	s.Steps.Inc(1)
	s.StepTime.UpdateSince(startedAt)
}
