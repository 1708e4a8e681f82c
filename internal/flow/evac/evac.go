// Package evac holds the published instructions to evacuate failure domains: from such an
// instruction until it is taken back, no new work may be sent to the endpoints of the failure domain.
package evac

import (
	"iter"
	"maps"
	"slices"

	"mustardhook/internal/core/ident"
)

// Set is an immutable set of evacuated failure domains. The zero value is empty.
type Set struct {
	// revisions holds the revision of the published state at which each one was evacuated.
	revisions map[ident.Domain]uint64
}

// NewSet returns the set of the failure domains with the revisions at which they were evacuated.
func NewSet(revisions map[ident.Domain]uint64) Set { return Set{maps.Clone(revisions)} }

// Contains reports whether the failure domain is evacuated.
func (s Set) Contains(domain ident.Domain) bool {
	_, isEvacuated := s.revisions[domain]
	return isEvacuated
}

// Len returns the number of evacuated failure domains.
func (s Set) Len() int { return len(s.revisions) }

// All yields the evacuated failure domains with their revisions, sorted by name.
func (s Set) All() iter.Seq2[ident.Domain, uint64] {
	return func(yield func(ident.Domain, uint64) bool) {
		for _, domain := range slices.Sorted(maps.Keys(s.revisions)) {
			if !yield(domain, s.revisions[domain]) {
				return
			}
		}
	}
}

// With returns the set with the failure domain evacuated at the revision.
func (s Set) With(domain ident.Domain, revision uint64) Set {
	revisions := map[ident.Domain]uint64{domain: revision}
	for other, at := range s.revisions {
		if other != domain {
			revisions[other] = at
		}
	}
	return Set{revisions}
}

// Without returns the set without the failure domain.
func (s Set) Without(domain ident.Domain) Set {
	revisions := maps.Clone(s.revisions)
	delete(revisions, domain)
	return Set{revisions}
}

// Replace returns the set that was published at the revision, with the instructions of s that are
// newer: whole reads deliver single records that are newer than the state which they belong to.
func (s Set) Replace(published Set, revision uint64) Set {
	replaced := published
	for domain, at := range s.revisions {
		if at > revision {
			replaced = replaced.With(domain, at)
		}
	}
	return replaced
}
