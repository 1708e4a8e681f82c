package proxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"

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
			p.reportSourceRecovered(state)
			p.sleep(next.Pause)
			continue
		}
		read, err := p.readOnce(next)
		var compacted *port.CompactedError
		var era *port.EraError
		var cut *port.CutError
		switch {
		case err == nil:
			p.reportSourceRecovered(state)
			p.applyRead(read)
			p.sleep(state.RecordSuccess(read.At))
		case p.lifetime.Err() != nil:
			return
		case errors.As(err, &compacted):
			p.logger.Part("source").Info("History of published state is gone; all is read anew.", "after", next.After.Revision)
			state.RecordHistoryLost()
		case errors.As(err, &era) && era.Found > era.Known:
			p.reportSourceRecovered(state)
			p.logger.Part("source").Info("Published state has a new era; all is read anew.", "era", era.Found, "before", era.Known)
			state.RecordHistoryLost()
			p.sleep(reader.BatchInterval)
		case errors.As(err, &cut):
			p.metrics.failedReads.Inc(1)
			p.logger.Part("source").Info("Watch of published state was cut.", "after", next.After.Revision, "err", err)
			p.sleep(state.RecordCut(role, random))
		default:
			p.metrics.failedReads.Inc(1)
			p.Step(input.SourceLost{Reason: err.Error()})
			p.sleep(state.RecordFailure(role, random))
		}
	}
}

// planNextRead returns the next read to do, the role of the entry and a random number
// in [0,1) for the backoff.
func (p *Proxy) planNextRead(state *reader.Reader) (reader.Decision, peers.Role, float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.board.Now = max(Now(), p.board.Now)
	return state.Next(p.board), peers.RoleOf(p.board), p.board.Random.Float64()
}

// readOnce reads all published state, or waits for changes after the last read. It returns a
// port.EraError if the answer is of a lower era, or lacks changes because it is of a higher one.
func (p *Proxy) readOnce(next reader.Decision) (port.ReadResult, error) {
	ctx, cancel := context.WithTimeout(p.lifetime, next.Timeout.Duration())
	defer cancel()
	isFull := next.After.IsZero()
	var read port.ReadResult
	var err error
	if isFull {
		read, err = p.source.ReadAll(ctx, next.Era)
	} else {
		read, err = p.source.Follow(ctx, next.After, next.Wait)
	}
	if err == nil && (read.At.Era < next.Era || !isFull && read.At.Era != next.Era) {
		return port.ReadResult{}, &port.EraError{Known: next.Era, Found: read.At.Era}
	}
	return read, err
}

// reportSourceRecovered reports to the core that the source can be read again, if it was
// unavailable.
func (p *Proxy) reportSourceRecovered(state *reader.Reader) {
	wasUnavailable := state.IsUnavailable
	state.ResetFailures()
	if wasUnavailable {
		p.Step(input.SourceRecovered{})
	}
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
