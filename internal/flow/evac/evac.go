// Package evac holds the published instructions to evacuate failure domains: from such an
// instruction until it is taken back, no new work may be sent to the endpoints of the failure domain.
package evac

import (
	"iter"
	"maps"
	"slices"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/point"
)

// Set is an immutable set of evacuated failure domains. The zero value is empty.
type Set struct {
	// points holds the point of the published state at which each one was evacuated.
	points map[ident.Domain]point.Point
}

// NewSet returns the set of the failure domains with the points at which they were evacuated.
func NewSet(points map[ident.Domain]point.Point) Set { return Set{maps.Clone(points)} }

// Contains reports whether the failure domain is evacuated.
func (s Set) Contains(domain ident.Domain) bool {
	_, isEvacuated := s.points[domain]
	return isEvacuated
}

// Len returns the number of evacuated failure domains.
func (s Set) Len() int { return len(s.points) }

// All yields the evacuated failure domains with their points, sorted by name.
func (s Set) All() iter.Seq2[ident.Domain, point.Point] {
	return func(yield func(ident.Domain, point.Point) bool) {
		for _, domain := range slices.Sorted(maps.Keys(s.points)) {
			if !yield(domain, s.points[domain]) {
				return
			}
		}
	}
}

// With returns the set with the failure domain evacuated at the point.
func (s Set) With(domain ident.Domain, at point.Point) Set {
	points := map[ident.Domain]point.Point{domain: at}
	for other, otherAt := range s.points {
		if other != domain {
			points[other] = otherAt
		}
	}
	return Set{points}
}

// Without returns the set without the failure domain.
func (s Set) Without(domain ident.Domain) Set {
	points := maps.Clone(s.points)
	delete(points, domain)
	return Set{points}
}

// Replace returns the set that was published at the point. Instructions of s that are newer stay: whole
// reads deliver single records that are newer than the state which they belong to. So do those of other
// eras, which the published state may lack only because it comes from an older copy.
func (s Set) Replace(published Set, at point.Point) Set {
	replaced := published
	for domain, since := range s.points {
		if since.IsAfter(at) || since.Era != at.Era && !published.Contains(domain) {
			replaced = replaced.With(domain, since)
		}
	}
	return replaced
}

// InEra returns the set of the instructions of the era.
func (s Set) InEra(era uint64) Set {
	points := map[ident.Domain]point.Point{}
	for domain, since := range s.points {
		if since.Era == era {
			points[domain] = since
		}
	}
	return Set{points}
}
