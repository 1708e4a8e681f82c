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

// MissingSpan is how long an entry must be silent for its hub to say that it is
// missing; entries speak to their hub each RoundSpan.
const MissingSpan = 700 * clock.Millis(1)

// domainWord is what hubs last said of a failure domain.
type domainWord struct {
	at      clock.Millis
	missing map[tally.EntryHash]bool
}

// takeLive takes which failure domains others heard, and which entries there they
// missed.
func (c *teller) takeLive(b *board.Board, batch input.Batch) {
	if len(batch.DomainsSeenAt) == 0 {
		return
	}
	missing := make(map[tally.EntryHash]bool, len(batch.Missing))
	for _, mark := range batch.Missing {
		missing[mark] = true
	}
	for domain, at := range batch.DomainsSeenAt {
		for _, found := range b.Roster(domain) {
			if found.Peer != nil && at > found.Peer.LastSeenAt && !missing[found.Peer.EntryHash] {
				found.Peer.LastSeenAt = at
			}
		}
		if at > c.domains[domain].at {
			c.domains[domain] = domainWord{at, missing}
		}
	}
}

// addLive says which failure domains this entry heard, to its own one and to the hubs
// of the others. They hear of the own failure domain only.
func (c *teller) addLive(b *board.Board, inside, outside *input.Batch) {
	missing := map[tally.EntryHash]bool{}
	for _, found := range b.Roster(b.Domain) {
		if found.Peer != nil && b.Now-found.Peer.LastSeenAt > MissingSpan {
			missing[found.Peer.EntryHash] = true
		}
	}
	outside.DomainsSeenAt = map[ident.Domain]clock.Millis{b.Domain: b.Now}
	outside.Missing = slices.Sorted(maps.Keys(missing))
	inside.DomainsSeenAt = map[ident.Domain]clock.Millis{b.Domain: b.Now}
	for domain, word := range c.domains {
		if domain == b.Domain {
			continue
		}
		inside.DomainsSeenAt[domain] = word.at
		maps.Copy(missing, word.missing)
	}
	inside.Missing = slices.Sorted(maps.Keys(missing))
}
