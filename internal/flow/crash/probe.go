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
// first probe may come before its process has ended. Evacuated engines are not asked for reports.
func emitProbe(b *board.Board, name ident.Endpoint, known *losses) {
	endpoint := b.Pool.Find(name)
	isEvacuated := endpoint != nil && endpoint.IsEvacuated()
	wantsReport := known.probes > 0 && b.Plan.Services[known.service].Engine != nil && !isEvacuated
	known.probes++
	known.isProbing = true
	known.probeSentAt = b.Now
	b.Emit(output.ProbeEndpoint{Endpoint: name, Epoch: known.epoch, Address: known.address, WantsReport: wantsReport})
}

// probe repeats the probes of endpoints that are not known to have crashed.
func (c *controller) probe(b *board.Board) {
	for _, name := range slices.Sorted(maps.Keys(c.losses)) {
		known := c.losses[name]
		isDue := known.probes > 0 && known.probes < maxProbes && !known.isProbing && b.Now-known.probeEndedAt >= probeInterval
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
	known.probeEndedAt = b.Now
	switch probed.Outcome {
	case input.ProbeRefused:
		c.confirmCrash(b, probed.Endpoint)
	case input.ProbeAnswered:
		c.handleLife(b, probed.Endpoint, known.probeSentAt)
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

// handleLife drops the losses at an endpoint that has just answered a probe or a request. If that was sent after the
// losses, it has not crashed, unless there was time for a restart.
func (c *controller) handleLife(b *board.Board, name ident.Endpoint, sentAt clock.Millis) {
	known := c.losses[name]
	endpoint := b.Pool.Find(name)
	isSameRun := known != nil && endpoint != nil && known.epoch == endpoint.Epoch
	if isSameRun && !known.hasCrashed && sentAt > known.lastAt && b.Now-known.lastAt < minRestart {
		b.Blame.WithdrawLosses(blame.RunOf(name, known.epoch))
		delete(c.losses, name)
	}
}
