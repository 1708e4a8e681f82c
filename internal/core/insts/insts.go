// Package insts keeps the platform's list of instances across the platform's return from
// an older copy. Until the platform has had time to bring its list up to date, what the list
// said before holds against it.
package insts

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
)

const (
	// Hold is how long knowledge from before holds against a list that was read anew, unless
	// the record of the instance is written before. It leaves the platform the time to write
	// anew what its copy lacks.
	Hold = 5 * clock.Minute
	// RemovalMemory is how long the removal of an instance is remembered. A copy that is older
	// than that brings the instance back.
	RemovalMemory = 1 * clock.Hour
)

type (
	// List is the list of instances. The zero value is a list that was never read.
	List struct {
		// rows is the list as it was last read.
		rows map[key]event.Instance
		// holds are the instances for which rows has no effect.
		holds map[key]hold
		// removedAt holds the instances that were in the list and no longer are.
		removedAt map[key]clock.Millis
	}

	// key identifies an instance. An entry and an endpoint may have one name.
	key struct {
		isEntry bool
		name    string
	}

	hold struct {
		until clock.Millis
		// after is the revision of the list that was read anew. A record with a later one was
		// written since.
		after uint64
		// isListed reports whether the instance, as below, or nothing holds.
		isListed bool
		instance event.Instance
	}
)

// Read updates the list.
func (l *List) Read(read event.InstancesRead, now clock.Millis) {
	rows := make(map[key]event.Instance, len(read.Instances))
	for _, row := range read.Instances {
		rows[keyOf(row)] = row
	}
	if read.Anew {
		l.holdAgainst(rows, read.Revision, now)
	} else {
		l.follow(rows, now)
	}
	l.rows = rows
}

// Expire ends the holds that are over and reports whether there was one.
func (l *List) Expire(now clock.Millis) bool {
	hasEnded := false
	for k, held := range l.holds {
		if now >= held.until {
			delete(l.holds, k)
			hasEnded = true
			if !held.isListed {
				delete(l.removedAt, k)
			}
		}
	}
	for k, at := range l.removedAt {
		if now-at >= RemovalMemory {
			delete(l.removedAt, k)
		}
	}
	return hasEnded
}

// Instances returns the instances that count as listed, sorted by name, endpoints before entries.
func (l *List) Instances() []event.Instance {
	instances := make([]event.Instance, 0, len(l.rows)+len(l.holds))
	for k, row := range l.rows {
		if _, isHeld := l.holds[k]; !isHeld {
			instances = append(instances, row)
		}
	}
	for _, held := range l.holds {
		if held.isListed {
			instances = append(instances, held.instance)
		}
	}
	slices.SortFunc(instances, func(a, b event.Instance) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), compareBool(a.IsEntry, b.IsEntry))
	})
	return instances
}

// holdAgainst begins holds against rows that were read anew: what was listed stays so, what
// was leaving too, and what was removed is not listed. A row that newly says that its
// instance leaves has effect at once.
func (l *List) holdAgainst(rows map[key]event.Instance, revision uint64, now clock.Millis) {
	before := l.holds
	listed := l.Instances()
	l.holds = map[key]hold{}
	begin := func(k key, isListed bool, instance event.Instance) {
		until := now + Hold
		if held, ok := before[k]; ok {
			until = held.until
		}
		l.holds[k] = hold{until, revision, isListed, instance}
	}
	for _, instance := range listed {
		row, ok := rows[keyOf(instance)]
		if !ok || (instance.Leaving && !row.Leaving) {
			begin(keyOf(instance), true, instance)
		}
	}
	for k := range l.removedAt {
		_, isHeld := l.holds[k]
		if row, ok := rows[k]; ok && !row.Leaving && !isHeld {
			begin(k, false, event.Instance{})
		}
	}
}

// follow notes what the rows change and ends the holds of records that were written.
func (l *List) follow(rows map[key]event.Instance, now clock.Millis) {
	if l.removedAt == nil {
		l.removedAt = map[key]clock.Millis{}
	}
	for k := range l.rows {
		if _, ok := rows[k]; !ok {
			l.removedAt[k] = now
			delete(l.holds, k)
		}
	}
	for k, row := range rows {
		held, isHeld := l.holds[k]
		if isHeld && row.Revision <= held.after {
			continue
		}
		delete(l.holds, k)
		delete(l.removedAt, k)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func keyOf(instance event.Instance) key { return key{instance.IsEntry, instance.Name} }
