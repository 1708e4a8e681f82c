package blame

import (
	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
)

// vouchers is the mean number of entries that tell the others of an earlier acquittal, if all of them
// know of it.
const vouchers = 8

// Acquittal reports that an answer to a prompt with the part went on past its beginning.
type Acquittal struct {
	Part call.Part
	At   clock.Millis
}

// Join sets the name of this entry and the number of entries, which share the work of vouching.
func (l *Ledger) Join(self ident.Entry, entries int) {
	l.seed = xxhash.Sum64String(string(self))
	l.vouchDivisor = uint64(max(entries/vouchers, 1))
}

// Acquit records that an answer to a request with the parts goes on past its beginning. It reports whether other
// entries need to know.
func (l *Ledger) Acquit(parts []call.Part, now clock.Millis) bool { return l.AcquitAt(parts, now, now) }

// AcquitAt records that an answer to a request with the parts went on past its beginning at the given time. It
// reports whether other entries need to know.
func (l *Ledger) AcquitAt(parts []call.Part, at, now clock.Millis) bool {
	l.refresh(now)
	isNeeded := false
	for _, part := range parts {
		previous := l.acquittedAt.get(part)
		if at <= previous {
			continue
		}
		l.acquittedAt.put(part, at)
		// Others need the first acquittal after a crash.
		if lastCrashAt, isLost := l.lastCrashAt[part]; isLost && previous < lastCrashAt {
			l.acquittals.put(part, at, now)
			l.lift(part, at)
			l.isDirty = true
			isNeeded = true
		}
	}
	return isNeeded
}

// ReceiveAcquittal records the acquittal of a part by another entry.
func (l *Ledger) ReceiveAcquittal(acquittal Acquittal) {
	if acquittal.At <= l.acquittedAt.get(acquittal.Part) {
		return
	}
	l.acquittedAt.put(acquittal.Part, acquittal.At)
	l.lift(acquittal.Part, acquittal.At)
	l.isDirty = true
}

// vouch tells the others that a part which was lost with an endpoint was acquitted before. They may
// have seen no prompt with it. In a large fleet, only some of the entries vouch for each part. It
// reports whether this one does.
func (l *Ledger) vouch(part call.Part, now clock.Millis) bool {
	at := l.acquittedAt.get(part)
	_, isPublished := l.acquittals[part]
	share := xxhash.Sum64String(part.String()) ^ l.seed
	if at == 0 || isPublished || share%max(l.vouchDivisor, 1) != 0 {
		return false
	}
	l.acquittals.put(part, at, now)
	return true
}

// Acquittals returns the acquittals that others need since the given time, in the order of their
// parts.
func (l *Ledger) Acquittals(since clock.Millis) []Acquittal {
	var acquittals []Acquittal
	for _, part := range l.acquittals.since(since) {
		acquittals = append(acquittals, Acquittal{part, l.acquittals[part].at})
	}
	return acquittals
}
