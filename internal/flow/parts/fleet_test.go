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
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

const (
	fleetTick = 5 * clock.Millis(1)
	// datagramDelay is the time from sending a datagram to its arrival.
	datagramDelay = 5 * clock.Millis(1)
	// fetchDuration is how long the transfer of a large document to a small instance takes.
	fetchDuration = 200 * clock.Millis(1)
)

type (
	// fleet simulates several entries that exchange datagrams, in virtual time.
	fleet struct {
		t              *testing.T
		domains        []ident.Domain
		options        []peers.Option
		now            clock.Millis
		entries        []*fleetEntry
		entriesByHost  map[string]*fleetEntry
		inTransit      []datagram
		pendingTimers  []pendingTimer
		pendingFetches []pendingFetch
		// sentDatagrams counts all datagrams. While isMeasuring is set, traffic counts
		// their bytes by host.
		sentDatagrams int
		isMeasuring   bool
		// disturb returns by how much a datagram to the address is late, and whether it is lost; may be nil.
		disturb func(from *fleetEntry, to string) (late clock.Millis, isLost bool)
		traffic map[string]*traffic
		// loss is the share of datagrams that are lost, isCut reports whether two hosts can't reach
		// each other; nil if all can.
		loss  float64
		isCut func(from, to string) bool
	}

	// fleetEntry is one entry of a fleet.
	fleetEntry struct {
		*testEntry
		host   string
		isDown bool
		// sentDatagrams counts the datagrams of the entry, and fetchCount its calls for
		// published state.
		sentDatagrams int
		fetchCount    int
	}

	// pendingFetch is a call for the published state of another entry.
	pendingFetch struct {
		at       clock.Millis
		from, to *fleetEntry
	}

	// pendingTimer is a timer that an entry has set.
	pendingTimer struct {
		at    clock.Millis
		entry *fleetEntry
	}

	// datagram is a datagram in transit.
	datagram struct {
		at    clock.Millis
		to    string
		batch input.Batch
	}
)

// newFleet starts entries in three failure domains by turns. The first entry of each
// domain has a larger capacity than the others and is a seed.
func newFleet(t *testing.T, count int, options ...peers.Option) *fleet {
	return newFleetIn(t, []ident.Domain{"north", "south", "harbour"}, count, options...)
}

// newFleetIn starts entries in the given failure domains by turns.
func newFleetIn(t *testing.T, domains []ident.Domain, count int, options ...peers.Option) *fleet {
	f := &fleet{t: t, domains: domains, options: options, now: 100 * clock.Second, entriesByHost: map[string]*fleetEntry{}}
	for i := range count {
		f.start(i)
	}
	return f
}

// start starts the entry with index i, or restarts it with empty state.
func (f *fleet) start(i int) {
	domains := f.domains
	e := newTestEntry(f.t, f.options...)
	e.board.Now = f.now
	capacity := 134
	if i < len(domains) {
		capacity = 800 - i
	}
	host := fmt.Sprintf("10.0.%d.%d", i%len(domains), i)
	e.board.Self = ident.Entry(fmt.Sprintf("entry-%03d", i))
	e.board.Epoch = uint64(f.now)
	e.board.StartedAt = f.now
	e.board.Tally = tally.New(e.board.Self, e.board.Epoch)
	e.board.Domain = domains[i%len(domains)]
	e.board.Address = host + ":9000"
	e.board.Capacity = capacity
	e.board.InvalidateRoster()
	for i := range domains {
		e.board.Seeds = append(e.board.Seeds, fmt.Sprintf("10.0.%d.%d:9000", i, i))
	}
	e.configure(6)
	e.outputs = nil
	entry := &fleetEntry{testEntry: e, host: host}
	if previous := f.entriesByHost[host]; previous != nil {
		*previous = *entry
		return
	}
	f.entriesByHost[host] = entry
	f.entries = append(f.entries, entry)
}

// carryOut executes the outputs of an entry: it schedules datagrams, timers and calls.
func (f *fleet) carryOut(entry *fleetEntry, outputs []output.Output) {
	for _, out := range outputs {
		switch out := out.(type) {
		case output.SendBatch:
			f.countTraffic(entry, out)
			for _, address := range out.Addresses {
				f.sentDatagrams++
				entry.sentDatagrams++
				late, isLost := clock.Millis(0), false
				if f.disturb != nil {
					late, isLost = f.disturb(entry, address)
				}
				to, _, _ := strings.Cut(address, ":")
				isLost = isLost || f.isCut != nil && f.isCut(entry.host, to) || f.loss > 0 && entry.board.Random.Float64() < f.loss
				if !isLost {
					f.inTransit = append(f.inTransit, datagram{f.now + datagramDelay + late, address, out.Batch})
				}
			}
		case output.SetTimer:
			f.pendingTimers = append(f.pendingTimers, pendingTimer{f.now + out.After, entry})
		case output.FetchPublished:
			entry.fetchCount++
			host, _, _ := strings.Cut(out.Address, ":")
			if other := f.entriesByHost[host]; other != nil && !other.isDown && (f.isCut == nil || !f.isCut(entry.host, host)) {
				f.pendingFetches = append(f.pendingFetches, pendingFetch{f.now + fetchDuration, entry, other})
			}
		}
	}
}

