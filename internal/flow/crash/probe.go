package crash

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
)

const (
	// An endpoint that closed the connection of an answer is probed up to maxProbes times, with
	// probeInterval between two probes: its process may end later than its connections. It has crashed if
	// it gives no report silentProbes times.
	maxProbes     = 3
	silentProbes  = 2
	probeInterval = 250 * clock.Millis(1)
	// minRestart is less than the time in which an endpoint that has crashed answers again.
	minRestart = 1 * clock.Second
)

// emitProbe asks whether an endpoint still accepts connections, and later whether an engine still reports: the
// first probe may come before its process has ended.
func emitProbe(b *board.Board, name ident.Endpoint, known *losses) {
	wantsReport := known.probes > 0 && b.Plan.Services[known.service].Engine != nil
	known.probes++
	known.isProbing = true
	b.Emit(output.ProbeEndpoint{Endpoint: name, Epoch: known.epoch, Address: known.address, WantsReport: wantsReport})
}

// probe repeats the probes of endpoints that are not known to have crashed.
func (c *controller) probe(b *board.Board) {
	for _, name := range slices.Sorted(maps.Keys(c.losses)) {
		known := c.losses[name]
		isDue := known.probes > 0 && known.probes < maxProbes && !known.isProbing && b.Now-known.probedAt >= probeInterval
		if isDue && !known.hasCrashed {
			emitProbe(b, name, known)
		}
	}
}

func (c *controller) handleProbe(b *board.Board, probed input.EndpointProbed) {
	known := c.losses[probed.Endpoint]
	if known == nil || known.epoch != probed.Epoch {
		return
	}
	known.isProbing = false
	known.probedAt = b.Now
	switch probed.Outcome {
	case input.ProbeRefused:
		c.confirmCrash(b, probed.Endpoint)
	case input.ProbeAnswered:
		c.withdraw(b, probed.Endpoint)
	case input.ProbeSilent:
		known.silent++
		if known.silent < silentProbes {
			emitProbe(b, probed.Endpoint, known)
			return
		}
		c.confirmCrash(b, probed.Endpoint)
	case input.ProbeUnknown:
	}
}

// handleLife drops the losses at an endpoint that answers a request which was sent after them.
func (c *controller) handleLife(b *board.Board, request *board.Request) {
	if request == nil {
		return
	}
	known := c.losses[request.Endpoint]
	endpoint := b.Pool.Find(request.Endpoint)
	if known != nil && endpoint != nil && known.epoch == endpoint.Epoch && request.SentAt > known.lastAt {
		c.withdraw(b, request.Endpoint)
	}
}

// withdraw drops the losses at an endpoint that has just answered: it has not crashed, unless there was time
// for a restart.
func (c *controller) withdraw(b *board.Board, name ident.Endpoint) {
	known := c.losses[name]
	if !known.hasCrashed && b.Now-known.lastAt < minRestart {
		b.Blame.WithdrawLosses(blame.RunOf(name, known.epoch))
		delete(c.losses, name)
	}
}
