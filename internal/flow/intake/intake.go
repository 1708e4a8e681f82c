// Package intake provides the controller that applies published state: the list of
// endpoints, the evacuated failure domains and the configuration, which never returns to a lower
// version.
package intake

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/evac"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

const (
	// ExpireInterval is the time between two calls that expire removed endpoints.
	ExpireInterval = 1 * clock.Second

	// confirmationGap is the time without a complete read of published state, by any entry, after which the list counts as
	// unreadable. It exceeds the time for which a read waits for changes, plus the time that its news takes to arrive.
	confirmationGap = 1500 * clock.Millis(1)

	// maxIgnoredLogged bounds the log lines on entries of one plan that have no effect.
	maxIgnoredLogged = 16
)

type controller struct{ expiredAt clock.Millis }

// NewController returns the controller that applies published state.
func NewController() board.Controller { return &controller{} }

// Step handles one input.
func (c *controller) Step(b *board.Board, in input.Input) {
	switch in := in.(type) {
	case input.SettingsRead:
		b.Settings = in.Settings
	case input.Started:
		b.StartedAt = b.Now
	case input.PlanRead:
		applyPlan(b, in)
	case input.ListRead:
		applyList(b, in)
	case input.ListReceived:
		applyReceivedList(b, in)
	case input.EndpointRead:
		if b.Pool.Has(in.Record, b.Now) {
			b.Pool.UpdateColdness(in.Record, b.Now)
		} else if advance(b, in.At) {
			b.Pool.Put(in.Record, b.Now)
			b.Log("Endpoint changed.", "endpoint", in.Record.Name, "leaving", in.Record.Leaving,
				"coldLeft", in.Record.ColdLeft)
		}
	case input.EndpointRemoved:
		if advance(b, in.At) {
			removalGrace := b.Pool.Remove(in.Name, b.Now)
			b.Log("Endpoint gone from the list.", "endpoint", in.Name, "removalGrace", removalGrace)
		}
	case input.EvacuationRead:
		// A known instruction counts, too, so that no state from before it can end the evacuation.
		if advance(b, in.At) {
			setEvacuated(b, b.Pool.Evacuated().With(in.Domain, in.At), in.At)
		}
	case input.EvacuationRemoved:
		if advance(b, in.At) {
			setEvacuated(b, b.Pool.Evacuated().Without(in.Domain), in.At)
		}
	case input.Confirmed:
		recordRead(b, in.At)
		b.ConfirmedAt = b.Now
		b.NewsChanged = true
	case input.SourceLost:
		if b.SourceLostAt == 0 {
			b.SourceLostAt = b.Now
			b.Log("Published state can't be read.", "reason", in.Reason)
		}
		b.Pool.MarkListUnavailable(b.Now)
	case input.SourceRecovered:
		b.Log("Published state can be read again.", "away", b.Now-b.SourceLostAt)
		b.SourceLostAt = 0
		b.Pool.MarkListAvailable(b.Now)
	case input.Ticked:
		if b.Now-c.expiredAt >= ExpireInterval {
			c.expiredAt = b.Now
			extendEraHold(b)
			b.Pool.Expire(b.Now)
			expireEvacuated(b)
		}
	}
}

// recordRead records the point up to which published state was read. It logs changes of the era.
func recordRead(b *board.Board, at point.Point) {
	if before := b.ReadTo; !before.IsZero() && before.Era != at.Era {
		b.Log("Era of published state has changed.", "era", at.Era, "before", before.Era, "revision", at.Revision, "revisionBefore", before.Revision)
	}
	b.ReadTo = at
}

// applyList applies a list that this entry has read, unless it knows a newer one.
func applyList(b *board.Board, read input.ListRead) {
	before, hadList := b.ListAt, b.HasList
	if !advance(b, read.At) && hadList {
		b.Log("List of endpoints that was read is not newer than the known one.", "endpoints", len(read.List),
			"era", read.At.Era, "revision", read.At.Revision, "knownEra", before.Era, "knownRevision", before.Revision)
		return
	}
	if !hadList || before.Era != b.ListAt.Era {
		beginEra(b, 0, 0)
	}
	b.Pool.Replace(read.List, read.LastAt, currentEra(b, hadList && before.Era != b.ListAt.Era), b.Now)
	b.HasList = true
	b.Log("List of endpoints read.", "endpoints", len(read.List), "era", read.At.Era, "revision", read.At.Revision)
	setEvacuated(b, b.Pool.Evacuated().Replace(read.Evacuated, read.At), read.At)
}

// applyReceivedList applies the list, or the changes of it, from another entry, unless this one knows a newer one.
func applyReceivedList(b *board.Board, received input.ListReceived) {
	before, hadList := b.ListAt, b.HasList
	if !advance(b, received.At) {
		return
	}
	if !hadList || before.Era != b.ListAt.Era {
		beginEra(b, received.EraAge, received.EraHold)
	}
	if received.IsDelta {
		b.Pool.ApplyDelta(received.List, received.Departed, b.Now)
		b.Log(
			"Endpoint changes received from another entry.",
			"endpoints", len(received.List), "gone", len(received.Departed), "era", received.At.Era, "revision", received.At.Revision,
		)
	} else {
		b.Pool.ApplySnapshot(received.List, received.Departed, received.LastAt, currentEra(b, hadList && before.Era != b.ListAt.Era), b.Now)
		b.HasList = true
		b.Log("List of endpoints told.", "endpoints", len(received.List), "era", received.At.Era, "revision", received.At.Revision)
	}
	setEvacuated(b, b.Pool.Evacuated().Replace(received.Evacuated, received.At), received.At)
}

