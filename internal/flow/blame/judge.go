package blame

import (
	"cmp"
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
)

const (
	// partThreshold is the number of crashes from which a part that was never acquitted is
	// quarantined, unknownThreshold that while too few prompts were seen to tell whether most have
	// it, acquittedThreshold that for a part that was acquitted, and commonThreshold that for a part
	// that most prompts have: a verdict on it stops nearly all of a service.
	partThreshold      = 3
	unknownThreshold   = 4
	acquittedThreshold = 5
	commonThreshold    = 12
	// settleTime is how long the evidence of a crash takes to arrive from all entries.
	settleTime = 150 * clock.Millis(1)
	// extraCrashes is how many crashes over the threshold replace one that follows the others.
	extraCrashes = 2
)

// tally is what the unexplained crashes say of one part.
type tally struct {
	part call.Part
	// crashes counts the crashes that follow one another, total all of them.
	crashes int
	total   int
	firstAt clock.Millis
	lastAt  clock.Millis
	// hasOthers reports whether different requests were lost.
	hasOthers   bool
	fingerprint uint64
	// common holds the parts that all of the lost prompts share.
	common []call.Part
}

// judge recomputes the counts and returns the verdicts that are new. Parts that are under a verdict
// come first, since more evidence may tell them apart; the others answer only for the crashes that no
// verdict explains.
func (l *Ledger) judge(now clock.Millis) []Verdict {
	settled := slices.DeleteFunc(slices.Clone(l.crashes), func(crash *Crash) bool { return now-crash.At < settleTime })
	l.hasUnsettled = len(settled) < len(l.crashes)
	added := l.convict(settled, now, l.isUnderVerdict)
	others := l.convict(l.unexplained(settled), now, func(call.Part) bool { return true })
	l.suspendRedundant()
	l.recount(l.unexplained(l.crashes))
	var verdicts []Verdict
	for _, found := range append(added, others...) {
		if !found.isSuspended {
			verdicts = append(verdicts, found.Verdict)
		}
	}
	return verdicts
}

// unexplained returns the crashes that no verdict explains.
func (l *Ledger) unexplained(crashes []*Crash) []*Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(crash *Crash) bool {
		return slices.ContainsFunc(l.rulings, func(r *ruling) bool { return crash.isExplainedBy(r.Parts) })
	})
}

// suspendRedundant suspends the verdicts that would not be found without the crashes which verdicts with
// more crashes explain: some of the evidence had not arrived when they were. A verdict without any evidence
// here was found by another entry, and holds.
func (l *Ledger) suspendRedundant() {
	explainedBy := map[*ruling][]*Crash{}
	for _, known := range l.rulings {
		explainedBy[known] = slices.DeleteFunc(slices.Clone(l.crashes), func(crash *Crash) bool { return !crash.isExplainedBy(known.Parts) })
	}
	byCrashes := slices.Clone(l.rulings)
	slices.SortStableFunc(byCrashes, func(a, b *ruling) int {
		return cmp.Or(cmp.Compare(len(explainedBy[b]), len(explainedBy[a])), cmp.Compare(b.Crashes, a.Crashes))
	})
	isExplained := map[*Crash]bool{}
	for _, known := range byCrashes {
		explained := explainedBy[known]
		own := slices.DeleteFunc(slices.Clone(explained), func(crash *Crash) bool { return isExplained[crash] })
		known.isSuspended = len(explained) > 0 && len(own) < min(len(explained), l.neededCrashes(known.Verdict))
		if known.isSuspended {
			continue
		}
		for _, crash := range explained {
			isExplained[crash] = true
		}
	}
}

// convict finds the parts to blame for the crashes, the worst one first. It returns the verdicts that are
// new.
func (l *Ledger) convict(crashes []*Crash, now clock.Millis, isCandidate func(call.Part) bool) (added []*ruling) {
	left := slices.Clone(crashes)
	for {
		guilty := slices.DeleteFunc(l.tallies(left), func(t tally) bool { return !isCandidate(t.part) || !l.isGuilty(t, left) })
		if len(guilty) == 0 {
			return added
		}
		worst := slices.MaxFunc(guilty, l.compareGuilt)
		verdict := Verdict{Parts: l.indistinguishable(worst), Crashes: worst.total, LastCrashAt: worst.lastAt}
		if found := l.addVerdict(verdict, now); found != nil {
			added = append(added, found)
		}
		left = slices.DeleteFunc(left, func(crash *Crash) bool { return crash.isExplainedBy([]call.Part{worst.part}) })
	}
}

