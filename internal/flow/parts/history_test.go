package parts

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/reader"
	"mustardhook/internal/flow/tally"
)

const (
	// historiesVariable is the environment variable with the seeds of the histories to run, as FIRST-LAST, and seriesVariable that
	// with those of histories in which disturbances come in series.
	historiesVariable = "MUSTARDHOOK_HISTORIES"
	seriesVariable    = "MUSTARDHOOK_HISTORY_SERIES"
	// historyTick is the time between two ticks of an entry.
	historyTick = 50 * clock.Millis(1)
	// heartbeat is the time between two renewals of a record.
	heartbeat = 1200 * clock.Millis(1)
	// rewriteTime is the time after a return within which all is written again.
	rewriteTime = 1500 * clock.Millis(1)
	// settleTime is the time without events before the end of a history.
	settleTime = 12 * clock.Second
)

type (
	// history simulates a store, endpoints and entries in virtual time.
	history struct {
		t         *testing.T
		random    *rand.Rand
		now       clock.Millis
		queue     eventQueue
		lastEvent uint64
		// hasSeries reports whether disturbances come in series, too.
		hasSeries bool
		trace     []string
		failure   string

		store     *modelStore
		entries   []*historyEntry
		byHost    map[string]*historyEntry
		endpoints []*historyEndpoint
		version   plan.Version
		lastEpoch uint64
		evacuated map[ident.Domain]bool

		*historyLog
	}

	// historyEntry is an entry. It reaches the store from storeCutUntil on, and other entries from peersCutUntil on.
	historyEntry struct {
		*testEntry
		index         int
		life          int
		reader        *reader.Reader
		watch         *watch
		storeCutUntil clock.Millis
		peersCutUntil clock.Millis
		// inTouchSince is the end of the last disturbance of the entry's reads and calls.
		inTouchSince clock.Millis
		*knowledge
	}

	// historyEndpoint is an endpoint, in its run epoch. It doesn't reach the store until cutUntil.
	historyEndpoint struct {
		name     ident.Endpoint
		epoch    uint64
		isLiving bool
		// isLeaving is set while the endpoint drains.
		isLeaving bool
		cutUntil  clock.Millis
	}

	event struct {
		at    clock.Millis
		order uint64
		run   func()
	}

	eventQueue []event
)

// historyRegressions are seeds beyond the default ones that have failed, some only once faults behind others were mended.
var historyRegressions = []uint64{
	339, 400, 931, 1107, 1378, 2846, 2992, 4190, 4215, 4682, 4812, 5053, 5456, 5590, 6632, 9968, 10179, 13195, 13923, 14323, 16326, 17683,
	19493, 19937, 24235, 28987, 36449, 38645,
}

// seriesRegressions are such seeds of histories with disturbances in series.
var seriesRegressions = []uint64{11674, 13931, 14888}

// Len and the others implement heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders by time, and then by the order of scheduling.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(event)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Random histories of a store that comes back from older copies, of what is published there and of entries that follow it. By default few
// of them run, and the ones that have failed.
func TestHistoriesOfPublishedState(t *testing.T) {
	playHistories(t, historiesVariable, historyRegressions, false)
}

// The same with disturbances that come in series: returns of the store shortly after one another, during rolling restarts of the
// entries, and right after changes that they undo.
func TestHistoriesWithDisturbancesInSeries(t *testing.T) {
	playHistories(t, seriesVariable, seriesRegressions, true)
}

// playHistories plays the regressions and the seeds of the variable, by default few of them.
func playHistories(t *testing.T, variable string, regressions []uint64, hasSeries bool) {
	first, last := uint64(1), uint64(300)
	if text := os.Getenv(variable); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	seeds := slices.Clone(regressions)
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	slices.Sort(seeds)
	for _, seed := range slices.Compact(seeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(t, seed, hasSeries)
			h.play()
			if h.failure != "" {
				t.Fatalf("seed %d: %s\n%s", seed, h.failure, strings.Join(h.trace, "\n"))
			}
		})
	}
}

