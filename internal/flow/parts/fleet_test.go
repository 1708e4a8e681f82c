package parts

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

const (
	fleetTick = 5 * clock.Millis(1)
	// hop is the time of a datagram on its way.
	hop = 5 * clock.Millis(1)
	// fetchTime is how long a large document takes over the link of a small instance.
	fetchTime = 200 * clock.Millis(1)
)

type (
	// fleet plays several entries that hear one another by datagrams, in virtual time.
	fleet struct {
		t       *testing.T
		options []peers.Option
		now     clock.Millis
		entries []*fleetEntry
		byHost  map[string]*fleetEntry
		onWay   []datagram
		wakes   []wake
		calls   []fetching
		// sent counts datagrams, traffic their bytes by host where countBytes is set.
		sent       int
		countBytes bool
		traffic    map[string]*traffic
	}

	fleetEntry struct {
		*world
		host   string
		isDown bool
		// sent and fetched count datagrams and calls for published state.
		sent    int
		fetched int
	}

	// fetching is a call for published state of another entry.
	fetching struct {
		at       clock.Millis
		from, to *fleetEntry
	}

	wake struct {
		at    clock.Millis
		entry *fleetEntry
	}

	datagram struct {
		at    clock.Millis
		to    string
		batch input.Batch
	}
)

