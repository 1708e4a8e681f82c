package tally

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

// NextContribution returns the contribution to send to the hub for the given work. The
// first one to a hub is a snapshot. The result is false if nothing changed and no snapshot
// is due. A snapshot is left out, too, if the entry has no work and its hub knows of none.
func (t *Tally) NextContribution(hub ident.Entry, work Loads, isSnapshot bool) (Contribution, bool) {
	l := &t.link
	if hash := EntryHashOf(hub); hash != l.hub {
		t.switchHub(hash)
	}
	if l.needsSnapshot {
		isSnapshot = true
		l.needsSnapshot = false
	}
	loads := l.published.diff(work)
	isIdle := len(work) == 0 && len(l.acknowledged) == 0 && len(l.unacknowledged) == 0
	if len(loads) == 0 && (!isSnapshot || isIdle) {
		return Contribution{}, false
	}
	l.sequence++
	l.published = clone(work)
	contribution := Contribution{Epoch: t.epoch, Sequence: l.sequence, IsSnapshot: isSnapshot, Loads: loads}
	if isSnapshot {
		contribution.Loads = clone(work)
	}
	l.unacknowledged = append(l.unacknowledged, contribution)
	if len(l.unacknowledged) > maxUnacknowledged {
		t.acknowledge(l.unacknowledged[0].Sequence)
	}
	return contribution, true
}

// ActAsHub makes the entry its own hub: its work is added to its own aggregate.
func (t *Tally) ActAsHub(loads Loads) {
	if t.link.hub != 0 {
		t.switchHub(0)
	}
	t.setHubLoads(loads)
}

// ActAsMember removes the entry's work from its own aggregate, because another entry is
// its hub.
func (t *Tally) ActAsMember() { t.setHubLoads(nil) }

func (t *Tally) setHubLoads(loads Loads) {
	for endpoint := range t.aggregate.ownLoads.diff(loads) {
		t.aggregate.pending[endpoint] = true
	}
	t.aggregate.ownLoads = clone(loads)
}

// covers reports whether an endpoint that the contribution doesn't list has no load.
func (c Contribution) covers(pool.Hash) bool { return c.IsSnapshot }

// switchHub makes the entry the hub, zero for none. A new hub has received nothing yet.
func (t *Tally) switchHub(hub EntryHash) {
	for endpoint := range t.link.acknowledged {
		t.changed[endpoint] = true
	}
	t.link.hub = hub
	t.link.reset()
}

// reset discards what the hub has received, so that the next contribution is a snapshot.
func (l *hubLink) reset() {
	l.hubEpoch = 0
	l.published = Loads{}
	l.acknowledged = Loads{}
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
		changes := contribution.Loads
		if contribution.IsSnapshot {
			changes = l.acknowledged.diff(contribution.Loads)
		}
		for endpoint := range changes {
			t.changed[endpoint] = true
		}
		l.acknowledged.apply(changes)
	}
}

// ReceiveContribution applies a contribution of a member to this entry's aggregate.
func (t *Tally) ReceiveContribution(from ident.Entry, contribution Contribution, now clock.Millis) {
	hash := EntryHashOf(from)
	state := t.contributions[hash]
	if state == nil {
		state = &remoteState{loads: Loads{}}
		t.contributions[hash] = state
	}
	changed, isNew := state.update(contribution.Epoch, contribution.Sequence, contribution.covers, contribution.Loads, now)
	if !isNew {
		return
	}
	t.markChanged(changed)
	t.aggregate.acknowledged[hash] = contribution.Sequence
}

// ReceiveAggregate applies an aggregate of another hub.
func (t *Tally) ReceiveAggregate(aggregate Aggregate, now clock.Millis) {
	if aggregate.Hub == t.self {
		return
	}
	state := t.aggregates[aggregate.Hub]
	if state == nil {
		state = &remoteState{loads: Loads{}, unforwarded: map[pool.Hash]bool{}}
		t.aggregates[aggregate.Hub] = state
	}
	changed, isNew := state.update(aggregate.Epoch, aggregate.Sequence, aggregate.covers, aggregate.Loads, now)
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
func (t *Tally) receiveAcknowledgement(aggregate Aggregate) {
	if t.link.hubEpoch != 0 && t.link.hubEpoch != aggregate.Epoch {
		// A hub that has restarted has received nothing.
		t.switchHub(aggregate.Hub)
	}
	t.link.hubEpoch = aggregate.Epoch
	if sequence, ok := aggregate.Acknowledged[t.self]; ok && sequence <= t.link.sequence {
		t.acknowledge(sequence)
	}
}

// KeepAlive records that a member sent a message of an epoch without a contribution, so that its last
// one doesn't expire. One of an earlier epoch is discarded: a member that has restarted and runs nothing
// sends none.
func (t *Tally) KeepAlive(from ident.Entry, epoch uint64, now clock.Millis) {
	hash := EntryHashOf(from)
	state := t.contributions[hash]
	switch {
	case state == nil:
	case state.epoch < epoch:
		t.markChanged(state.loads)
		delete(t.contributions, hash)
	default:
		state.receivedAt = now
	}
}