// isGuilty reports whether enough of the crashes count against a part. Where only a few endpoints are left,
// they crash together: then one fewer will do, if there are more in all. Where as many endpoints crash
// without the part meanwhile, a prompt with it may be lost by chance, and more are needed.
func (l *Ledger) isGuilty(t tally, crashes []*Crash) bool {
	threshold := l.threshold(t.part)
	if !t.hasOthers || !t.reaches(threshold) {
		return false
	}
	others := 0
	for _, crash := range crashes {
		if crash.At >= t.firstAt && crash.At <= t.lastAt && !crash.isExplainedBy([]call.Part{t.part}) {
			others++
		}
	}
	return others < t.total || t.reaches(max(threshold, acquittedThreshold))
}

// reaches reports whether enough crashes count against the part for the threshold.
func (t tally) reaches(threshold int) bool {
	return t.crashes >= threshold || t.crashes == threshold-1 && t.total >= threshold+extraCrashes
}

func (l *Ledger) isUnderVerdict(part call.Part) bool {
	return slices.ContainsFunc(l.rulings, func(r *ruling) bool { return slices.Contains(r.Parts, part) })
}

// recount sets the counts of parts that decide on single prompts.
func (l *Ledger) recount(unexplained []*Crash) {
	clear(l.counts)
	for _, t := range l.tallies(unexplained) {
		l.counts[t.part] = t.crashes
	}
	clear(l.lastCrashAt)
	for _, crash := range l.crashes {
		for _, lost := range crash.Lost {
			for _, part := range lost.Parts {
				l.lastCrashAt[part] = crash.At
			}
		}
	}
}

// tallies returns what the crashes say of each part, in the order of the parts.
func (l *Ledger) tallies(crashes []*Crash) []tally {
	byPart := map[call.Part]*tally{}
	for _, crash := range crashes {
		isCounted := map[call.Part]bool{}
		for _, lost := range crash.Lost {
			for _, part := range lost.Parts {
				if crash.At <= l.acquittedAt.get(part) {
					continue
				}
				t := byPart[part]
				if t == nil {
					t = &tally{part: part, fingerprint: lost.Fingerprint, common: lost.Parts}
					byPart[part] = t
				}
				t.add(crash, lost, isCounted)
			}
		}
	}
	tallies := make([]tally, 0, len(byPart))
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		tallies = append(tallies, *byPart[part])
	}
	return tallies
}

// add adds a lost request of a crash. isCounted holds the parts against which the crash counts already.
func (t *tally) add(crash *Crash, lost Lost, isCounted map[call.Part]bool) {
	t.hasOthers = t.hasOthers || lost.Fingerprint != t.fingerprint
	t.common = slices.DeleteFunc(slices.Clone(t.common), func(part call.Part) bool { return !slices.Contains(lost.Parts, part) })
	if _, isSeen := isCounted[t.part]; !isSeen {
		t.total++
		isCounted[t.part] = false
	}
	if t.crashes == 0 {
		t.firstAt = crash.At
	}
	if !isCounted[t.part] && (t.crashes == 0 || lost.SentAt >= t.lastAt) {
		isCounted[t.part] = true
		t.crashes++
		t.lastAt = crash.At
	}
}

// compareGuilt orders parts by the crashes at which prompts with them were lost. Of equal ones, the part
// against which more of them count comes last, and then the one that was never acquitted.
func (l *Ledger) compareGuilt(a, b tally) int {
	return cmp.Or(
		cmp.Compare(a.total, b.total), cmp.Compare(a.crashes, b.crashes),
		cmp.Compare(l.threshold(b.part), l.threshold(a.part)), cmp.Compare(b.part, a.part),
	)
}

// indistinguishable returns the part of the tally and those that all of its prompts share and that
// were never acquitted.
func (l *Ledger) indistinguishable(t tally) []call.Part {
	parts := []call.Part{t.part}
	for _, part := range t.common {
		if part != t.part && l.acquittedAt.get(part) == 0 {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// neededCrashes returns the number of crashes from which the parts of the verdict are quarantined.
func (l *Ledger) neededCrashes(verdict Verdict) int {
	needed := commonThreshold
	for _, part := range verdict.Parts {
		needed = min(needed, l.threshold(part))
	}
	return needed
}

func (l *Ledger) threshold(part call.Part) int {
	switch {
	case l.usage.isCommon(part):
		return commonThreshold
	case l.acquittedAt.get(part) > 0:
		return acquittedThreshold
	case l.usage.prompts < minPrompts:
		return unknownThreshold
	}
	return partThreshold
}
