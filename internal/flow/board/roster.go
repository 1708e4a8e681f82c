package board

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/ident"
)

type (
	// Member is an entry of a failure domain. Peer is nil for this entry itself.
	Member struct {
		Name     ident.Entry
		Address  string
		Capacity int
		Peer     *Peer
	}

	// roster holds the known entries of each failure domain.
	roster struct {
		domains []ident.Domain
		members map[ident.Domain][]Member
	}
)

// Roster returns the known entries of the failure domain, this one included. They are
// sorted by decreasing capacity and then by the hash of the name, so that all entries
// agree on the order. The caller must not modify the slice.
func (b *Board) Roster(domain ident.Domain) []Member { return b.currentRoster().members[domain] }

// Domains returns the failure domains of all known entries, sorted by name.
func (b *Board) Domains() []ident.Domain { return b.currentRoster().domains }

// InvalidateRoster discards the cached roster. It must be called after an entry was added
// or removed, or its domain, address or capacity changed.
func (b *Board) InvalidateRoster() { b.roster = nil }

// currentRoster returns the cached roster, which it rebuilds after a change.
func (b *Board) currentRoster() *roster {
	if b.roster != nil {
		return b.roster
	}
	members := map[ident.Domain][]Member{}
	members[b.Domain] = append(members[b.Domain], Member{b.Self, b.Address, b.Capacity, nil})
	for name, peer := range b.Peers {
		domain := peer.News.Domain
		members[domain] = append(members[domain], Member{name, peer.News.Address, peer.News.Capacity, peer})
	}
	for _, domainMembers := range members {
		slices.SortFunc(domainMembers, func(a, b Member) int {
			return cmp.Or(
				cmp.Compare(b.Capacity, a.Capacity),
				cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))),
			)
		})
	}
	b.roster = &roster{slices.Sorted(maps.Keys(members)), members}
	return b.roster
}
