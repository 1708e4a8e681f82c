package blame

import (
	"cmp"
	"maps"
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

// QuarantinedUntil returns until when a request is quarantined, which is zero if it is not. Crashes that
// a part explains do not count against it.
func (l *Ledger) QuarantinedUntil(fingerprint uint64, now clock.Millis) clock.Millis {
	l.refresh(now)
	known, isGuilty := l.requestRulings[fingerprint]
	if !isGuilty {
		return 0
	}
	until := known.LastAt + RequestTTL + clock.Millis((l.seed^fingerprint)%uint64(requestTTLSpread))
	if now > until {
		return 0
	}
	return until
}

// LossesOf returns the number of lost answers that count against a request.
func (l *Ledger) LossesOf(fingerprint uint64, now clock.Millis) int {
	l.refresh(now)
	return l.requests[fingerprint].losses
}

// AcquitRequest records that a whole request had a complete answer. It reports whether other entries
// need to know.
func (l *Ledger) AcquitRequest(fingerprint uint64, now clock.Millis) bool {
	l.refresh(now)
	count, isSuspect := l.requests[fingerprint]
	if _, isGuilty := l.requestRulings[fingerprint]; !isSuspect && !isGuilty {
		return false
	}
	isNeeded := isSuspect && l.requestsAcquittedAt[fingerprint] < count.lastAt
	l.acquitRequest(fingerprint, now)
	if isNeeded {
		l.requestAcquittals.put(fingerprint, now, now)
	}
	return isNeeded
}

// ReceiveRequestAcquittal records that a request had a complete answer at another entry.
func (l *Ledger) ReceiveRequestAcquittal(acquittal RequestAcquittal) {
	if acquittal.At > l.requestsAcquittedAt[acquittal.Fingerprint] {
		l.acquitRequest(acquittal.Fingerprint, acquittal.At)
	}
}

func (l *Ledger) acquitRequest(fingerprint uint64, at clock.Millis) {
	l.requestsAcquittedAt[fingerprint] = at
	l.losses = slices.DeleteFunc(l.losses, func(loss Loss) bool { return loss.Fingerprint == fingerprint && loss.At <= at })
	if known := l.requestRulings[fingerprint]; known != nil && known.LastAt < at {
		delete(l.requestRulings, fingerprint)
	}
	l.isDirty = true
}

// RequestAcquittals returns the acquittals of requests that others need since the given time, in the order of
// their fingerprints.
func (l *Ledger) RequestAcquittals(since clock.Millis) []RequestAcquittal {
	var acquittals []RequestAcquittal
	for _, fingerprint := range l.requestAcquittals.since(since) {
		acquittals = append(acquittals, RequestAcquittal{fingerprint, l.requestAcquittals[fingerprint].at})
	}
	return acquittals
}

// ReceiveRequestVerdict records the verdict of another entry on a whole request, which may rest on evidence
// that this one lacks. It reports whether the request was not quarantined before.
func (l *Ledger) ReceiveRequestVerdict(verdict RequestVerdict, now clock.Millis) bool {
	l.refresh(now)
	isOutdated := verdict.LastAt <= l.requestsAcquittedAt[verdict.Fingerprint] || now-verdict.LastAt > RequestTTL ||
		l.requests[verdict.Fingerprint].known >= verdict.Losses
	known := l.requestRulings[verdict.Fingerprint]
	switch {
	case isOutdated:
		return false
	case known != nil:
		known.LastAt = max(known.LastAt, verdict.LastAt)
		return false
	case len(l.requestRulings) >= maxRequestVerdicts:
		return false
	}
	l.requestRulings[verdict.Fingerprint] = &requestRuling{verdict, true}
	l.isDirty = true
	return true
}

// RequestVerdicts returns the latest verdicts on whole requests, in the order of their fingerprints. Entries that
// have just started have no other evidence.
func (l *Ledger) RequestVerdicts(now clock.Millis) []RequestVerdict {
	l.refresh(now)
	var verdicts []RequestVerdict
	for _, known := range l.requestRulings {
		if now-known.LastAt <= RequestTTL {
			verdicts = append(verdicts, known.RequestVerdict)
		}
	}
	slices.SortFunc(verdicts, func(a, b RequestVerdict) int {
		return cmp.Or(cmp.Compare(b.LastAt, a.LastAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	verdicts = verdicts[:min(len(verdicts), maxRequestVerdicts)]
	slices.SortFunc(verdicts, func(a, b RequestVerdict) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return verdicts
}

// judgeRequests recounts the evidence against whole requests and returns the verdicts that are new.
func (l *Ledger) judgeRequests(now clock.Millis) []RequestVerdict {
	clear(l.requests)
	var found []RequestVerdict
	sightings := l.sightings()
	for _, fingerprint := range slices.Sorted(maps.Keys(sightings)) {
		count := l.count(fingerprint, sightings[fingerprint])
		if count.losses > 0 {
			l.requests[fingerprint] = count
		}
		known := l.requestRulings[fingerprint]
		isGuilty := count.crashes >= requestCrashThreshold || count.losses >= requestLossThreshold
		switch verdict := (RequestVerdict{fingerprint, count.losses, count.lastAt}); {
		case isGuilty && known != nil:
			verdict.LastAt = max(verdict.LastAt, known.LastAt)
			known.RequestVerdict = verdict
			known.isReceived = false
		case isGuilty && now-count.lastAt <= RequestTTL:
			l.requestRulings[fingerprint] = &requestRuling{verdict, false}
			found = append(found, verdict)
		case known != nil && (!known.isReceived || count.known >= known.Losses):
			// A part explains the losses now. Entries that were told the verdict may not know that.
			delete(l.requestRulings, fingerprint)
			l.requestAcquittals.put(fingerprint, known.LastAt, now)
		}
	}
	maps.DeleteFunc(l.requestsAcquittedAt, func(fingerprint uint64, at clock.Millis) bool {
		return len(sightings[fingerprint]) == 0 && now-at > acquittalTTL
	})
	maps.DeleteFunc(l.requestRulings, func(fingerprint uint64, known *requestRuling) bool {
		hasNoEvidence := !known.isReceived && len(sightings[fingerprint]) == 0
		return hasNoEvidence || now-known.LastAt > RequestTTL+requestTTLSpread
	})
	return found
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
