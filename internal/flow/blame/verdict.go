package blame

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
)

// maxVerdicts bounds the verdicts that are remembered.
const maxVerdicts = 16

type (
	// Verdict quarantines prompts that have all of the parts.
	Verdict struct {
		Parts []call.Part
		// Crashes is the number of crashes that led to it, and LastCrashAt the time of the last one.
		Crashes     int
		LastCrashAt clock.Millis
	}

	// ruling is a verdict that this entry knows since learnedAt. It is suspended while verdicts with
	// more crashes explain its own.
	ruling struct {
		Verdict
		learnedAt   clock.Millis
		isSuspended bool
	}
)

// ReceiveVerdict records a verdict of another entry. It reports whether prompts are refused by it that
// were not before.
func (l *Ledger) ReceiveVerdict(verdict Verdict, now clock.Millis) bool {
	if len(verdict.Parts) > maxParts {
		return false
	}
	for _, part := range verdict.Parts {
		if l.acquittedAt.get(part) > verdict.LastCrashAt {
			verdict = verdict.without(part)
		}
	}
	if len(verdict.Parts) == 0 || now-verdict.LastCrashAt > PartTTL {
		return false
	}
	added := l.addVerdict(verdict, now)
	if added == nil {
		return false
	}
	l.suspendRedundant()
	l.isDirty = true
	return !added.isSuspended
}

// addVerdict adds a verdict unless one that covers the same prompts is known. It returns the new
// ruling, or nil.
func (l *Ledger) addVerdict(verdict Verdict, now clock.Millis) *ruling {
	for _, known := range l.rulings {
		if covers(verdict.Parts, known.Parts) {
			isSame := len(known.Parts) == len(verdict.Parts)
			if isSame && verdict.Crashes > known.Crashes {
				known.Crashes = verdict.Crashes
				known.LastCrashAt = max(known.LastCrashAt, verdict.LastCrashAt)
			}
			return nil
		}
	}
	if len(l.rulings) == maxVerdicts {
		oldest := slices.MinFunc(l.rulings, func(a, b *ruling) int { return cmp.Compare(a.LastCrashAt, b.LastCrashAt) })
		l.rulings = slices.DeleteFunc(l.rulings, func(r *ruling) bool { return r == oldest })
	}
	added := &ruling{Verdict: verdict, learnedAt: now}
	l.rulings = append(l.rulings, added)
	slices.SortFunc(l.rulings, func(a, b *ruling) int { return slices.Compare(a.Parts, b.Parts) })
	return added
}

// lift removes a part that is sound from the verdicts that are older.
func (l *Ledger) lift(part call.Part, at clock.Millis) {
	var narrowed []Verdict
	l.rulings = slices.DeleteFunc(l.rulings, func(r *ruling) bool {
		isLifted := r.LastCrashAt < at && slices.Contains(r.Parts, part)
		if isLifted && len(r.Parts) > 1 {
			narrowed = append(narrowed, r.without(part))
		}
		return isLifted
	})
	for _, verdict := range narrowed {
		l.addVerdict(verdict, at)
	}
}

// Quarantine returns the verdict on a prompt with the parts, if there is one.
func (l *Ledger) Quarantine(parts []call.Part, now clock.Millis) (Verdict, bool) {
	l.refresh(now)
	for _, known := range l.rulings {
		if !known.isSuspended && covers(parts, known.Parts) && now-known.LastCrashAt <= PartTTL {
			return known.Verdict, true
		}
	}
	return Verdict{}, false
}

// Verdicts returns the verdicts that became known since the given time.
func (l *Ledger) Verdicts(since clock.Millis) []Verdict {
	var verdicts []Verdict
	for _, known := range l.rulings {
		if known.learnedAt >= since && !known.isSuspended {
			verdicts = append(verdicts, known.Verdict)
		}
	}
	return verdicts
}

// covers reports whether all of the wanted parts are among the parts.
func covers(parts, wanted []call.Part) bool {
	return !slices.ContainsFunc(wanted, func(part call.Part) bool { return !slices.Contains(parts, part) })
}

func (v Verdict) without(part call.Part) Verdict {
	v.Parts = slices.DeleteFunc(slices.Clone(v.Parts), func(p call.Part) bool { return p == part })
	return v
}