func newHistory(t *testing.T, seed uint64, hasSeries bool) *history {
	h := &history{
		t: t, hasSeries: hasSeries, random: rand.New(rand.NewPCG(seed, 67)), now: 100 * clock.Second, store: newModelStore(), byHost: map[string]*historyEntry{},
		evacuated: map[ident.Domain]bool{}, historyLog: newHistoryLog(),
	}
	h.store.copies = append(h.store.copies, storeCopy{0, h.store.revision, map[string]storeItem{}})
	h.publishVersion()
	for i := range 6 {
		endpoint := &historyEndpoint{name: ident.Endpoint(fmt.Sprintf("desk-%d", i))}
		h.endpoints = append(h.endpoints, endpoint)
		if i < 4 {
			h.startEndpoint(endpoint)
		}
		h.after(h.between(0, heartbeat), func() { h.renew(endpoint) })
	}
	h.after(100, h.lapse)
	for i := range 3 + h.random.IntN(3) {
		e := &historyEntry{index: i}
		h.entries = append(h.entries, e)
		h.byHost[fmt.Sprintf("10.0.%d.%d", i%2, i)] = e
		h.after(h.between(0, 400), func() { h.startEntry(e) })
	}
	return h
}

// play runs the events of the history and checks the end.
func (h *history) play() {
	h.runFor(5 * clock.Second)
	for end := h.now + h.between(4000, 14000); h.now < end && h.failure == ""; {
		h.act()
		h.runFor(h.between(20, 900))
	}
	h.runFor(10 * clock.Second)
	h.trace = append(h.trace, fmt.Sprintf("%d settles", h.now))
	h.runFor(settleTime)
	for _, e := range h.entries {
		if h.failure == "" {
			h.checkEnd(e)
		}
	}
}

// runFor runs the events of the given time, until a check fails.
func (h *history) runFor(duration clock.Millis) {
	end := h.now + duration
	for h.failure == "" && len(h.queue) > 0 && h.queue[0].at <= end {
		next := heap.Pop(&h.queue).(event)
		h.now = next.at
		next.run()
	}
	h.now = end
}

func (h *history) after(pause clock.Millis, run func()) {
	h.lastEvent++
	heap.Push(&h.queue, event{h.now + pause, h.lastEvent, run})
}

// afterIn runs an event of an entry, unless it restarts before.
func (h *history) afterIn(e *historyEntry, pause clock.Millis, run func()) {
	life := e.life
	h.after(pause, func() {
		if e.life == life {
			run()
		}
	})
}

// between returns a random time from low to high.
func (h *history) between(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(h.random.IntN(int(high-low)+1))
}

// delay returns how long a message between an entry and the store takes. One in fifty is slow, which disturbs the entry.
func (h *history) delay(e *historyEntry) clock.Millis {
	if h.random.IntN(50) > 0 {
		return h.between(2, 40)
	}
	late := h.between(200, 1300)
	e.disturb(h.now + late)
	return late
}

// disturb records that the entry is not in touch until the time.
func (e *historyEntry) disturb(until clock.Millis) { e.inTouchSince = max(e.inTouchSince, until) }

func (h *history) canReach(e *historyEntry) bool { return !h.store.isAway && h.now >= e.storeCutUntil }

// isCut reports whether two entries can't reach each other. The other one may not have started yet.
func (h *history) isCut(e, other *historyEntry) bool {
	return other.testEntry == nil || h.now < max(e.peersCutUntil, other.peersCutUntil)
}

func (h *history) tracef(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf("%d ", h.now)+fmt.Sprintf(format, args...))
}

// startEntry starts or restarts an entry without any memory.
func (h *history) startEntry(e *historyEntry) {
	e.life++
	e.testEntry = newTestEntry(h.t)
	e.reader, e.watch = &reader.Reader{}, nil
	e.knowledge = newKnowledge()
	e.disturb(h.now + 2*clock.Second)
	b := e.board
	b.Now, b.StartedAt, b.Epoch = h.now, h.now, uint64(h.now)
	b.Self = ident.Entry(fmt.Sprintf("entry-%d", e.index))
	b.Tally = tally.New(b.Self, b.Epoch)
	b.Domain = []ident.Domain{"north", "south"}[e.index%2]
	b.Address = fmt.Sprintf("10.0.%d.%d:9000", e.index%2, e.index)
	b.Capacity = 800 - 10*e.index
	b.Seeds = []string{"10.0.0.0:9000", "10.0.1.1:9000"}
	b.InvalidateRoster()
	e.outputs = nil
	h.tracef("%s starts", b.Self)
	h.readNext(e)
	h.tick(e)
}

