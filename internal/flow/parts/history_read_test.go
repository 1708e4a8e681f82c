package parts

import (
	"errors"
	"strconv"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/codec"
	"mustardhook/internal/flow/evac"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/port"
	"mustardhook/internal/flow/reader"
)

// errStore is a failure of the store that isn't a port.CutError.
var errStore = errors.New("the store does not answer")

type (
	// readEnd is called once with the result of a read.
	readEnd func(port.ReadResult, error)

	// watch is a read that waits for changes.
	watch struct {
		after uint64
		end   readEnd
	}
)

// readNext decides on the next read of an entry and begins it, like the loop of the proxy.
func (h *history) readNext(e *historyEntry) {
	e.board.Now = h.now
	next := e.reader.Next(e.board)
	role, random := peers.RoleOf(e.board), e.board.Random.Float64()
	if !next.ShouldRead {
		if e.reader.Recover() {
			h.step(e, input.SourceRecovered{})
		}
		h.readAfter(e, next.Pause)
		return
	}
	hasEnded := false
	end := func(result port.ReadResult, err error) {
		if !hasEnded {
			hasEnded = true
			h.endRead(e, next, result, e.reader.Record(next, result.At, err, role, random))
		}
	}
	h.afterIn(e, next.Timeout, func() { end(port.ReadResult{}, errStore) })
	h.afterIn(e, h.delay(e), func() {
		switch {
		case hasEnded:
		case !h.canReach(e):
			h.refuse(e, end)
		case next.After.IsZero():
			h.serveAll(e, end)
		default:
			h.serveWatch(e, next, end)
		}
	})
}

func (h *history) readAfter(e *historyEntry, pause clock.Millis) {
	h.afterIn(e, pause, func() { h.readNext(e) })
}

// endRead passes the end of a read to the core, like the proxy.
func (h *history) endRead(e *historyEntry, next reader.Decision, read port.ReadResult, end reader.End) {
	if end.Recovered {
		h.step(e, input.SourceRecovered{})
	}
	switch end.Outcome {
	case reader.OutcomeRead:
		for _, in := range read.Inputs {
			h.step(e, in)
		}
		h.step(e, input.Confirmed{At: read.At})
		h.tracef("%s read to %v, all %v", e.board.Self, read.At, next.After.IsZero())
	case reader.OutcomeFailed:
		h.tracef("%s: %v", e.board.Self, end.Err)
		h.step(e, input.SourceLost{Reason: end.Err.Error()})
	}
	h.readAfter(e, end.Pause)
	h.check(e)
}

// refuse ends a read that can't reach the store at once, or leaves it to its timeout.
func (h *history) refuse(e *historyEntry, end readEnd) {
	if h.random.IntN(2) == 0 {
		h.afterIn(e, h.delay(e), func() { end(port.ReadResult{}, errStore) })
		return
	}
	e.disturb(h.now + reader.FullReadTimeout)
}

// serveAll answers a read of all state in one or two pages. The second one is of a later state.
func (h *history) serveAll(e *historyEntry, end readEnd) {
	s := h.store
	at := s.at()
	keys := s.keys("")
	result := port.ReadResult{At: at}
	var list []pool.Listing
	evacuated := map[ident.Domain]point.Point{}
	add := func(keys []string) {
		for _, key := range keys {
			item := s.items[key]
			switch in := inputOf(storeChange{key, item.value, item.revision}, s.era).(type) {
			case input.PlanRead:
				result.Inputs = append(result.Inputs, in)
			case input.EndpointRead:
				list = append(list, in.Record)
			case input.EvacuationRead:
				evacuated[in.Domain] = in.At
			}
		}
	}
	finish := func() {
		result.Inputs = append(result.Inputs, input.ListRead{List: list, At: at, LastAt: s.at(), Evacuated: evac.NewSet(evacuated)})
		h.afterIn(e, h.delay(e), func() { end(result, nil) })
	}
	if len(keys) < 2 || h.random.IntN(2) == 0 {
		add(keys)
		finish()
		return
	}
	count := 1 + h.random.IntN(len(keys)-1)
	add(keys[:count])
	h.afterIn(e, h.delay(e)+h.between(0, 150), func() {
		switch {
		case !h.canReach(e):
			h.refuse(e, end)
		case s.era != at.Era:
			end(port.ReadResult{}, &port.EraError{Known: at.Era, Found: s.era})
		default:
			add(s.keys(keys[count-1]))
			finish()
		}
	})
}

// serveWatch answers a read of the changes after a point, once there are some or after the time to wait.
func (h *history) serveWatch(e *historyEntry, next reader.Decision, end readEnd) {
	w := &watch{next.After.Revision, end}
	e.watch = w
	h.answerWatch(e, next.Wait == 0)
	h.afterIn(e, next.Wait, func() {
		if e.watch == w {
			h.answerWatch(e, true)
		}
	})
}

