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

// MissingTimeout is how long an entry must have been unresponsive before its hub reports
// it as missing. Entries send to their hub every RoundInterval.
const MissingTimeout = 700 * clock.Millis(1)

// domainStatus is what hubs last reported about a failure domain.
type domainStatus struct {
	at      clock.Millis
	missing map[tally.EntryHash]bool
}

// receiveLiveness processes which failure domains the sender knows to be alive, and which
// entries there are missing.
func (p *publisher) receiveLiveness(b *board.Board, batch input.Batch) {
	if len(batch.DomainsSeenAt) == 0 {
		return
	}
	missing := make(map[tally.EntryHash]bool, len(batch.Missing))
	for _, hash := range batch.Missing {
		missing[hash] = true
	}
	for domain, at := range batch.DomainsSeenAt {
		for _, member := range b.Roster(domain) {
			if member.Peer != nil && at > member.Peer.LastSeenAt && !missing[member.Peer.EntryHash] {
				member.Peer.LastSeenAt = at
			}
		}
		if at > p.domains[domain].at {
			p.domains[domain] = domainStatus{at, missing}
		}
	}
}

// addLiveness adds which failure domains are alive: all known ones to the batch for this
// failure domain, and only this one to the batch for the hubs of the others.
func (p *publisher) addLiveness(b *board.Board, toMembers, toHubs *input.Batch) {
	missing := map[tally.EntryHash]bool{}
	for _, member := range b.Roster(b.Domain) {
		if member.Peer != nil && b.Now-member.Peer.LastSeenAt > MissingTimeout {
			missing[member.Peer.EntryHash] = true
		}
	}
	toHubs.DomainsSeenAt = map[ident.Domain]clock.Millis{b.Domain: b.Now}
	toHubs.Missing = slices.Sorted(maps.Keys(missing))
	toMembers.DomainsSeenAt = map[ident.Domain]clock.Millis{b.Domain: b.Now}
	for domain, status := range p.domains {
		if domain == b.Domain {
			continue
		}
		toMembers.DomainsSeenAt[domain] = status.at
		maps.Copy(missing, status.missing)
	}
	toMembers.Missing = slices.Sorted(maps.Keys(missing))
}