// newFleet starts entries in three failure domains side by side; the first of
// each domain is larger than the others and is a seed.
func newFleet(t *testing.T, count int, options ...peers.Option) *fleet {
	f := &fleet{t: t, options: options, now: 100 * clock.Second, byHost: map[string]*fleetEntry{}}
	for i := range count {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	domains := []ident.Domain{"north", "south", "harbour"}
	w := newWorld(f.t, f.options...)
	w.board.Now = f.now
	capacity := 134
	if i < len(domains) {
		capacity = 800 - i
	}
	host := fmt.Sprintf("10.0.%d.%d", i%len(domains), i)
	w.board.Self = ident.Entry(fmt.Sprintf("entry-%03d", i))
	w.board.Epoch = uint64(f.now)
	w.board.Tally = tally.New(w.board.Self, w.board.Epoch)
	w.board.Domain = domains[i%len(domains)]
	w.board.Address = host + ":9000"
	w.board.Capacity = capacity
	w.board.InvalidateRoster()
	w.board.Seeds = []string{"10.0.0.0:9000", "10.0.1.1:9000", "10.0.2.2:9000"}
	w.serve(6)
	w.outputs = nil
	entry := &fleetEntry{world: w, host: host}
	if before := f.byHost[host]; before != nil {
		*before = *entry
		return
	}
	f.byHost[host] = entry
	f.entries = append(f.entries, entry)
}

func (f *fleet) collect(entry *fleetEntry, emitted []output.Output) {
	for _, wanted := range emitted {
		switch wanted := wanted.(type) {
		case output.SendBatch:
			f.count(entry, wanted)
			for _, address := range wanted.Addresses {
				f.sent++
				entry.sent++
				f.onWay = append(f.onWay, datagram{f.now + hop, address, wanted.Batch})
			}
		case output.SetTimer:
			f.wakes = append(f.wakes, wake{f.now + wanted.After, entry})
		case output.FetchPublished:
			entry.fetched++
			host, _, _ := strings.Cut(wanted.Address, ":")
			if other := f.byHost[host]; other != nil && !other.isDown {
				f.calls = append(f.calls, fetching{f.now + fetchTime, entry, other})
			}
		}
	}
}

// pass lets the span go by. Hubs confirm published state as their reads would.
func (f *fleet) pass(span clock.Millis) {
	for end := f.now + span; f.now < end; {
		f.now += fleetTick
		var later []datagram
		due := f.onWay
		f.onWay = nil
		for _, sent := range due {
			host, _, _ := strings.Cut(sent.to, ":")
			to := f.byHost[host]
			switch {
			case sent.at > f.now:
				later = append(later, sent)
			case to != nil && !to.isDown:
				to.board.Now = f.now
				f.collect(to, to.step(input.NewsReceived{Batch: sent.batch}))
			}
		}
		f.onWay = append(f.onWay, later...)
		f.wake()
		f.answer()
		for _, entry := range f.entries {
			if entry.isDown {
				continue
			}
			entry.board.Now = f.now
			if f.now%(50*fleetTick) == 0 && peers.RoleOf(entry.board) != peers.RoleNone {
				f.collect(entry, entry.step(input.Confirmed{}))
			}
			if f.now%(10*fleetTick) == 0 {
				f.collect(entry, entry.step(input.Ticked{}))
			}
		}
	}
}

func (f *fleet) wake() {
	waiting := f.wakes
	f.wakes = nil
	for _, asked := range waiting {
		switch {
		case asked.at > f.now:
			f.wakes = append(f.wakes, asked)
		case !asked.entry.isDown:
			asked.entry.board.Now = f.now
			f.collect(asked.entry, asked.entry.step(input.TimerFired{}))
		}
	}
}

func (f *fleet) answer() {
	waiting := f.calls
	f.calls = nil
	for _, made := range waiting {
		switch {
		case made.at > f.now:
			f.calls = append(f.calls, made)
		case !made.from.isDown:
			made.from.board.Now = f.now
			given := made.to.board
			told := input.ListReceived{List: given.Pool.Snapshot(f.now), Revision: given.ListRevision}
			if list, gone, isKnown := given.Pool.Delta(made.from.board.ListRevision, f.now); isKnown {
				told = input.ListReceived{List: list, Removed: gone, Revision: given.ListRevision, IsDelta: true}
			}
			f.collect(made.from, made.from.step(told))
			f.collect(made.from, made.from.step(input.PlanRead{Plan: given.Plan}))
			f.collect(made.from, made.from.step(input.FetchEnded{}))
		}
	}
}

func (f *fleet) roles() map[peers.Role]int {
	found := map[peers.Role]int{}
	for _, entry := range f.entries {
		if !entry.isDown {
			found[peers.RoleOf(entry.board)]++
		}
	}
	return found
}

// requireKnown checks that every entry has heard of all others lately.
func (f *fleet) requireKnown() {
	f.t.Helper()
	for _, entry := range f.entries {
		for _, other := range f.entries {
			if entry == other || entry.isDown || other.isDown {
				continue
			}
			peer := entry.board.Peers[other.board.Self]
			require.NotNil(f.t, peer, "%s does not know %s", entry.board.Self, other.board.Self)
			require.LessOrEqual(f.t, f.now-peer.LastSeenAt, peers.UnresponsiveTimeout)
		}
	}
}

// ask brings a caller's request to the entry.
func (f *fleet) ask(entry *fleetEntry, path string, tokens int) (uint64, output.Output) {
	entry.outputs = nil
	number, got := entry.ask(path, tokens, 10*clock.Second)
	f.collect(entry, entry.outputs)
	return number, got
}

// sees counts the entries that know of work at the endpoint.
func (f *fleet) sees(endpoint ident.Endpoint) int {
	count := 0
	for _, entry := range f.entries {
		if !entry.isDown && entry.board.Pool.Find(endpoint).Leads() > 0 {
			count++
		}
	}
	return count
}

// Answers many small entries: datagrams grow with the entries, not with their
// square, and the few large ones carry them.
func TestDatagramsGrowWithTheFleet(t *testing.T) {
	perEntry := map[int]float64{}
	for _, size := range []int{30, 120} {
		f := newFleet(t, size)
		f.pass(5 * clock.Second)
		f.requireKnown()
		f.sent = 0
		f.pass(5 * clock.Second)
		perEntry[size] = float64(f.sent) / float64(size)
		// Small entries speak to their hub alone, each RoundSpan.
		require.LessOrEqual(t, f.entries[size-1].sent, int(10*clock.Second/peers.RoundInterval)+20)
	}
	require.LessOrEqual(t, perEntry[120], 1.3*perEntry[30])
}

// What one entry sends is known at all others within 100 ms.
func TestWorkIsKnownElsewhereSoon(t *testing.T) {
	f := newFleet(t, 30)
	f.pass(5 * clock.Second)
	asking := f.entries[20]
	number, got := f.ask(asking, "/short/1", 5000)
	send := requireSend(t, got)
	require.Equal(t, 1, f.sees(send.Endpoint))
	f.pass(100)
	require.Equal(t, 30, f.sees(send.Endpoint))
	f.collect(asking, asking.step(input.SendEnded{Result: resultOf(number)}))
	f.pass(150)
	require.Zero(t, f.sees(send.Endpoint))
}

// When the hub of a failure domain ends, another entry takes over.
func TestHubIsReplaced(t *testing.T) {
	f := newFleet(t, 30)
	f.pass(5 * clock.Second)
	f.entries[1].isDown = true
	f.pass(1500)
	asking := f.entries[4]
	require.Equal(t, ident.Domain("south"), asking.board.Domain)
	_, got := f.ask(asking, "/short/1", 5000)
	send := requireSend(t, got)
	f.pass(100)
	require.Equal(t, 29, f.sees(send.Endpoint))
	f.pass(3 * clock.Second)
	f.requireKnown()
	require.Equal(t, map[peers.Role]int{peers.RoleHub: 3, peers.RoleNone: 26}, f.roles())

	f.start(1)
	f.pass(3 * clock.Second)
	f.requireKnown()
	require.Equal(t, map[peers.Role]int{peers.RoleHub: 3, peers.RoleNone: 27}, f.roles())
}

// All entries that start at once find each other, also when they were all killed.
func TestFleetFindsItself(t *testing.T) {
	f := newFleet(t, 40)
	f.pass(3 * clock.Second)
	f.requireKnown()
	for i := range f.entries {
		f.start(i)
	}
	f.pass(4 * clock.Second)
	f.requireKnown()
}

// One entry of each failure domain reads published state; another one follows when
// the word of all readers stays out.
func TestReaders(t *testing.T) {
	f := newFleet(t, 30)
	f.pass(4 * clock.Second)
	require.Equal(t, map[peers.Role]int{peers.RoleHub: 3, peers.RoleNone: 27}, f.roles())

	w := newWorld(t).serve(4)
	require.Equal(t, peers.RoleHub, peers.RoleOf(w.board), "alone")
	hear := func(age clock.Millis) {
		w.hear("entry-9", func(n *input.News) {
			n.Domain = "north"
			n.Capacity = 800
			n.ConfirmedAt = w.board.Now - age
		})
	}
	hear(0)
	require.Equal(t, peers.RoleNone, peers.RoleOf(w.board))
	w.pass(1000)
	hear(1000)
	require.Equal(t, peers.RoleNone, peers.RoleOf(w.board))
	w.pass(500)
	hear(1500)
	require.Equal(t, peers.RoleSpare, peers.RoleOf(w.board))
}

// A changed list reaches all entries through their hubs, and a late word of an
// older one changes nothing.
func TestListReachesAll(t *testing.T) {
	f := newFleet(t, 30)
	f.pass(4 * clock.Second)
	for _, entry := range f.entries {
		entry.fetched = 0
	}
	hub := f.entries[0]
	leaving := pool.Listing{Name: "engine-03", Service: engines, Address: "10.1.0.3:80", Slots: 16, Leaving: true, Epoch: 1}
	f.collect(hub, hub.step(input.EndpointRead{Entry: leaving, Revision: 20}))
	f.pass(1000)
	for _, entry := range f.entries {
		require.True(t, entry.board.Pool.Find("engine-03").Leaving, entry.board.Self)
		require.Equal(t, uint64(20), entry.board.ListRevision)
	}
	// Every entry asks once: documents of a megabyte fill the links of small instances.
	for _, entry := range f.entries {
		require.LessOrEqual(t, entry.fetched, 1)
	}
	late := leaving
	late.Leaving = false
	hub.step(input.EndpointRead{Entry: late, Revision: 15})
	require.True(t, hub.board.Pool.Find("engine-03").Leaving)
}
