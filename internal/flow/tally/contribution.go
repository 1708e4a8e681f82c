package tally

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

// NextContribution returns the contribution to send to the hub for the given work. The
// first one to a hub is a snapshot. The result is false if nothing changed and no snapshot
// is due. A snapshot is left out, too, if the entry has no work and its hub knows of none.
func (t *Tally) NextContribution(hub ident.Entry, work Sums, isSnapshot bool) (Share, bool) {
	l := &t.link
	if hash := MarkOf(hub); hash != l.hub {
		t.switchHub(hash)
	}
	if l.needsSnapshot {
		isSnapshot = true
		l.needsSnapshot = false
	}
	loads := l.published.diff(work)
	isIdle := len(work) == 0 && len(l.acknowledged) == 0 && len(l.unacknowledged) == 0
	if len(loads) == 0 && (!isSnapshot || isIdle) {
		return Share{}, false
	}
	l.sequence++
	l.published = clone(work)
	contributed := Share{Life: t.epoch, Sequence: l.sequence, IsWhole: isSnapshot, Sums: loads}
	if isSnapshot {
		contributed.Sums = clone(work)
	}
	l.unacknowledged = append(l.unacknowledged, contributed)
	if len(l.unacknowledged) > maxUnacknowledged {
		t.acknowledge(l.unacknowledged[0].Sequence)
	}
	return contributed, true
}

// ActAsHub makes the entry its own hub: its work is added to its own aggregate.
func (t *Tally) ActAsHub(loads Sums) {
	if t.link.hub != 0 {
		t.switchHub(0)
	}
	t.setHubLoads(loads)
}

// ActAsMember removes the entry's work from its own aggregate, because another entry is
// its hub.
func (t *Tally) ActAsMember() { t.setHubLoads(nil) }

func (t *Tally) setHubLoads(loads Sums) {
	for endpoint := range t.aggregate.ownLoads.diff(loads) {
		t.aggregate.pending[endpoint] = true
	}
	t.aggregate.ownLoads = clone(loads)
}

// covers reports whether the contribution states the load of the endpoint without listing
// it.
func (c Share) covers(pool.Mark) bool { return c.IsWhole }

// switchHub sets another entry as the hub. That hub has received nothing yet.
func (t *Tally) switchHub(hub Mark) {
	for endpoint := range t.link.acknowledged {
		t.changed[endpoint] = true
	}
	t.link.hub = hub
	t.link.reset()
}

// reset discards what the hub has received, so that the next contribution is a snapshot.
func (l *hubLink) reset() {
	l.hubEpoch = 0
	l.published = Sums{}
	l.acknowledged = Sums{}
	l.unacknowledged = nil
	l.needsSnapshot = true
}

// acknowledge records that the hub's aggregate includes the contributions up to the
// sequence.
func (t *Tally) acknowledge(sequence uint64) {
	l := &t.link
	for len(l.unacknowledged) > 0 && l.unacknowledged[0].Sequence <= sequence {
		contribution := l.unacknowledged[0]
		l.unacknowledged = l.unacknowledged[1:]
		changes := contribution.Sums
		if contribution.IsWhole {
			changes = l.acknowledged.diff(contribution.Sums)
		}
		for endpoint := range changes {
			t.changed[endpoint] = true
		}
		l.acknowledged.apply(changes)
	}
}

// ReceiveContribution applies a contribution of a member to this entry's aggregate.
func (t *Tally) ReceiveContribution(from ident.Entry, contribution Share, now clock.Millis) {
	hash := MarkOf(from)
	state := t.contributions[hash]
	if state == nil {
		state = &remoteState{loads: Sums{}}
		t.contributions[hash] = state
	}
	changed, isNew := state.update(contribution.Life, contribution.Sequence, contribution.covers, contribution.Sums, now)
	if !isNew {
		return
	}
	t.markChanged(changed)
	t.aggregate.acknowledged[hash] = contribution.Sequence
}

// ReceiveAggregate applies an aggregate of another hub.
func (t *Tally) ReceiveAggregate(aggregate Part, now clock.Millis) {
	if aggregate.Hub == t.self {
		return
	}
	state := t.aggregates[aggregate.Hub]
	if state == nil {
		state = &remoteState{loads: Sums{}, unforwarded: map[pool.Mark]bool{}}
		t.aggregates[aggregate.Hub] = state
	}
	changed, isNew := state.update(aggregate.Life, aggregate.Sequence, aggregate.covers, aggregate.Sums, now)
	if !isNew {
		return
	}
	state.deferred = aggregate.Deferred
	for endpoint := range changed {
		t.changed[endpoint] = true
		state.unforwarded[endpoint] = true
	}
	if aggregate.Hub == t.link.hub {
		t.receiveAcknowledgement(aggregate)
	}
}

// receiveAcknowledgement processes the acknowledgement for this entry in an aggregate of
// its hub.
func (t *Tally) receiveAcknowledgement(aggregate Part) {
	if t.link.hubEpoch != 0 && t.link.hubEpoch != aggregate.Life {
		// A hub that has restarted has received nothing.
		t.switchHub(aggregate.Hub)
	}
	t.link.hubEpoch = aggregate.Life
	if sequence, ok := aggregate.Acknowledged[t.self]; ok && sequence <= t.link.sequence {
		t.acknowledge(sequence)
	}
}

// KeepAlive records that a member sent a message without a contribution, so that its last
// one doesn't expire.
func (t *Tally) KeepAlive(from ident.Entry, now clock.Millis) {
	if state := t.contributions[MarkOf(from)]; state != nil {
		state.receivedAt = now
	}
}
