package blame

import (
	"slices"

	"mustardhook/internal/core/clock"
)

// AcquitRequest records that a whole request has a complete answer. It reports whether other entries need to know.
func (l *Ledger) AcquitRequest(fingerprint uint64, now clock.Millis) bool {
	return l.AcquitRequestAt(fingerprint, now, now)
}

// AcquitRequestAt records that a whole request had a complete answer at the given time. It reports whether other
// entries need to know.
func (l *Ledger) AcquitRequestAt(fingerprint uint64, at, now clock.Millis) bool {
	l.refresh(now)
	count, isSuspect := l.requests[fingerprint]
	if _, isGuilty := l.requestRulings[fingerprint]; !isSuspect && !isGuilty {
		return false
	}
	if at <= l.requestsAcquittedAt[fingerprint] {
		return false
	}
	isNeeded := isSuspect && l.requestsAcquittedAt[fingerprint] < count.lastAt
	l.acquitRequest(fingerprint, at)
	if isNeeded {
		l.requestAcquittals.put(fingerprint, at, now)
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