// advance moves the virtual time forward by the given time. Entries that read published
// state confirm it at regular intervals, as their reads would.
func (f *fleet) advance(duration clock.Millis) {
	for end := f.now + duration; f.now < end; {
		f.now += fleetTick
		var later []datagram
		due := f.inTransit
		f.inTransit = nil
		for _, arriving := range due {
			host, _, _ := strings.Cut(arriving.to, ":")
			to := f.entriesByHost[host]
			switch {
			case arriving.at > f.now:
				later = append(later, arriving)
			case to != nil && !to.isDown:
				to.board.Now = f.now
				f.carryOut(to, to.step(input.NewsReceived{Batch: arriving.batch}))
			}
		}
		f.inTransit = append(f.inTransit, later...)
		f.fireTimers()
		f.answerFetches()
		for _, entry := range f.entries {
			if entry.isDown {
				continue
			}
			entry.board.Now = f.now
			if f.now%(50*fleetTick) == 0 && peers.RoleOf(entry.board) != peers.RoleNone {
				f.carryOut(entry, entry.step(input.Confirmed{}))
			}
			if f.now%(10*fleetTick) == 0 {
				f.carryOut(entry, entry.step(input.Ticked{}))
			}
		}
	}
}

// fireTimers passes input.TimerFired to the entries whose timers are due.
func (f *fleet) fireTimers() {
	timers := f.pendingTimers
	f.pendingTimers = nil
	for _, timer := range timers {
		switch {
		case timer.at > f.now:
			f.pendingTimers = append(f.pendingTimers, timer)
		case !timer.entry.isDown:
			timer.entry.board.Now = f.now
			f.carryOut(timer.entry, timer.entry.step(input.TimerFired{}))
		}
	}
}

// answerFetches completes the calls for published state that are due.
func (f *fleet) answerFetches() {
	fetches := f.pendingFetches
	f.pendingFetches = nil
	for _, fetch := range fetches {
		switch {
		case fetch.at > f.now:
			f.pendingFetches = append(f.pendingFetches, fetch)
		case !fetch.from.isDown:
			fetch.from.board.Now = f.now
			source := fetch.to.board
			received := input.ListReceived{
				List: source.Pool.Snapshot(f.now), Departed: source.Pool.Departures(f.now), At: source.ListAt, LastAt: source.Pool.LastAt(), EraAge: f.now - source.EraSince, Evacuated: source.Pool.Evacuated(),
			}
			if list, removed, isDelta := source.Pool.Delta(fetch.from.board.ListAt, f.now); isDelta {
				received.List, received.Departed, received.IsDelta = list, removed, true
			}
			f.carryOut(fetch.from, fetch.from.step(received))
			f.carryOut(fetch.from, fetch.from.step(input.PlanRead{Plan: source.Plan}))
			f.carryOut(fetch.from, fetch.from.step(input.FetchEnded{}))
		}
	}
}

// countRoles returns the number of running entries in each role.
func (f *fleet) countRoles() map[peers.Role]int {
	counts := map[peers.Role]int{}
	for _, entry := range f.entries {
		if !entry.isDown {
			counts[peers.RoleOf(entry.board)]++
		}
	}
	return counts
}

