package proxy

import (
	"context"
	"time"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/port"
	"mustardhook/internal/flow/reader"
)

// readPublished reads published state until the proxy stops. The role of the entry
// among its peers determines whether and how often it reads.
func (p *Proxy) readPublished() {
	state := &reader.Reader{}
	for p.lifetime.Err() == nil {
		next, role, random := p.planNextRead(state)
		if !next.ShouldRead {
			if state.Recover() {
				p.Step(input.SourceRecovered{})
			}
			p.sleep(next.Pause)
			continue
		}
		read, err := p.readOnce(next)
		if p.lifetime.Err() != nil {
			return
		}
		p.endRead(next, read, state.Record(next, read.At, err, role, random))
	}
}

// endRead passes the end of a read to the core and the log, and waits for the time of the next one.
func (p *Proxy) endRead(next reader.Decision, read port.ReadResult, end reader.End) {
	if end.Recovered {
		p.Step(input.SourceRecovered{})
	}
	logger := p.logger.Part("source")
	switch end.Outcome {
	case reader.OutcomeRead:
		p.applyRead(read)
	case reader.OutcomeHistoryLost:
		logger.Info("History of published state is gone; all is read anew.", "after", next.After.Revision)
	case reader.OutcomeNewEra:
		logger.Info("Published state has a new era; all is read anew.", "before", next.Era, "err", end.Err)
	case reader.OutcomeCut:
		p.metrics.failedReads.Inc(1)
		logger.Info("Watch of published state was cut.", "after", next.After.Revision, "err", end.Err)
	case reader.OutcomeFailed:
		p.metrics.failedReads.Inc(1)
		p.Step(input.SourceLost{Reason: end.Err.Error()})
	}
	p.sleep(end.Pause)
}

// planNextRead returns the next read to do, the role of the entry and a random number
// in [0,1) for the backoff.
func (p *Proxy) planNextRead(state *reader.Reader) (reader.Decision, peers.Role, float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.board.Now = max(Now(), p.board.Now)
	return state.Next(p.board), peers.RoleOf(p.board), p.board.Random.Float64()
}

// readOnce reads all published state, or waits for changes after the last read.
func (p *Proxy) readOnce(next reader.Decision) (port.ReadResult, error) {
	ctx, cancel := context.WithTimeout(p.lifetime, next.Timeout.Duration())
	defer cancel()
	if next.After.IsZero() {
		return p.source.ReadAll(ctx, next.Era)
	}
	return p.source.Follow(ctx, next.After, next.Wait)
}

// applyRead passes the result of a read to the core. It logs invalid records.
func (p *Proxy) applyRead(result port.ReadResult) {
	for _, invalid := range result.Invalid {
		p.logger.Part("source").Warn("Published entry can't be read.", "key", invalid.Key, "err", invalid.Err)
	}
	for _, in := range result.Inputs {
		p.Step(in)
	}
	p.Step(input.Confirmed{At: result.At})
}

// sleep waits for the given time or until the proxy stops.
func (p *Proxy) sleep(pause clock.Millis) {
	select {
	case <-p.lifetime.Done():
	case <-time.After(pause.Duration()):
	}
}
