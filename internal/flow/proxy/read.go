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

// readPublished reads published state, as often as the entry's role asks for,
// until the process ends.
func (p *Proxy) readPublished() {
	state := &reader.Reader{}
	for p.lifetime.Err() == nil {
		next, role, random := p.nextRead(state)
		if !next.ShouldRead {
			p.sourceBack(state)
			p.sleep(next.Pause)
			continue
		}
		read, err := p.readOnce(next)
		var forgotten *port.CompactedError
		switch {
		case err == nil:
			p.sourceBack(state)
			p.take(read)
			p.sleep(state.Succeeded(read.Revision))
		case p.lifetime.Err() != nil:
			return
		case errors.As(err, &forgotten):
			p.logger.Part("source").Info("History of published state is gone; all is read anew.", "after", next.AfterRevision)
			state.HistoryLost()
		default:
			p.Step(input.SourceLost{Reason: err.Error()})
			p.sleep(state.Failed(role, random))
		}
	}
}

func (p *Proxy) nextRead(state *reader.Reader) (reader.Decision, peers.Role, float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.board.Now = max(Now(), p.board.Now)
	return state.Next(p.board), peers.RoleOf(p.board), p.board.Random.Float64()
}

func (p *Proxy) readOnce(next reader.Decision) (port.ReadResult, error) {
	ctx, cancel := context.WithTimeout(p.lifetime, next.Timeout.Duration())
	defer cancel()
	if next.AfterRevision == 0 {
		return p.source.ReadAll(ctx)
	}
	return p.source.Follow(ctx, next.AfterRevision, next.Wait)
}

func (p *Proxy) sourceBack(state *reader.Reader) {
	if state.IsFailing {
		state.IsFailing = false
		p.Step(input.SourceRecovered{})
	}
}

// take hands what was read to the core.
func (p *Proxy) take(read port.ReadResult) {
	for _, bad := range read.Invalid {
		p.logger.Part("source").Warn("Published entry can't be read.", "key", bad.Key, "err", bad.Err)
	}
	for _, happened := range read.Inputs {
		p.Step(happened)
	}
	p.Step(input.Confirmed{})
}

func (p *Proxy) sleep(span clock.Millis) {
	select {
	case <-p.lifetime.Done():
	case <-time.After(span.Duration()):
	}
}
