package peers

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/tally"
)

// MissingTimeout is how long an entry must be silent for its hub to say that it is
// missing; entries speak to their hub each RoundSpan.
const MissingTimeout = 700 * clock.Millis(1)

// domainStatus is what hubs last said of a failure domain.
type domainStatus struct {
	at      clock.Millis
	missing map[tally.Mark]bool
}

// receiveLiveness takes which failure domains others heard, and which entries there they
// missed.
func (c *publisher) receiveLiveness(b *board.Board, batch input.Batch) {
	if len(batch.Live) == 0 {
		return
	}
	missing := make(map[tally.Mark]bool, len(batch.Missing))
	for _, mark := range batch.Missing {
		missing[mark] = true
	}
	for domain, at := range batch.Live {
		for _, found := range b.Roster(domain) {
			if found.Peer != nil && at > found.Peer.LastHeard && !missing[found.Peer.Mark] {
				found.Peer.LastHeard = at
			}
		}
		if at > c.domains[domain].at {
			c.domains[domain] = domainStatus{at, missing}
		}
	}
}

// addLiveness says which failure domains this entry heard, to its own one and to the hubs
// of the others. They hear of the own failure domain only.
func (c *publisher) addLiveness(b *board.Board, inside, outside *input.Batch) {
	missing := map[tally.Mark]bool{}
	for _, found := range b.Roster(b.Domain) {
		if found.Peer != nil && b.Now-found.Peer.LastHeard > MissingTimeout {
			missing[found.Peer.Mark] = true
		}
	}
	outside.Live = map[ident.Domain]clock.Millis{b.Domain: b.Now}
	outside.Missing = slices.Sorted(maps.Keys(missing))
	inside.Live = map[ident.Domain]clock.Millis{b.Domain: b.Now}
	for domain, word := range c.domains {
		if domain == b.Domain {
			continue
		}
		inside.Live[domain] = word.at
		maps.Copy(missing, word.missing)
	}
	inside.Missing = slices.Sorted(maps.Keys(missing))
}
