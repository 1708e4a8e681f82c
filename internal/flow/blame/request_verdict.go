package blame

import (
	"cmp"
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
)

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
