package parts

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/plan"
)

// act does one random thing.
func (h *history) act() {
	endpoint := h.endpoints[h.random.IntN(len(h.endpoints))]
	e := h.entries[h.random.IntN(len(h.entries))]
	if h.hasSeries && h.random.IntN(4) == 0 {
		h.actInSeries(endpoint)
		return
	}
	switch h.random.IntN(20) {
	case 0, 1:
		h.publishVersion()
	case 2, 3, 4, 5, 6, 7:
		h.changeEndpoint(endpoint)
	case 8, 9, 10:
		h.evacuateOrTakeBack([]ident.Domain{"north", "south", "harbour"}[h.random.IntN(3)])
	case 11, 12:
		h.goAway(h.between(0, 100), true)
	case 13:
		h.goAway(h.between(0, 1500), true)
		if h.random.IntN(2) == 0 {
			h.after(h.between(1600, 3500), func() { h.goAway(h.between(0, 100), true) })
		}
	case 14:
		h.goAway(h.between(300, 4000), false)
	case 15:
		e.storeCutUntil = h.now + h.between(300, 4000)
		e.disturb(e.storeCutUntil)
		h.tracef("%s cut from the store until %d", e.board.Self, e.storeCutUntil)
		h.endWatch(e, h.random.IntN(2) == 0)
	case 16:
		e.peersCutUntil = h.now + h.between(300, 3000)
		for _, other := range h.entries {
			other.disturb(e.peersCutUntil)
		}
		h.tracef("%s cut from others until %d", e.board.Self, e.peersCutUntil)
	case 17:
		h.startEntry(e)
	case 18:
		h.store.compact()
		h.tracef("store drops its history")
	case 19:
		for _, other := range h.entries {
			h.endWatch(other, false)
		}
	}
}

func (h *history) publishVersion() {
	h.version += plan.Version(1 + h.random.IntN(7))
	h.publish(configKey, false)
}

func (h *history) evacuateOrTakeBack(domain ident.Domain) {
	h.evacuated[domain] = !h.evacuated[domain]
	h.publish(evacuatePrefix+string(domain), false)
}

// startEndpoint starts a run of an endpoint.
func (h *history) startEndpoint(endpoint *historyEndpoint) {
	h.lastEpoch++
	endpoint.epoch, endpoint.isLiving, endpoint.isLeaving, endpoint.cutUntil = h.lastEpoch, true, false, 0
	h.publish(endpoint.key(), false)
}

// endEndpoint ends a run. Its record is removed or lapses.
func (h *history) endEndpoint(endpoint *historyEndpoint, isSilent bool) {
	endpoint.isLiving = false
	h.tracef("%s ends, silently %v", endpoint.name, isSilent)
	if !isSilent {
		h.publish(endpoint.key(), false)
	}
}

// changeEndpoint changes the state of an endpoint in one of the ways that its state allows.
func (h *history) changeEndpoint(endpoint *historyEndpoint) {
	kind := h.random.IntN(8)
	switch {
	case !endpoint.isLiving:
		h.startEndpoint(endpoint)
	case endpoint.isLeaving:
		h.endEndpoint(endpoint, kind < 4)
	case kind < 3:
		endpoint.isLeaving = true
		h.publish(endpoint.key(), false)
		epoch := endpoint.epoch
		h.after(h.between(1000, 3000), func() {
			if endpoint.epoch == epoch && endpoint.isLiving {
				h.endEndpoint(endpoint, kind == 0)
			}
		})
	case kind < 5:
		h.endEndpoint(endpoint, kind == 3)
	case kind == 5:
		h.startEndpoint(endpoint)
	case kind == 6:
		endpoint.cutUntil = h.now + h.between(4000, 6000)
		h.tracef("%s cut from the store until %d", endpoint.name, endpoint.cutUntil)
	}
}

// goAway takes the store away for the given time. It comes back from an older copy if isRestore is set.
func (h *history) goAway(away clock.Millis, isRestore bool) {
	if h.store.isAway {
		return
	}
	h.store.isAway = true
	isSilent := !isRestore || away > 100
	h.tracef("store goes away for %d, restore %v", away, isRestore)
	h.forgetDue()
	for _, e := range h.entries {
		if e.testEntry == nil {
			continue
		}
		if isSilent {
			e.disturb(h.now + away)
		}
		h.endWatch(e, isSilent && h.random.IntN(2) == 0)
	}
	h.after(away, func() {
		h.store.isAway = false
		if isRestore {
			h.comeBack()
		}
	})
}

// comeBack lets the store come back from an older copy. All is written again within rewriteTime.
func (h *history) comeBack() {
	eras := uint64(1)
	if h.random.IntN(5) == 0 {
		eras = 2
	}
	known := h.store.keys("")
	h.store.restore(h.between(500, 4000), eras, h.now)
	h.tracef("store is back at %v with %v", h.store.at(), h.store.items)
	h.recordReturn()
	isKnown := map[string]bool{}
	for _, key := range append(known, h.store.keys("")...) {
		if isKnown[key] {
			continue
		}
		isKnown[key] = true
		value, _ := h.wanted(key)
		if value == nil && h.random.IntN(2) == 0 && key > endpointsPrefix {
			// The record of an endpoint that is gone lapses.
			continue
		}
		isForced := value != nil && h.random.IntN(2) == 0
		h.after(h.between(0, rewriteTime), func() { h.publish(key, isForced) })
	}
}

// actInSeries begins a series of disturbances.
func (h *history) actInSeries(endpoint *historyEndpoint) {
	returnsSoon := func() {
		h.after(h.between(10, 400), func() { h.goAway(h.between(0, 600), true) })
	}
	switch h.random.IntN(5) {
	case 0:
		h.tracef("returns in series")
		for at := clock.Millis(0); at < 2500; at += h.between(150, 1200) {
			h.after(at, func() { h.goAway(h.between(0, 100), true) })
		}
	case 1:
		h.tracef("rolling restart")
		pause := h.between(100, 700)
		for i, e := range h.entries {
			h.after(clock.Millis(i)*pause, func() { h.startEntry(e) })
		}
		returnsSoon()
		if h.random.IntN(2) == 0 {
			h.after(h.between(400, 2000), func() { h.goAway(h.between(0, 100), true) })
		}
	case 2:
		h.changeEndpoint(endpoint)
		returnsSoon()
	case 3:
		h.evacuateOrTakeBack([]ident.Domain{"north", "south", "harbour"}[h.random.IntN(3)])
		returnsSoon()
	case 4:
		for _, e := range h.entries {
			if h.random.IntN(2) == 0 {
				e.storeCutUntil = h.now + h.between(300, 2500)
				e.disturb(e.storeCutUntil)
				h.tracef("%s cut from the store until %d", e.board.Self, e.storeCutUntil)
				h.endWatch(e, true)
			}
		}
		returnsSoon()
	}
}
