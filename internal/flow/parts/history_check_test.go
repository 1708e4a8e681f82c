package parts

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

const (
	// inForceLimit is the time within which a change is in force at entries that are in touch since touchTime before it.
	inForceLimit = 2 * clock.Second
	touchTime    = 3 * clock.Second
	// keptTime is for how long an endpoint that a copy lacks stays in use.
	keptTime = 1 * clock.Second
	// checkSlack is how much earlier than by the checks an entry may act.
	checkSlack = 60 * clock.Millis(1)
)

type (
	// run is a run of an endpoint.
	run struct {
		name  ident.Endpoint
		epoch uint64
	}

	// historyLog is what the checks know of the store.
	historyLog struct {
		// readyAt holds when each run was last written as ready, goneAt when it was written as leaving or removed.
		readyAt map[run]clock.Millis
		goneAt  map[run][]goneWrite
		// takenBackAt holds when the evacuation of each failure domain was last removed.
		takenBackAt map[ident.Domain]clock.Millis
		// returnedAt holds when the store came back in each era, movedAt when the first list moved to it, and lacking the
		// names of the endpoints that its copy has.
		returnedAt map[uint64]clock.Millis
		movedAt    map[uint64]clock.Millis
		copied     map[uint64]map[ident.Endpoint]bool
		// due are the changes that must be in force soon, by key.
		due map[string]dueChange
	}

	// dueChange is a change that must be in force at the time.
	dueChange struct {
		key         string
		value       any
		since, time clock.Millis
	}

	// knowledge is what an entry was found to know in its life.
	knowledge struct {
		version plan.Version
		// gone holds the runs that the entry knew to be removed or leaving.
		gone map[run]knownGone
		// kept are the runs that must stay in use until the time, and evacuation holds the failure domains that were evacuated
		// in the era before.
		kept       map[run]clock.Millis
		evacuation map[ident.Domain]bool
		// traced holds the last state of each endpoint in the trace.
		traced map[ident.Endpoint]endpointState
	}

	// endpointState is what an entry knows of an endpoint.
	endpointState struct {
		epoch                                uint64
		isUsed, isLeaving, isLeavingByOthers bool
		removedAt, removalGraceUntil         clock.Millis
	}

	// goneWrite is a change by which a run is leaving or removed.
	goneWrite struct {
		time clock.Millis
		at   point.Point
	}

	// knownGone is the point at which an entry first knew a run to be gone, and the era in which it last did.
	knownGone struct {
		time clock.Millis
		at   point.Point
		era  uint64
	}

	// eraKnowledge is what an entry knows before its list moves to another era.
	eraKnowledge struct {
		used      []run
		evacuated []ident.Domain
	}
)

func newHistoryLog() *historyLog {
	return &historyLog{
		readyAt: map[run]clock.Millis{}, goneAt: map[run][]goneWrite{}, takenBackAt: map[ident.Domain]clock.Millis{},
		returnedAt: map[uint64]clock.Millis{}, movedAt: map[uint64]clock.Millis{}, copied: map[uint64]map[ident.Endpoint]bool{},
		due: map[string]dueChange{},
	}
}

func newKnowledge() *knowledge {
	return &knowledge{
		gone: map[run]knownGone{}, kept: map[run]clock.Millis{}, evacuation: map[ident.Domain]bool{}, traced: map[ident.Endpoint]endpointState{},
	}
}

// fail ends the history. The number is that of the invariant.
func (h *history) fail(e *historyEntry, invariant int, format string, args ...any) {
	if h.failure == "" {
		h.failure = fmt.Sprintf("invariant %d at %s, %d: ", invariant, e.board.Self, h.now) + fmt.Sprintf(format, args...)
	}
}

// recordWrite records a change of the store.
func (h *history) recordWrite(key string, value any) {
	delete(h.due, key)
	limit := inForceLimit
	if domain, isEvacuation := strings.CutPrefix(key, evacuatePrefix); isEvacuation && value == nil {
		h.takenBackAt[ident.Domain(domain)] = h.now
		return
	}
	if name, isEndpoint := strings.CutPrefix(key, endpointsPrefix); isEndpoint {
		listing, isListed := value.(pool.Listing)
		written := run{ident.Endpoint(name), listing.Epoch}
		if isListed && !listing.Leaving {
			h.readyAt[written] = h.now
			return
		}
		if !isListed {
			if returnedAt, hasReturned := h.returnedAt[h.store.era]; hasReturned && h.now < returnedAt+pool.RemovalGrace {
				limit += pool.RemovalGrace
			}
		}
		h.recordGone(written)
	}
	h.due[key] = dueChange{key, value, h.now, h.now + limit}
}

