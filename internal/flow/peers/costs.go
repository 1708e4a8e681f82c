package peers

import (
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
)

const (
	// CostInterval is the time between two sketches of costs.
	CostInterval = 2 * clock.Second

	// costBytes is the typical encoded size of a row of a sketch.
	costBytes = 29
)

// areCostsDue reports whether a sketch is due in this round. It is then sent.
func (p *publisher) areCostsDue(b *board.Board, isRound bool) bool {
	if !isRound || b.Now < p.nextCostsAt {
		return false
	}
	p.nextCostsAt = b.Now + CostInterval
	return true
}

// addCosts adds the evidence of this failure domain to both batches of its hub, and that of the others to the
// one for the entries here.
func (p *publisher) addCosts(b *board.Board, toMembers, toHubs *input.Batch) {
	toHubs.Costs = b.Costs.TakeOwn()
	toMembers.Costs = slices.Concat(toHubs.Costs, b.Costs.TakeRemote())
	p.publishLimit.charge(costBytes*len(toMembers.Costs), b.Now)
}

// receiveCosts learns from the evidence of other entries. A hub forwards it, unless it comes from the hub
// of its own failure domain.
func (p *publisher) receiveCosts(b *board.Board, batch input.Batch) {
	if len(batch.Costs) == 0 {
		return
	}
	b.Costs.Merge(batch.Costs, b.Now)
	if sender := b.Peers[batch.Sender]; batch.Forward && sender != nil {
		b.Costs.Forward(batch.Costs, sender.News.Domain != b.Domain)
	}
}