// setEvacuated replaces the set of evacuated failure domains, and logs the changes. Instructions of earlier eras end if
// they have not been published again in time.
func setEvacuated(b *board.Board, evacuated evac.Set, at point.Point) {
	if b.Now >= b.EraHoldUntil {
		evacuated = evacuated.InEra(b.ListAt.Era)
	}
	before := b.Pool.Evacuated()
	for domain, since := range evacuated.All() {
		if !before.Contains(domain) {
			b.Log("Failure domain is evacuated.", "failureDomain", domain, "era", since.Era, "revision", since.Revision)
		}
	}
	for domain := range before.All() {
		if !evacuated.Contains(domain) {
			b.Log("Failure domain is taken back.", "failureDomain", domain, "era", at.Era, "revision", at.Revision)
		}
	}
	b.Pool.SetEvacuated(evacuated, b.Now)
}

// expireEvacuated ends the instructions of earlier eras that have not been published again in time.
func expireEvacuated(b *board.Board) {
	evacuated := b.Pool.Evacuated()
	if b.Now >= b.EraHoldUntil && evacuated.InEra(b.ListAt.Era).Len() < evacuated.Len() {
		setEvacuated(b, evacuated, b.ListAt)
	}
}

// beginEra records that the era of the list is known to have begun the given time ago, and that another entry holds what it knew
// before for at least the given time. What is known from the era before holds against a state that may come from an older
// copy until a record that nobody renews has lapsed, and living endpoints are listed again.
func beginEra(b *board.Board, age, hold clock.Millis) {
	b.EraSince = b.Now - age
	b.EraHoldUntil = max(b.EraSince+eraHold(b), b.Now+hold)
}

// extendEraHold lets what is known from the era before hold for longer while no entry can read published state, so that no
// record lapses and nothing is written again.
func extendEraHold(b *board.Board) {
	if b.Now-lastConfirmation(b) <= confirmationGap {
		return
	}
	until := b.Now + eraHold(b)
	if b.Now < b.EraHoldUntil {
		b.EraHoldUntil = max(b.EraHoldUntil, until)
	}
	b.Pool.ExtendHolds(until, b.Now)
}

func currentEra(b *board.Board, isNew bool) pool.Era {
	return pool.Era{Since: b.EraSince, HoldUntil: b.EraHoldUntil, IsNew: isNew}
}

func eraHold(b *board.Board) clock.Millis { return b.Settings.RecordTTL() + pool.RemovalGrace }

// lastConfirmation returns when this entry, or another one in the era of its list, last read published state completely.
func lastConfirmation(b *board.Board) clock.Millis {
	last := b.ConfirmedAt
	for _, peer := range b.Peers {
		if peer.News.ListAt.Era >= b.ListAt.Era {
			last = max(last, peer.News.ConfirmedAt)
		}
	}
	return last
}

// advance sets the point of the list if it is after the current one, and reports whether it is. Changes at
// earlier points must be ignored: a newer list may have been received from another entry.
func advance(b *board.Board, at point.Point) bool {
	if !at.IsAfter(b.ListAt) {
		return false
	}
	b.ListAt = at
	b.Pool.SetPoint(at)
	b.NewsChanged = true
	return true
}

// logIgnored logs the entries of a plan that have no effect, as far as maxIgnoredLogged.
func logIgnored(b *board.Board, next plan.Plan) {
	for _, ignored := range next.Ignored[:min(len(next.Ignored), maxIgnoredLogged)] {
		b.Log("Part of the configuration has no effect.", "version", uint64(next.Version), "reason", ignored.Error())
	}
}

// logAccess logs that a plan opens or closes what the one in force does not.
func logAccess(b *board.Board, next plan.Plan) {
	text := "Requests need no key any more."
	if next.RequiresKeys() {
		text = "Requests need a key from now on."
	}
	b.Log(text, "version", uint64(next.Version), "keys", next.CountKeys(), "before", uint64(b.Plan.Version), "keysBefore", b.Plan.CountKeys())
}

// applyPlan applies a plan unless its version is not higher than the current one.
func applyPlan(b *board.Board, read input.PlanRead) {
	if read.Plan.Version <= b.Plan.Version {
		return
	}
	origin := read.Origin
	if origin == "" {
		origin = "source"
	}
	b.Log("Configuration in force.", "version", uint64(read.Plan.Version), "before", uint64(b.Plan.Version), "origin", origin,
		"requiresKeys", read.Plan.RequiresKeys(), "keys", read.Plan.CountKeys(), "ignored", len(read.Plan.Ignored))
	logIgnored(b, read.Plan)
	if !b.Plan.IsZero() && b.Plan.RequiresKeys() != read.Plan.RequiresKeys() {
		b.AccessChanges++
		logAccess(b, read.Plan)
	}
	b.Plan = read.Plan
	b.PlanDocument = read.Document
	b.Pool.SetColdTimes(b.Plan.ColdTimes(), b.Now)
	b.NewsChanged = true
}
