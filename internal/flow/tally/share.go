package tally

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

// Tell returns what to tell the hub of the own work. It reports false when nothing
// changed and the whole is not asked for. The first word to a hub is whole.
func (t *Tally) Tell(hub ident.Entry, work Loads, isWhole bool) (Contribution, bool) {
	o := &t.own
	if mark := EntryHashOf(hub); mark != o.hub {
		t.moveTo(mark)
	}
	if o.isStale {
		isWhole = true
		o.isStale = false
	}
	sums := o.told.changesTo(work)
	isIdle := len(work) == 0 && len(o.heard) == 0 && len(o.unheard) == 0
	if len(sums) == 0 && (!isWhole || isIdle) {
		return Contribution{}, false
	}
	o.sequence++
	o.told = clone(work)
	told := Contribution{Epoch: t.life, Sequence: o.sequence, IsSnapshot: isWhole, Loads: sums}
	if isWhole {
		told.Loads = clone(work)
	}
	o.unheard = append(o.unheard, told)
	if len(o.unheard) > mostUnheard {
		t.hear(o.unheard[0].Sequence)
	}
	return told, true
}

// Lead makes the entry itself a hub that tells its own work.
func (t *Tally) Lead(work Loads) {
	if t.own.hub != 0 {
		t.moveTo(0)
	}
	t.setOwn(work)
}

// Follow takes the own work out of the part: another entry is the hub.
func (t *Tally) Follow() { t.setOwn(nil) }

func (t *Tally) setOwn(work Loads) {
	for endpoint := range t.part.own.changesTo(work) {
		t.part.unheard[endpoint] = true
	}
	t.part.own = clone(work)
}

// covers reports whether the share tells of an endpoint without naming it.
func (s Contribution) covers(pool.Hash) bool { return s.IsSnapshot }

// moveTo takes another entry for the hub, which has heard nothing yet.
func (t *Tally) moveTo(hub EntryHash) {
	for endpoint := range t.own.heard {
		t.changed[endpoint] = true
	}
	t.own.hub = hub
	t.own.forget()
}

// forget starts anew with a hub that has heard nothing.
func (o *own) forget() {
	o.hubLife = 0
	o.told = Loads{}
	o.heard = Loads{}
	o.unheard = nil
	o.isStale = true
}

// hear takes the word of the hub that it has put the own words into its part, up to
// the sequence.
func (t *Tally) hear(sequence uint64) {
	o := &t.own
	for len(o.unheard) > 0 && o.unheard[0].Sequence <= sequence {
		word := o.unheard[0]
		o.unheard = o.unheard[1:]
		changes := word.Loads
		if word.IsSnapshot {
			changes = o.heard.changesTo(word.Loads)
		}
		for endpoint := range changes {
			t.changed[endpoint] = true
		}
		o.heard.apply(changes)
	}
}

// TakeShare takes what an entry tells this one as its hub.
func (t *Tally) TakeShare(from ident.Entry, share Contribution, now clock.Millis) {
	mark := EntryHashOf(from)
	known := t.shares[mark]
	if known == nil {
		known = &account{sums: Loads{}}
		t.shares[mark] = known
	}
	changed, isNew := known.take(share.Epoch, share.Sequence, share.covers, share.Loads, now)
	if !isNew {
		return
	}
	t.touch(changed)
	t.part.heard[mark] = share.Sequence
}

// TakePart takes what a hub tells.
func (t *Tally) TakePart(part Aggregate, now clock.Millis) {
	if part.Hub == t.self {
		return
	}
	known := t.parts[part.Hub]
	if known == nil {
		known = &account{sums: Loads{}, unpassed: map[pool.Hash]bool{}}
		t.parts[part.Hub] = known
	}
	changed, isNew := known.take(part.Epoch, part.Sequence, part.covers, part.Loads, now)
	if !isNew {
		return
	}
	known.held = part.Held
	for endpoint := range changed {
		t.changed[endpoint] = true
		known.unpassed[endpoint] = true
	}
	if part.Hub == t.own.hub {
		t.heardBy(part)
	}
}

// heardBy takes what the hub says it has heard of this entry.
func (t *Tally) heardBy(part Aggregate) {
	if t.own.hubLife != 0 && t.own.hubLife != part.Epoch {
		// A hub that started anew has heard nothing.
		t.moveTo(part.Hub)
	}
	t.own.hubLife = part.Epoch
	if sequence, found := part.Heard[t.self]; found && sequence <= t.own.sequence {
		t.hear(sequence)
	}
}

// Hear notes that an entry that tells this one speaks, and has no new word.
func (t *Tally) Hear(from ident.Entry, now clock.Millis) {
	if known := t.shares[EntryHashOf(from)]; known != nil {
		known.at = now
	}
}