// requireAllLive checks that every running entry has received a recent message from each
// other one.
func (f *fleet) requireAllLive() {
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

// request passes a caller's request to the entry. It returns the number of the request and
// the output for it.
func (f *fleet) request(entry *fleetEntry, path string, tokens int) (uint64, output.Output) {
	entry.outputs = nil
	number, out := entry.request(path, tokens, 10*clock.Second)
	f.carryOut(entry, entry.outputs)
	return number, out
}

// countInformed returns the number of entries that know of a load at the endpoint.
func (f *fleet) countInformed(endpoint ident.Endpoint) int {
	count := 0
	for _, entry := range f.entries {
		if !entry.isDown && entry.board.Pool.Find(endpoint).Leads() > 0 {
			count++
		}
	}
	return count
}

// Guards against traffic that grows with the square of the number of entries: the number
// of datagrams per entry must stay about the same, and small entries must send few, since
// the large ones forward them.
func TestDatagramsGrowWithTheFleet(t *testing.T) {
	perEntry := map[int]float64{}
	for _, size := range []int{30, 120} {
		f := newFleet(t, size)
		f.advance(5 * clock.Second)
		f.requireAllLive()
		f.sentDatagrams = 0
		f.advance(5 * clock.Second)
		perEntry[size] = float64(f.sentDatagrams) / float64(size)
		// Small entries send only to their hub, once per RoundInterval.
		require.LessOrEqual(t, f.entries[size-1].sentDatagrams, int(10*clock.Second/peers.RoundInterval)+20)
	}
	require.LessOrEqual(t, perEntry[120], 1.3*perEntry[30])
}

// The load that a send adds is known at all other entries within 100 ms.
func TestLoadReachesOtherEntriesSoon(t *testing.T) {
	f := newFleet(t, 30)
	f.advance(5 * clock.Second)
	sender := f.entries[20]
	number, out := f.request(sender, "/short/1", 5000)
	send := requireSend(t, out)
	require.Equal(t, 1, f.countInformed(send.Endpoint))
	f.advance(100)
	require.Equal(t, 30, f.countInformed(send.Endpoint))
	f.carryOut(sender, sender.step(input.SendEnded{Result: completeResult(number)}))
	f.advance(150)
	require.Zero(t, f.countInformed(send.Endpoint))
}

// Guards against load that outlives its entry: one that restarts within the timeouts and runs nothing sends no
// load, and its hub must not keep the one from before the restart.
func TestLoadOfRestartedEntryVanishes(t *testing.T) {
	f := newFleet(t, 30)
	f.advance(5 * clock.Second)
	_, out := f.request(f.entries[20], "/short/1", 5000)
	send := requireSend(t, out)
	f.advance(200)
	require.Equal(t, 30, f.countInformed(send.Endpoint))
	f.start(20)
	f.advance(2 * clock.Second)
	require.Zero(t, f.countInformed(send.Endpoint))
}

// When the hub of a failure domain fails, another entry replaces it. After the restart of
// the former hub each domain must again have exactly one hub.
func TestHubIsReplaced(t *testing.T) {
	f := newFleet(t, 30)
	f.advance(5 * clock.Second)
	f.entries[1].isDown = true
	f.advance(1500)
	sender := f.entries[4]
	require.Equal(t, ident.Domain("south"), sender.board.Domain)
	_, out := f.request(sender, "/short/1", 5000)
	send := requireSend(t, out)
	f.advance(100)
	require.Equal(t, 29, f.countInformed(send.Endpoint))
	f.advance(3 * clock.Second)
	f.requireAllLive()
	require.Equal(t, map[peers.Role]int{peers.RoleHub: 3, peers.RoleNone: 26}, f.countRoles())

	f.start(1)
	f.advance(3 * clock.Second)
	f.requireAllLive()
	require.Equal(t, map[peers.Role]int{peers.RoleHub: 3, peers.RoleNone: 27}, f.countRoles())
}

// Entries that start at the same time discover each other, also after all of them were
// killed.
func TestEntriesDiscoverEachOther(t *testing.T) {
	f := newFleet(t, 40)
	f.advance(3 * clock.Second)
	f.requireAllLive()
	for i := range f.entries {
		f.start(i)
	}
	f.advance(4 * clock.Second)
	f.requireAllLive()
}

// One entry of each failure domain reads published state. Another entry becomes a spare
// reader if no reader has confirmed the state for 1.5 s.
func TestRolesOfReaders(t *testing.T) {
	f := newFleet(t, 30)
	f.advance(4 * clock.Second)
	require.Equal(t, map[peers.Role]int{peers.RoleHub: 3, peers.RoleNone: 27}, f.countRoles())

	e := newTestEntry(t).configure(4)
	require.Equal(t, peers.RoleHub, peers.RoleOf(e.board), "alone")
	receiveNews := func(age clock.Millis) {
		e.receiveNews("entry-9", func(n *input.News) {
			n.Domain = "north"
			n.Capacity = 800
			n.ConfirmedAt = e.board.Now - age
		})
	}
	receiveNews(0)
	require.Equal(t, peers.RoleNone, peers.RoleOf(e.board))
	e.advance(1000)
	receiveNews(1000)
	require.Equal(t, peers.RoleNone, peers.RoleOf(e.board))
	e.advance(500)
	receiveNews(1500)
	require.Equal(t, peers.RoleSpare, peers.RoleOf(e.board))
}

// A change of the list reaches all entries through their hubs, and a late input with an
// older revision changes nothing.
func TestChangedListReachesAllEntries(t *testing.T) {
	f := newFleet(t, 30)
	f.advance(4 * clock.Second)
	for _, entry := range f.entries {
		entry.fetchCount = 0
	}
	hub := f.entries[0]
	leaving := pool.Listing{Name: "engine-03", Service: engines, Address: "10.1.0.3:80", Slots: 16, Leaving: true, Epoch: 1}
	f.carryOut(hub, hub.step(input.EndpointRead{Record: leaving, At: point.Point{Revision: 20}}))
	f.advance(1000)
	for _, entry := range f.entries {
		require.True(t, entry.board.Pool.Find("engine-03").Leaving, entry.board.Self)
		require.Equal(t, point.Point{Revision: 20}, entry.board.ListAt)
	}
	// Each entry may fetch only once, since documents of a megabyte saturate the links of
	// small instances.
	for _, entry := range f.entries {
		require.LessOrEqual(t, entry.fetchCount, 1)
	}
	outdated := leaving
	outdated.Leaving = false
	hub.step(input.EndpointRead{Record: outdated, At: point.Point{Revision: 15}})
	require.True(t, hub.board.Pool.Find("engine-03").Leaving)
}
