// Package share determines which groups of callers exceed their share of a service when there
// is too little room for all. It does not depend on the network.
package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

// serviceFactor spreads the hashes of the groups of an organisation at different services.
const serviceFactor = 0x9e3779b97f4a7c15

const (
	// toleratedParts is the number of equal parts of the room up to which a group is within its share, at most
	// toleratedRoom of the room. Organisations differ in size, and those that have not grown are no cause
	// of contention.
	toleratedParts = 2.5
	toleratedRoom  = 0.5
)

type (
	// Group is an organisation at a service.
	Group struct {
		Service      ident.Service
		Organisation ident.Organisation
	}

	// Ask is what a group uses and waits for, and its weight.
	Ask struct{ Amount, Weight float64 }

	// Use is what the requests of a group occupy.
	Use struct {
		// Requests is the number of requests at endpoints.
		Requests int
		// PrefillMillis is the engine time of the long prompts among them that are being prefilled.
		PrefillMillis int
	}
)

// Hash returns the hash of the group under which its use is published among the loads of
// endpoints.
func (g Group) Hash() pool.Hash {
	return pool.Hash(xxhash.Sum64String(string(g.Organisation)) ^ xxhash.Sum64String(string(g.Service))*serviceFactor)
}

// Add returns the total of both uses.
func (u Use) Add(other Use) Use {
	return Use{u.Requests + other.Requests, u.PrefillMillis + other.PrefillMillis}
}

// Limit returns the use above which a group exceeds its share of the room: the max-min level, or what is
// tolerated if that is more.
func Limit(room float64, asks []Ask) float64 {
	return max(Level(room, asks), room*min(toleratedParts/float64(max(len(asks), 1)), toleratedRoom))
}

// Level returns the max-min level of the room: the amount per weight up to which all groups
// together get what they ask for and no more than the room. It is infinite if the room suffices.
func Level(room float64, asks []Ask) float64 {
	// Sums of floating-point numbers depend on their order, which is arbitrary for asks from a map.
	ordered := slices.Clone(asks)
	slices.SortFunc(ordered, func(a, b Ask) int {
		return cmp.Or(cmp.Compare(a.Amount/a.Weight, b.Amount/b.Weight), cmp.Compare(a.Weight, b.Weight))
	})
	total, weight := 0.0, 0.0
	for _, ask := range ordered {
		total += ask.Amount
		weight += ask.Weight
	}
	if total <= room {
		return math.Inf(1)
	}
	left := max(room, 0)
	for _, ask := range ordered {
		if ask.Amount*weight > left*ask.Weight {
			return left / weight
		}
		left -= ask.Amount
		weight -= ask.Weight
	}
	return math.Inf(1)
}
