package ident

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the names by rendezvous hashing for the key: every caller with
// the same names gets the same order, and a name that goes moves only its keys.
func Rank[N ~string](key string, names []N) []N {
	ranked := slices.Clone(names)
	weights := make(map[N]uint64, len(names))
	for _, name := range names {
		weights[name] = weigh(key, string(name))
	}
	slices.SortFunc(ranked, func(a, b N) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ranked
}

// RankIncarnations orders incarnations by rendezvous hashing for the key.
func RankIncarnations(key string, members []Incarnation) []Incarnation {
	ranked := slices.Clone(members)
	weights := make(map[Incarnation]uint64, len(members))
	for _, member := range members {
		weights[member] = weigh(key, member.String())
	}
	slices.SortFunc(ranked, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a.String(), b.String()))
	})
	return ranked
}

func weigh(key, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// EntryHash returns a hash of the incarnation, below the limit.
func (i Incarnation) EntryHash(limit uint32) uint32 {
	return uint32(xxhash.Sum64String(i.String()) % uint64(limit))
}