// recordGone records that a run, or all runs of an endpoint if its epoch is zero, was written as leaving or was removed.
func (h *history) recordGone(gone run) {
	for known := range h.readyAt {
		if known.name == gone.name && (gone.epoch == 0 || known.epoch == gone.epoch) {
			h.goneAt[known] = append(h.goneAt[known], goneWrite{h.now, h.store.at()})
		}
	}
}

func (h *history) forgetDue() { clear(h.due) }

// recordReturn records that the store has come back in a new era.
func (h *history) recordReturn() {
	h.forgetDue()
	era := h.store.era
	h.returnedAt[era] = h.now
	h.copied[era] = map[ident.Endpoint]bool{}
	for _, endpoint := range h.endpoints {
		_, h.copied[era][endpoint.name] = h.store.items[endpoint.key()]
	}
}

// knownOf returns what an entry knows before its list may move to another era.
func (h *history) knownOf(e *historyEntry) eraKnowledge {
	var known eraKnowledge
	for _, endpoint := range h.endpoints {
		found := e.board.Pool.Find(endpoint.name)
		if found != nil && found.RemovedAt == 0 && found.IsUsable(h.now) {
			known.used = append(known.used, run{endpoint.name, found.Epoch})
		}
	}
	for domain := range e.board.Pool.Evacuated().All() {
		known.evacuated = append(known.evacuated, domain)
	}
	return known
}

// recordMove records that the list of an entry has moved to another era.
func (h *history) recordMove(e *historyEntry, known eraKnowledge, hadList bool) {
	era := e.board.ListAt.Era
	if _, isKnown := h.movedAt[era]; !isKnown {
		h.movedAt[era] = h.now
	}
	if !hadList {
		return
	}
	h.tracef("%s moves to era %d", e.board.Self, era)
	clear(e.kept)
	for _, used := range known.used {
		if !h.copied[era][used.name] {
			e.kept[used] = min(h.now+keptTime, h.movedAt[era]+pool.RemovalGrace) - checkSlack
		}
	}
	for _, domain := range known.evacuated {
		e.evacuation[domain] = true
	}
}

// check checks an entry after a step.
func (h *history) check(e *historyEntry) {
	b := e.board
	if b.Plan.Version < e.version {
		h.fail(e, 2, "version %d after %d", b.Plan.Version, e.version)
	}
	e.version = b.Plan.Version
	for _, endpoint := range h.endpoints {
		found := b.Pool.Find(endpoint.name)
		h.traceEndpoint(e, endpoint.name, found)
		if found != nil {
			h.checkGone(e, found)
		}
		h.checkKept(e, endpoint)
	}
	h.checkEvacuated(e)
	for _, key := range slices.Sorted(maps.Keys(h.due)) {
		h.checkDue(e, h.due[key])
	}
}

// traceEndpoint adds what an entry knows of an endpoint to the trace, if that has changed.
func (h *history) traceEndpoint(e *historyEntry, name ident.Endpoint, found *pool.Endpoint) {
	var state endpointState
	if found != nil {
		state = endpointState{
			found.Epoch, found.IsUsable(h.now), found.Leaving, h.now < found.PeerLeavingUntil, found.RemovedAt, found.RemovalGraceUntil,
		}
	}
	if e.traced[name] != state {
		e.traced[name] = state
		h.tracef("%s: %s is %+v", e.board.Self, name, state)
	}
}

// holdHasEnded reports whether what was known before the era of an entry's list may be forgotten.
func (h *history) holdHasEnded(e *historyEntry) bool {
	return h.now >= h.movedAt[e.board.ListAt.Era]+eraHold-checkSlack
}