// answerWatch answers the waiting read of an entry if its history is gone, there are changes or isDue is set.
func (h *history) answerWatch(e *historyEntry, isDue bool) {
	w := e.watch
	if w == nil {
		return
	}
	changes, ok := h.store.changesAfter(w.after)
	if ok && len(changes) == 0 && !isDue {
		return
	}
	e.watch = nil
	result := port.ReadResult{At: h.store.at()}
	var err error
	if !ok {
		err = &port.CompactedError{After: point.Point{Revision: w.after}}
	}
	for _, change := range changes {
		result.Inputs = append(result.Inputs, inputOf(change, h.store.era))
	}
	h.afterIn(e, h.delay(e), func() { w.end(result, err) })
}

// endWatch ends the waiting read of an entry. It is cut or, if isSilent is set, never answered.
func (h *history) endWatch(e *historyEntry, isSilent bool) {
	w := e.watch
	e.watch = nil
	if w != nil && !isSilent {
		h.afterIn(e, h.delay(e), func() { w.end(port.ReadResult{}, &port.CutError{Err: errStore}) })
	}
}

// carryOut sends the news of an entry and makes its calls to others.
func (h *history) carryOut(e *historyEntry, outputs []output.Output) {
	for _, out := range outputs {
		switch out := out.(type) {
		case output.SendBatch:
			h.send(e, out)
		case output.SetTimer:
			h.afterIn(e, out.After, func() { h.step(e, input.TimerFired{}) })
		case output.FetchPublished:
			h.fetch(e, out)
		}
	}
}

// send sends news in the encoding of the datagrams. One in fifty is lost.
func (h *history) send(e *historyEntry, out output.SendBatch) {
	payload, err := codec.Encode(out.Batch, h.now)
	if err != nil {
		h.fail(e, 0, "news: %v", err)
		return
	}
	for _, address := range out.Addresses {
		host, _, _ := strings.Cut(address, ":")
		to := h.byHost[host]
		if to == nil || h.isCut(e, to) || h.random.IntN(50) == 0 {
			continue
		}
		h.afterIn(to, h.between(3, 40), func() {
			batch, err := codec.Decode(payload, h.now)
			if err != nil {
				h.fail(to, 0, "news: %v", err)
				return
			}
			h.step(to, input.NewsReceived{Batch: batch})
		})
	}
}

// fetch asks another entry for its published state, like the proxy.
func (h *history) fetch(e *historyEntry, ask output.FetchPublished) {
	host, _, _ := strings.Cut(ask.Address, ":")
	to := h.byHost[host]
	if to == nil || h.isCut(e, to) {
		h.afterIn(e, peers.FetchTimeout, func() { h.step(e, input.FetchEnded{}) })
		return
	}
	life := to.life
	h.afterIn(e, h.between(2, 20), func() {
		if to.life != life {
			h.step(e, input.FetchEnded{})
			return
		}
		received, version := h.give(to, ask.ListAt)
		h.afterIn(e, h.between(5, 180), func() {
			if received.At.IsAfter(ask.ListAt) {
				h.step(e, received)
			}
			if version > ask.PlanVersion {
				read := inputOf(storeChange{configKey, version, 0}, 0).(input.PlanRead)
				read.Origin = ask.Address
				h.step(e, read)
			}
			h.step(e, input.FetchEnded{})
			h.tracef("%s fetched %v from %s, delta %v", e.board.Self, received.At, to.board.Self, received.IsDelta)
			h.check(e)
		})
	})
}

// give returns what an entry tells of its published state after a point.
func (h *history) give(e *historyEntry, after point.Point) (input.ListReceived, plan.Version) {
	b := e.board
	b.Now = h.now
	list, departed, isDelta := b.Pool.Delta(after, h.now)
	if !isDelta {
		list, departed = b.Pool.Snapshot(h.now), b.Pool.Departures(h.now)
	}
	version, _ := strconv.ParseUint(string(b.PlanDocument), 10, 64)
	return input.ListReceived{
		List: codec.DecodeList(codec.EncodeList(list)), Departed: codec.DecodeDepartures(codec.EncodeDepartures(departed)),
		At: b.ListAt, LastAt: b.Pool.LastAt(), IsDelta: isDelta,
		EraAge: max(h.now-b.EraSince, 0), EraHold: max(b.EraHoldUntil-h.now, 0),
		Evacuated: codec.DecodeEvacuated(codec.EncodeEvacuated(b.Pool.Evacuated())),
	}, plan.Version(version)
}
