package blame

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
)

const (
	// RequestTTL is how long a whole request is quarantined after its last loss. Each entry adds up to
	// requestTTLSpread, so that not all of them admit it again at the same time.
	RequestTTL       = 60 * clock.Second
	requestTTLSpread = 10 * clock.Second

	// requestCrashThreshold is the number of crashes from which a whole request is quarantined, and
	// requestLossThreshold that of answers lost at their beginning, crash or not: an endpoint that has
	// crashed may never be seen to be gone.
	requestCrashThreshold = 2
	requestLossThreshold  = 3

	// maxLosses bounds the losses that are remembered, maxOwnLosses those of this entry that are
	// published, lossNewsTTL is how long one is.
	maxLosses    = 256
	maxOwnLosses = 8
	lossNewsTTL  = 10 * clock.Second
	// maxRequestVerdicts bounds the verdicts on whole requests that are published or received.
	maxRequestVerdicts = 16
)

type (
	// Loss is an answer to a request that was cut at its beginning, by an endpoint of which no crash
	// may be known.
	Loss struct {
		Fingerprint uint64
		Run         Run
		SentAt      clock.Millis
		At          clock.Millis
	}

	// RequestVerdict quarantines a whole request.
	RequestVerdict struct {
		Fingerprint uint64
		// Losses is the number of lost answers that led to it, and LastAt the time of the last one.
		Losses int
		LastAt clock.Millis
	}

	// RequestAcquittal reports that a request had a complete answer.
	RequestAcquittal struct {
		Fingerprint uint64
		At          clock.Millis
	}

	// requestRuling is a verdict on a whole request. isReceived reports whether it rests on the evidence of
	// other entries only.
	requestRuling struct {
		RequestVerdict
		isReceived bool
	}

	// requestCount is what the evidence says of a request. crashes and losses count only those that
	// follow one another, known all of them.
	requestCount struct {
		crashes int
		losses  int
		known   int
		lastAt  clock.Millis
	}

	// sighting is one lost answer to a request.
	sighting struct {
		sentAt, at clock.Millis
		isCrash    bool
		// isExplained reports whether a verdict on parts explains the crash.
		isExplained bool
	}
)

// ObserveLoss records a loss that this entry has seen itself.
func (l *Ledger) ObserveLoss(loss Loss, now clock.Millis) {
	l.ownLosses = append(l.ownLosses, loss)
	l.ownLosses = l.ownLosses[max(len(l.ownLosses)-maxOwnLosses, 0):]
	l.ReceiveLoss(loss, now)
}

// ReceiveLoss records a loss that another entry has seen.
func (l *Ledger) ReceiveLoss(loss Loss, now clock.Millis) {
	isKnown := slices.ContainsFunc(l.losses, func(known Loss) bool {
		return known.Fingerprint == loss.Fingerprint && known.Run == loss.Run
	})
	if isKnown || now-loss.At > PartTTL || loss.At <= l.requestsAcquittedAt[loss.Fingerprint] {
		return
	}
	if len(l.losses) == maxLosses {
		l.losses = slices.Delete(l.losses, 0, 1)
	}
	l.losses = append(l.losses, loss)
	l.isDirty = true
}

// OwnLosses returns the losses that this entry observed since the given time.
func (l *Ledger) OwnLosses(since clock.Millis) []Loss {
	var losses []Loss
	for _, loss := range l.ownLosses {
		if loss.At >= since {
			losses = append(losses, loss)
		}
	}
	return losses
}

// WithdrawLosses removes the losses at a run of an endpoint that has not ended.
func (l *Ledger) WithdrawLosses(run Run) {
	isOfRun := func(loss Loss) bool { return loss.Run == run }
	l.ownLosses = slices.DeleteFunc(l.ownLosses, isOfRun)
	before := len(l.losses)
	l.losses = slices.DeleteFunc(l.losses, isOfRun)
	l.isDirty = l.isDirty || len(l.losses) < before
}

// HasLossAt reports whether an answer was lost at the run of an endpoint since the given time, or its crash is known.
func (l *Ledger) HasLossAt(run Run, since clock.Millis) bool {
	return slices.ContainsFunc(l.crashes, func(crash *Crash) bool { return crash.Run == run && crash.At >= since }) ||
		slices.ContainsFunc(l.losses, func(loss Loss) bool { return loss.Run == run && loss.At >= since })
}

// LossesOf returns the number of lost answers that count against a request.
func (l *Ledger) LossesOf(fingerprint uint64, now clock.Millis) int {
	l.refresh(now)
	return l.requests[fingerprint].losses
}

// sightings returns all lost answers by request. A loss counts as a crash if any entry has seen its endpoint
// crash.
func (l *Ledger) sightings() map[uint64][]sighting {
	sightings := map[uint64][]sighting{}
	type crashSighting struct {
		crash       *Crash
		isExplained bool
	}
	byRun := map[Run]crashSighting{}
	for _, crash := range l.crashes {
		isExplained := slices.ContainsFunc(l.rulings, func(r *ruling) bool { return !r.isSuspended && crash.isExplainedBy(r.Parts) })
		byRun[crash.Run] = crashSighting{crash, isExplained}
		for _, lost := range crash.Lost {
			sightings[lost.Fingerprint] = append(sightings[lost.Fingerprint], sighting{lost.SentAt, crash.At, true, isExplained})
		}
	}
	for _, loss := range l.losses {
		known, hasCrashed := byRun[loss.Run]
		isLost := func(lost Lost) bool { return lost.Fingerprint == loss.Fingerprint }
		if hasCrashed && slices.ContainsFunc(known.crash.Lost, isLost) {
			continue
		}
		sightings[loss.Fingerprint] = append(sightings[loss.Fingerprint], sighting{loss.SentAt, loss.At, hasCrashed, known.isExplained})
	}
	return sightings
}

// count returns what the lost answers to a request say of it. Answers that were lost together, or before a
// complete one, count once or not at all.
func (l *Ledger) count(fingerprint uint64, sightings []sighting) requestCount {
	slices.SortStableFunc(sightings, func(a, b sighting) int { return cmp.Compare(a.at, b.at) })
	count := requestCount{known: len(sightings)}
	var lastCrashAt clock.Millis
	for _, seen := range sightings {
		if seen.isExplained || seen.at <= l.requestsAcquittedAt[fingerprint] {
			continue
		}
		if seen.isCrash && (count.crashes == 0 || seen.sentAt >= lastCrashAt) {
			count.crashes++
			lastCrashAt = seen.at
		}
		if count.losses == 0 || seen.sentAt >= count.lastAt {
			count.losses++
			count.lastAt = seen.at
		}
	}
	return count
}
