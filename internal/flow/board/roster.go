package board

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/ident"
)

type (
	// Member is an entry of a failure domain. Peer is nil for the entry itself.
	Member struct {
		Name     ident.Entry
		Address  string
		Capacity int
		Peer     *Peer
	}

	// roster lists the known entries of each failure domain.
	roster struct {
		domains []ident.Domain
		members map[ident.Domain][]Member
	}
)

// Roster returns the known entries of the failure domain, this one among them: those
// with the most capacity first, in an order that all entries share. The caller must not
// change the slice.
func (b *Board) Roster(domain ident.Domain) []Member { return b.lineUp().members[domain] }

// Domains returns the failure domains of all known entries.
func (b *Board) Domains() []ident.Domain { return b.lineUp().domains }

// InvalidateRoster notes that an entry came or went, or that what seldom changes of one did.
func (b *Board) InvalidateRoster() { b.roster = nil }

func (b *Board) lineUp() *roster {
	if b.roster != nil {
		return b.roster
	}
	members := map[ident.Domain][]Member{}
	members[b.Domain] = append(members[b.Domain], Member{b.Self, b.Address, b.Capacity, nil})
	for name, peer := range b.Peers {
		domain := peer.News.Domain
		members[domain] = append(members[domain], Member{name, peer.News.Address, peer.News.Capacity, peer})
	}
	for _, found := range members {
		slices.SortFunc(found, func(a, b Member) int {
			return cmp.Or(
				cmp.Compare(b.Capacity, a.Capacity),
				cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))),
			)
		})
	}
	b.roster = &roster{slices.Sorted(maps.Keys(members)), members}
	return b.roster
}
