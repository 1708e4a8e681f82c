package tally

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

// NextContribution returns what to tell the hub of the own work. It reports false when nothing
// changed and the whole is not asked for. The first word to a hub is whole.
func (t *Tally) NextContribution(hub ident.Entry, work Sums, isWhole bool) (Share, bool) {
	o := &t.link
	if mark := MarkOf(hub); mark != o.hub {
		t.switchHub(mark)
	}
	if o.needsSnapshot {
		isWhole = true
		o.needsSnapshot = false
	}
	sums := o.published.diff(work)
	isIdle := len(work) == 0 && len(o.acknowledged) == 0 && len(o.unacknowledged) == 0
	if len(sums) == 0 && (!isWhole || isIdle) {
		return Share{}, false
	}
	o.sequence++
	o.published = clone(work)
	told := Share{Life: t.epoch, Sequence: o.sequence, IsWhole: isWhole, Sums: sums}
	if isWhole {
		told.Sums = clone(work)
	}
	o.unacknowledged = append(o.unacknowledged, told)
	if len(o.unacknowledged) > maxUnacknowledged {
		t.acknowledge(o.unacknowledged[0].Sequence)
	}
	return told, true
}

// ActAsHub makes the entry itself a hub that tells its own work.
func (t *Tally) ActAsHub(work Sums) {
	if t.link.hub != 0 {
		t.switchHub(0)
	}
	t.setHubLoads(work)
}

// ActAsMember takes the own work out of the part: another entry is the hub.
func (t *Tally) ActAsMember() { t.setHubLoads(nil) }

func (t *Tally) setHubLoads(work Sums) {
	for endpoint := range t.aggregate.ownLoads.diff(work) {
		t.aggregate.pending[endpoint] = true
	}
	t.aggregate.ownLoads = clone(work)
}

// covers reports whether the share tells of an endpoint without naming it.
func (s Share) covers(pool.Mark) bool { return s.IsWhole }

// switchHub takes another entry for the hub, which has heard nothing yet.
func (t *Tally) switchHub(hub Mark) {
	for endpoint := range t.link.acknowledged {
		t.changed[endpoint] = true
	}
	t.link.hub = hub
	t.link.reset()
}

// reset starts anew with a hub that has heard nothing.
func (o *hubLink) reset() {
	o.hubEpoch = 0
	o.published = Sums{}
	o.acknowledged = Sums{}
	o.unacknowledged = nil
	o.needsSnapshot = true
}

// acknowledge takes the word of the hub that it has put the own words into its part, up to
// the sequence.
func (t *Tally) acknowledge(sequence uint64) {
	o := &t.link
	for len(o.unacknowledged) > 0 && o.unacknowledged[0].Sequence <= sequence {
		word := o.unacknowledged[0]
		o.unacknowledged = o.unacknowledged[1:]
		changes := word.Sums
		if word.IsWhole {
			changes = o.acknowledged.diff(word.Sums)
		}
		for endpoint := range changes {
			t.changed[endpoint] = true
		}
		o.acknowledged.apply(changes)
	}
}

// ReceiveContribution takes what an entry tells this one as its hub.
func (t *Tally) ReceiveContribution(from ident.Entry, share Share, now clock.Millis) {
	mark := MarkOf(from)
	known := t.contributions[mark]
	if known == nil {
		known = &remoteState{loads: Sums{}}
		t.contributions[mark] = known
	}
	changed, isNew := known.update(share.Life, share.Sequence, share.covers, share.Sums, now)
	if !isNew {
		return
	}
	t.markChanged(changed)
	t.aggregate.acknowledged[mark] = share.Sequence
}

// ReceiveAggregate takes what a hub tells.
func (t *Tally) ReceiveAggregate(part Part, now clock.Millis) {
	if part.Hub == t.self {
		return
	}
	known := t.aggregates[part.Hub]
	if known == nil {
		known = &remoteState{loads: Sums{}, unforwarded: map[pool.Mark]bool{}}
		t.aggregates[part.Hub] = known
	}
	changed, isNew := known.update(part.Life, part.Sequence, part.covers, part.Sums, now)
	if !isNew {
		return
	}
	known.deferred = part.Deferred
	for endpoint := range changed {
		t.changed[endpoint] = true
		known.unforwarded[endpoint] = true
	}
	if part.Hub == t.link.hub {
		t.receiveAcknowledgement(part)
	}
}

// receiveAcknowledgement takes what the hub says it has heard of this entry.
func (t *Tally) receiveAcknowledgement(part Part) {
	if t.link.hubEpoch != 0 && t.link.hubEpoch != part.Life {
		// A hub that started anew has heard nothing.
		t.switchHub(part.Hub)
	}
	t.link.hubEpoch = part.Life
	if sequence, found := part.Acknowledged[t.self]; found && sequence <= t.link.sequence {
		t.acknowledge(sequence)
	}
}

// KeepAlive notes that an entry that tells this one speaks, and has no new word.
func (t *Tally) KeepAlive(from ident.Entry, now clock.Millis) {
	if known := t.contributions[MarkOf(from)]; known != nil {
		known.receivedAt = now
	}
}
