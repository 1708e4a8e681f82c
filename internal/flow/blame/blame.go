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
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
)

// PartTTL is how long a part is quarantined after the last crash.
const PartTTL = 600 * clock.Second

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
		acquittals  published[call.Part]
		// One of vouchDivisor entries vouches for a part; the seed decides which ones do.
		seed         uint64
		vouchDivisor uint64
		// losses holds the losses that count against whole requests, in the order of their arrival.
		// ownLosses are the latest that this entry observed.
		losses    []Loss
		ownLosses []Loss
		// requestsAcquittedAt holds when the requests of which there is evidence had complete
		// answers, requestAcquittals those that others need.
		requestsAcquittedAt map[uint64]clock.Millis
		requestAcquittals   published[uint64]
		// rulings are the known verdicts, sorted by their parts.
		rulings        []*ruling
		requestRulings map[uint64]*requestRuling
		// isDirty reports whether the evidence has changed since it was judged, hasUnsettled
		// whether that of a recent crash may still arrive. found holds the verdicts since the last
		// Advance.
		isDirty      bool
		hasUnsettled bool
		found        Findings
		// counts holds the crashes that count against each part, lastCrashAt the last crash at which a
		// prompt with it was lost, requests what counts against whole requests.
		counts      map[call.Part]int
		lastCrashAt map[call.Part]clock.Millis
		requests    map[uint64]requestCount
	}

	// Findings are new verdicts.
	Findings struct {
		Parts    []Verdict
		Requests []RequestVerdict
	}
)

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		acquittals: published[call.Part]{}, requestAcquittals: published[uint64]{},
		requestsAcquittedAt: map[uint64]clock.Millis{}, requestRulings: map[uint64]*requestRuling{},
		counts: map[call.Part]int{}, lastCrashAt: map[call.Part]clock.Millis{}, requests: map[uint64]requestCount{},
	}
}

// Count records that a caller has sent a prompt with the parts.
func (l *Ledger) Count(parts []call.Part) { l.usage.count(parts) }

// IsSuspect reports whether one more loss would quarantine a request with the parts, or one of the parts.
func (l *Ledger) IsSuspect(fingerprint uint64, parts []call.Part, now clock.Millis) bool {
	l.refresh(now)
	return l.requests[fingerprint].losses >= requestLossThreshold-1 ||
		slices.ContainsFunc(parts, func(part call.Part) bool { return l.counts[part] >= l.threshold(part)-1 })
}

// IsEmpty reports whether there is neither evidence nor a verdict.
func (l *Ledger) IsEmpty() bool {
	return len(l.crashes) == 0 && len(l.losses) == 0 && len(l.rulings) == 0 && len(l.requestRulings) == 0
}

// Advance forgets what is too old to matter. It returns the verdicts found since the last call.
func (l *Ledger) Advance(now clock.Millis) Findings {
	l.acquittals.expire(now)
	l.requestAcquittals.expire(now)
	l.ownLosses = slices.DeleteFunc(l.ownLosses, func(loss Loss) bool { return now-loss.At > lossNewsTTL })
	l.rulings = slices.DeleteFunc(l.rulings, func(r *ruling) bool { return now-r.LastCrashAt > PartTTL })
	isOld := func(crash *Crash) bool { return now-crash.At > PartTTL }
	l.own = slices.DeleteFunc(l.own, func(crash *Crash) bool { return now-crash.At > RequestTTL })
	hasOld := len(l.crashes) > 0 && isOld(l.crashes[0])
	l.crashes = slices.DeleteFunc(l.crashes, isOld)
	l.losses = slices.DeleteFunc(l.losses, func(loss Loss) bool { return now-loss.At > PartTTL })
	l.isDirty = l.isDirty || hasOld || l.hasUnsettled
	l.refresh(now)
	found := l.found
	l.found = Findings{}
	return found
}

// refresh judges the evidence if that has changed. Evidence may arrive much faster than it is needed.
func (l *Ledger) refresh(now clock.Millis) {
	if l.isDirty {
		l.isDirty = false
		l.found.Parts = append(l.found.Parts, l.judge(now)...)
		l.found.Requests = append(l.found.Requests, l.judgeRequests(now)...)
	}
}
