// Package point holds points in the history of published state.
package point

import "cmp"

// Point is a point in the history of published state. The source counts its changes by revisions.
// Each time it comes back from an older copy, it begins a new era and gives later revisions out
// again: revisions of two eras can't be compared. The zero value is before all changes.
type Point struct {
	// Era is zero if the source tells of none.
	Era      uint64
	Revision uint64
}

// Compare returns -1 if p is before other, 1 if it is after it, and 0 if they are equal. All
// points of an era are after those of lower eras.
func (p Point) Compare(other Point) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsAfter reports whether p is after other.
func (p Point) IsAfter(other Point) bool { return p.Compare(other) > 0 }

// IsZero reports whether p is before all changes.
func (p Point) IsZero() bool { return p == Point{} }

// Max returns the later one of two points.
func Max(a, b Point) Point {
	if b.IsAfter(a) {
		return b
	}
	return a
}