func (h *history) tick(e *historyEntry) {
	h.step(e, input.Ticked{})
	h.check(e)
	h.afterIn(e, historyTick, func() { h.tick(e) })
}

// step passes an input to an entry, and records what it knew when its list moves to another era.
func (h *history) step(e *historyEntry, in input.Input) {
	b := e.board
	b.Now = h.now
	before, hadList := b.ListAt.Era, b.HasList
	var known eraKnowledge
	switch in.(type) {
	case input.ListRead, input.ListReceived:
		known = h.knownOf(e)
	}
	outputs := e.step(in)
	e.outputs = nil
	if b.ListAt.Era != before {
		h.recordMove(e, known, hadList)
	}
	h.carryOut(e, outputs)
}

// write changes a record of the store, unless that is away.
func (h *history) write(key string, value any) {
	h.store.write(key, value, h.now)
	h.tracef("store %v: %s = %v", h.store.at(), key, value)
	h.recordWrite(key, value)
	for _, e := range h.entries {
		if e.testEntry != nil {
			h.answerWatch(e, false)
		}
	}
}

// publish writes what its owner wants to be in the store, now or once it is back.
func (h *history) publish(key string, isForced bool) {
	if h.store.isAway {
		h.after(h.between(50, 200), func() { h.publish(key, isForced) })
		return
	}
	value, owned := h.wanted(key)
	item, isThere := h.store.items[key]
	if !owned || value == item.value && !isForced || value == nil && !isThere {
		return
	}
	h.write(key, value)
}

// wanted returns what the owner of a record wants it to be. isOwned is false if there is no owner who could write it.
func (h *history) wanted(key string) (value any, isOwned bool) {
	if key == configKey {
		return h.version, true
	}
	if domain, isEvacuation := strings.CutPrefix(key, evacuatePrefix); isEvacuation {
		if h.evacuated[ident.Domain(domain)] {
			return true, true
		}
		return nil, true
	}
	for _, endpoint := range h.endpoints {
		if endpointsPrefix+string(endpoint.name) != key {
			continue
		}
		if !endpoint.isLiving {
			return nil, true
		}
		return endpoint.listing(), h.now >= endpoint.cutUntil
	}
	return nil, false
}

// listing returns the record of an endpoint.
func (e *historyEndpoint) listing() pool.Listing {
	listing := eraListing(e.name)
	listing.Epoch, listing.Leaving = e.epoch, e.isLeaving
	listing.Domain = []ident.Domain{"north", "south", "harbour"}[int(e.name[len(e.name)-1])%3]
	listing.Address = "10.2.0." + string(e.name[len(e.name)-1:]) + ":80"
	return listing
}

func (e *historyEndpoint) key() string { return endpointsPrefix + string(e.name) }

// renew renews the record of an endpoint.
func (h *history) renew(endpoint *historyEndpoint) {
	h.after(h.between(heartbeat-100, heartbeat), func() { h.renew(endpoint) })
	if !endpoint.isLiving || h.store.isAway || h.now < endpoint.cutUntil {
		return
	}
	h.publish(endpoint.key(), false)
	item := h.store.items[endpoint.key()]
	item.renewedAt = h.now
	h.store.items[endpoint.key()] = item
}

// lapse removes the records that nobody has renewed for three heartbeats.
func (h *history) lapse() {
	h.after(100, h.lapse)
	for _, key := range h.store.keys(endpointsPrefix) {
		if !h.store.isAway && h.now-h.store.items[key].renewedAt > 3*heartbeat {
			h.write(key, nil)
		}
	}
}
