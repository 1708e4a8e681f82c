// Package blame attributes the crashes of endpoints to what ran there: to parts that prompts share, or to
// a request as a whole. It needs no sockets and no clock; all entries feed it with their own
// observations and with those of the others.
//
// A prompt is evidence against its parts if its answer was lost, at its beginning, with the crash of its
// endpoint. An answer that goes on past its beginning acquits the parts of its prompt. Since an endpoint
// runs a dozen prompts at once, and most of their parts are sound, a count of crashes is not enough:
//
//   - A crash counts against a part only if a prompt with it was sent after the crash that counted before.
//     Endpoints that crash together count once.
//   - Only crashes after the last acquittal of a part count. A part that was ever acquitted needs more of them.
//   - A crash is explained by the part with the most crashes, and counts against no other one.
//   - Parts that no evidence tells apart are quarantined together: a prompt must have all of them.
package blame

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
)

const (
	// requestThreshold is the number of crashes from which a whole request is quarantined.
	requestThreshold = 2
	// PartTTL is how long a part is quarantined after the last crash.
	PartTTL = 600 * clock.Second
	// RequestTTL is how long a whole request is quarantined after the last crash.
	RequestTTL = 60 * clock.Second
)

type (
	// Ledger holds the evidence and the verdicts that follow from it.
	Ledger struct {
		// crashes holds the known crashes, sorted by time. own are those of them that this entry
		// observed, with its own requests only.
		crashes []*Crash
		own     []*Crash
		// acquittedAt holds the last acquittals of parts, acquittals those that others need.
		acquittedAt recent
		usage       usage
		acquittals  map[call.Part]publishedAcquittal
		// One of vouchDivisor entries vouches for a part; the seed decides which ones do.
		seed         uint64
		vouchDivisor uint64
		// requestsAcquittedAt holds when the requests of which there is evidence had complete
		// answers.
		requestsAcquittedAt map[uint64]clock.Millis
		// rulings are the known verdicts, sorted by their parts.
		rulings []*ruling
		// isDirty reports whether the evidence has changed since it was judged, hasUnsettled
		// whether that of a recent crash may still arrive. found holds the verdicts since the last
		// Advance.
		isDirty      bool
		hasUnsettled bool
		found        []Verdict
		// counts holds the crashes that count against each part, lastCrashAt the last crash at which a
		// prompt with it was lost, requests the unexplained crashes that count against a request.
		counts      map[call.Part]int
		lastCrashAt map[call.Part]clock.Millis
		requests    map[uint64]requestCount
	}

	requestCount struct {
		crashes int
		lastAt  clock.Millis
	}
)

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		acquittals: map[call.Part]publishedAcquittal{}, requestsAcquittedAt: map[uint64]clock.Millis{},
		counts: map[call.Part]int{}, lastCrashAt: map[call.Part]clock.Millis{}, requests: map[uint64]requestCount{},
	}
}

// Count records that a caller has sent a prompt with the parts.
func (l *Ledger) Count(parts []call.Part) { l.usage.count(parts) }

// QuarantinedUntil returns until when a request is quarantined, which is zero if it is not. Crashes that
// a part explains do not count against it.
func (l *Ledger) QuarantinedUntil(fingerprint uint64, now clock.Millis) clock.Millis {
	l.refresh(now)
	count := l.requests[fingerprint]
	if count.crashes < requestThreshold || now-count.lastAt > RequestTTL {
		return 0
	}
	return count.lastAt + RequestTTL
}

// CrashesOf returns the number of crashes that count against a request.
func (l *Ledger) CrashesOf(fingerprint uint64, now clock.Millis) int {
	l.refresh(now)
	return l.requests[fingerprint].crashes
}

// IsSuspect reports whether one more crash would quarantine one of the parts.
func (l *Ledger) IsSuspect(parts []call.Part, now clock.Millis) bool {
	l.refresh(now)
	return slices.ContainsFunc(parts, func(part call.Part) bool { return l.counts[part] >= l.threshold(part)-1 })
}

// IsEmpty reports whether there is neither evidence nor a verdict.
func (l *Ledger) IsEmpty() bool { return len(l.crashes) == 0 && len(l.rulings) == 0 }

// Advance forgets what is too old to matter. It returns the verdicts found since the last call.
func (l *Ledger) Advance(now clock.Millis) []Verdict {
	maps.DeleteFunc(l.acquittals, func(_ call.Part, a publishedAcquittal) bool { return now-a.since > acquittalTTL })
	l.rulings = slices.DeleteFunc(l.rulings, func(r *ruling) bool { return now-r.LastCrashAt > PartTTL })
	isOld := func(crash *Crash) bool { return now-crash.At > PartTTL }
	l.own = slices.DeleteFunc(l.own, func(crash *Crash) bool { return now-crash.At > RequestTTL })
	hasOld := len(l.crashes) > 0 && isOld(l.crashes[0])
	l.crashes = slices.DeleteFunc(l.crashes, isOld)
	l.isDirty = l.isDirty || hasOld || l.hasUnsettled
	l.refresh(now)
	found := l.found
	l.found = nil
	return found
}

// refresh judges the evidence if that has changed. Evidence may arrive much faster than it is needed.
func (l *Ledger) refresh(now clock.Millis) {
	if l.isDirty {
		l.isDirty = false
		l.found = append(l.found, l.judge(now)...)
	}
}