// checkGone checks that a run that the entry knew to be gone is not used.
func (h *history) checkGone(e *historyEntry, found *pool.Endpoint) {
	known := run{found.Name, found.Epoch}
	gone, isGone := e.gone[known]
	era := e.board.ListAt.Era
	switch {
	case found.Leaving || found.RemovedAt != 0 && h.now >= found.RemovalGraceUntil:
		if !isGone {
			gone.time, gone.at = h.now, e.board.ListAt
		}
		gone.era = era
		e.gone[known] = gone
	case isGone && found.IsUsable(h.now):
		lastGoneAt := clock.Millis(-1)
		for _, write := range h.goneAt[known] {
			if !write.at.IsAfter(gone.at) {
				lastGoneAt = write.time
			}
		}
		hasLapsed := era > gone.era && h.holdHasEnded(e)
		if h.readyAt[known] <= lastGoneAt && !hasLapsed {
			h.fail(e, 3, "%v is used, known to be gone since %d", known, gone.time)
		}
		delete(e.gone, known)
	}
}

// checkKept checks that an endpoint that the copy lacks stays in use for a while.
func (h *history) checkKept(e *historyEntry, endpoint *historyEndpoint) {
	known := run{endpoint.name, endpoint.epoch}
	until, isKept := e.kept[known]
	if !isKept || h.now >= until || !endpoint.isLiving || endpoint.isLeaving || len(h.goneAt[known]) > 0 {
		return
	}
	found := e.board.Pool.Find(endpoint.name)
	if found == nil || !found.IsEvacuated() && !found.IsUsable(h.now) {
		h.fail(e, 4, "%v is not used before %d", known, until)
	}
}

// checkEvacuated checks that the evacuations of the era before stay.
func (h *history) checkEvacuated(e *historyEntry) {
	for domain := range e.evacuation {
		if e.board.Pool.Evacuated().Contains(domain) {
			continue
		}
		delete(e.evacuation, domain)
		if h.takenBackAt[domain] < h.returnedAt[e.board.ListAt.Era] && !h.holdHasEnded(e) {
			h.fail(e, 5, "%s is no longer evacuated", domain)
		}
	}
}

// wereInTouch reports whether all entries were in touch at the time. Else one may tell others of a removal grace.
func (h *history) wereInTouch(at clock.Millis) bool {
	for _, e := range h.entries {
		if e.inTouchSince > at-touchTime {
			return false
		}
	}
	return true
}

// checkDue checks that a change is in force in time.
func (h *history) checkDue(e *historyEntry, due dueChange) {
	if h.now < due.time || e.inTouchSince > due.since-touchTime || due.value == nil && !h.wereInTouch(due.since) {
		return
	}
	b := e.board
	if due.key == configKey {
		if b.Plan.Version < due.value.(plan.Version) {
			h.fail(e, 6, "version %d of %d is not in force", due.value, due.since)
		}
		return
	}
	if domain, isEvacuation := strings.CutPrefix(due.key, evacuatePrefix); isEvacuation {
		if !b.Pool.Evacuated().Contains(ident.Domain(domain)) {
			h.fail(e, 6, "evacuation of %s at %d is not in force", domain, due.since)
		}
		return
	}
	found := b.Pool.Find(ident.Endpoint(strings.TrimPrefix(due.key, endpointsPrefix)))
	if found != nil && found.IsUsable(h.now) {
		h.fail(e, 6, "%s = %v at %d is not in force", due.key, due.value, due.since)
	}
}

// checkEnd checks an entry after a time without events.
func (h *history) checkEnd(e *historyEntry) {
	b := e.board
	if b.Plan.Version != h.version {
		h.fail(e, 1, "version %d, published is %d", b.Plan.Version, h.version)
	}
	for _, domain := range []ident.Domain{"north", "south", "harbour"} {
		if b.Pool.Evacuated().Contains(domain) != h.evacuated[domain] {
			h.fail(e, 1, "%s is evacuated: %v", domain, !h.evacuated[domain])
		}
	}
	for _, endpoint := range h.endpoints {
		found := b.Pool.Find(endpoint.name)
		isUsed := found != nil && found.IsUsable(h.now)
		shouldUse := endpoint.isLiving && !endpoint.isLeaving && !h.evacuated[endpoint.listing().Domain]
		if isUsed != shouldUse || isUsed && found.Epoch != endpoint.epoch {
			h.fail(e, 1, "%v is used: %v", *endpoint, isUsed)
		}
	}
}
