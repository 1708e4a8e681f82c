package blame

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
)

const (
	// maxCrashes bounds the crashes that are remembered, maxLost the requests of one crash and maxParts the
	// parts of one request. maxOwnCrashes bounds the own observations that are published.
	maxCrashes    = 64
	maxLost       = 32
	maxParts      = 8
	maxOwnCrashes = 4
)

type (
	// Run identifies a run of an endpoint, from its start to its end.
	Run uint64

	// Lost is a request whose answer was lost with the crash of its endpoint. Parts is empty if the
	// crash says nothing about them.
	Lost struct {
		SentAt      clock.Millis
		Fingerprint uint64
		Parts       []call.Part
	}

	// Crash is the crash of an endpoint, with the requests that had not got past the beginning of
	// their answers.
	Crash struct {
		Run  Run
		At   clock.Millis
		Lost []Lost
	}
)

// RunOf identifies the run of an endpoint that started at the epoch.
func RunOf(name ident.Endpoint, epoch uint64) Run {
	digest := xxhash.NewWithSeed(epoch)
	_, _ = digest.WriteString(string(name))
	return Run(digest.Sum64())
}

// Observe records a crash that this entry has seen itself.
func (l *Ledger) Observe(crash Crash, now clock.Millis) {
	crash = l.bounded(crash)
	merge(&l.own, crash, maxOwnCrashes)
	l.Receive(crash, now)
}

// Receive records a crash that another entry has seen. It reports whether this entry vouches for parts
// that were lost, which the others need to know.
func (l *Ledger) Receive(crash Crash, now clock.Millis) bool {
	crash = l.bounded(crash)
	if now-crash.At > PartTTL || !merge(&l.crashes, crash, maxCrashes) {
		return false
	}
	l.isDirty = true
	isNeeded := false
	for _, lost := range crash.Lost {
		for _, part := range lost.Parts {
			isNeeded = l.vouch(part, now) || isNeeded
		}
	}
	return isNeeded
}

// bounded returns the crash with at most maxLost requests of at most maxParts parts.
func (l *Ledger) bounded(crash Crash) Crash {
	crash.Lost = slices.Clone(crash.Lost[:min(len(crash.Lost), maxLost)])
	for i := range crash.Lost {
		crash.Lost[i].Parts = l.leastKnown(crash.Lost[i].Parts)
	}
	return crash
}

// leastKnown returns the parts of a prompt that are worth remembering: those without an acquittal
// come first.
func (l *Ledger) leastKnown(parts []call.Part) []call.Part {
	if len(parts) <= maxParts {
		return parts
	}
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(a, b call.Part) int { return cmp.Compare(l.acquittedAt.get(a), l.acquittedAt.get(b)) })
	return sorted[:maxParts]
}

// merge adds a crash to those that are sorted by time, or its requests to the crash of the same run. It
// reports whether that changed anything. Over the maximum, the oldest crash is dropped.
func merge(crashes *[]*Crash, next Crash, maximum int) bool {
	index := slices.IndexFunc(*crashes, func(known *Crash) bool { return known.Run == next.Run })
	if index < 0 {
		next.Lost = slices.Clone(next.Lost)
		*crashes = append(*crashes, &next)
		slices.SortStableFunc(*crashes, func(a, b *Crash) int { return cmp.Compare(a.At, b.At) })
		if len(*crashes) > maximum {
			*crashes = slices.Delete(*crashes, 0, 1)
		}
		return true
	}
	known := (*crashes)[index]
	isChanged := false
	for _, lost := range next.Lost {
		isKnown := slices.ContainsFunc(known.Lost, func(l Lost) bool { return l.Fingerprint == lost.Fingerprint })
		if !isKnown && len(known.Lost) < maxLost {
			known.Lost = append(known.Lost, lost)
			isChanged = true
		}
	}
	if next.At < known.At {
		known.At = next.At
		slices.SortStableFunc(*crashes, func(a, b *Crash) int { return cmp.Compare(a.At, b.At) })
	}
	return isChanged
}

// OwnCrashes returns the crashes that this entry observed since the given time.
func (l *Ledger) OwnCrashes(since clock.Millis) []Crash {
	var crashes []Crash
	for _, crash := range l.own {
		if crash.At >= since {
			crashes = append(crashes, *crash)
		}
	}
	return crashes
}

// isExplainedBy reports whether a prompt with all of the parts was lost.
func (e *Crash) isExplainedBy(parts []call.Part) bool {
	return slices.ContainsFunc(e.Lost, func(lost Lost) bool { return covers(lost.Parts, parts) })
}
