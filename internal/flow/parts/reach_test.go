package parts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/place"
	"mustardhook/internal/flow/pool"
)

// cutOffSouth makes the failure domain south unresponsive, and lets a request fail there.
func (e *testEntry) cutOffSouth() {
	e.receiveNews("entry-2", nil)
	e.advance(1500)
	number, got := e.request("/short/1", 5000, 10000)
	requireSend(e.t, got)
	e.board.Requests[number].Endpoint = "engine-01"
	e.endSend(call.Result{Number: number, End: call.EndNotRun, Unreachable: true})
	require.True(e.t, e.board.Pool.IsUnreachable("south"))
}

// countSouth returns how many of 40 short prompts and of the engines of a long prompt are in
// the failure domain south.
func (e *testEntry) countSouth() int {
	count := 0
	add := func(name ident.Endpoint) {
		if e.board.Pool.Find(name).Domain == "south" {
			count++
		}
	}
	for range 40 {
		number, got := e.request("/short/1", 5000, 10000)
		add(requireSend(e.t, got).Endpoint)
		e.endSend(completeResult(number))
	}
	number, got := e.request("/long/1", 154000, 15000)
	send := requireSend(e.t, got)
	add(send.Endpoint)
	for _, helper := range send.Helpers {
		add(helper.Endpoint)
	}
	e.endSend(completeResult(number))
	return count
}

// Pattern: one failure domain of several is cut off for seconds. As long as nothing is heard
// from there, no request may be sent there, since each would stall; long prompts use engines
// of most failure domains, so nearly all of them would.
func TestDomainStaysUnreachableWhileItIsCutOff(t *testing.T) {
	e := newTestEntry(t).configure(12)
	e.cutOffSouth()
	for range 20 {
		e.advance(500)
		require.Zero(t, e.countSouth())
	}
}

// Pattern: a failure domain that was cut off is reachable again. Its engines must be in use
// as soon as one of its entries is heard.
func TestDomainIsReadmittedWhenItsEntriesRespond(t *testing.T) {
	e := newTestEntry(t).configure(12)
	e.cutOffSouth()
	e.advance(6000)
	e.receiveNews("entry-2", nil)
	e.advance(50)
	require.NotZero(t, e.countSouth())
}

// Pattern: all entries of a failure domain have stopped and its engines run. They must be in
// use once one of them gave a report, and few reports may be requested.
func TestDomainIsReadmittedWhenAnEngineReports(t *testing.T) {
	e := newTestEntry(t).configure(12)
	e.cutOffSouth()
	e.outputs = nil
	e.advance(8 * clock.Second)
	requested := 0
	for name, count := range e.paceRequests() {
		if e.board.Pool.Find(name).Domain == "south" {
			requested += count
		}
	}
	require.GreaterOrEqual(t, requested, 3)
	require.LessOrEqual(t, requested, 5)
	e.step(input.PaceReported{Endpoint: "engine-01", Factor: 1})
	require.NotZero(t, e.countSouth())
}

// Pattern: a failure domain is cut off from a large fleet, in which each entry sends only a
// request a second. A failure that another entry has published must suffice, or each entry
// would lose requests before it knows.
func TestFailureAtAnotherEntryShowsThatADomainIsUnreachable(t *testing.T) {
	e := newTestEntry(t).configure(12)
	e.receiveNews("entry-2", nil)
	e.advance(800)
	require.False(t, e.board.Pool.IsUnreachable("south"))
	e.receiveNews("entry-3", func(n *input.News) {
		n.Domain = "harbour"
		n.FailureCounts = map[pool.Hash]int{pool.HashOf("engine-01"): 1, pool.HashOf("engine-04"): 1}
	})
	e.advance(50)
	require.True(t, e.board.Pool.IsUnreachable("south"))
}

// Guards against giving up a failure domain whose hub is busy for a second, for instance with a
// large configuration: a faulty engine, a plain service that fails requests and failures from
// the time before are no signs.
func TestBusyHubDoesNotMakeItsDomainUnreachable(t *testing.T) {
	e := newTestEntry(t).configure(12)
	e.receiveNews("entry-3", func(n *input.News) {
		n.Domain = "harbour"
		n.FailureCounts = map[pool.Hash]int{pool.HashOf("engine-01"): 1, pool.HashOf("engine-04"): 1}
	})
	e.advance(50)
	e.receiveNews("entry-2", nil)
	e.advance(900)
	e.receiveNews("entry-3", func(n *input.News) {
		n.Domain = "harbour"
		n.FailureCounts = map[pool.Hash]int{
			pool.HashOf("engine-01"): 2, pool.HashOf("engine-04"): 1, pool.HashOf("desk-1"): 3,
		}
	})
	e.advance(50)
	require.True(t, e.board.IsUnresponsive("south", place.DomainTimeout))
	require.False(t, e.board.Pool.IsUnreachable("south"))
}

// Guards against a failure domain that seems to respond while it is cut off, because hubs of
// other failure domains repeat the news of its entries.
func TestRepeatedNewsIsNoSignOfLife(t *testing.T) {
	f := newFleet(t, 30)
	f.advance(4 * clock.Second)
	cut := ident.Domain("south")
	for _, entry := range f.entries {
		entry.isDown = entry.board.Domain == cut
	}
	f.advance(1500)
	for range 20 {
		f.advance(100)
		for _, entry := range f.entries {
			if !entry.isDown {
				require.False(t, entry.board.HasResponsiveEntry(cut, place.DomainTimeout), "%s at %s", entry.board.Self, f.now)
			}
		}
	}
}

// Guards against failure domains that seem unresponsive in a calm fleet, since news of them
// travels over two hubs: one failed send would make their engines unusable.
func TestDomainsOfCalmFleetRespond(t *testing.T) {
	f := newFleet(t, 60)
	f.advance(4 * clock.Second)
	oldest := clock.Millis(0)
	for range 200 {
		f.advance(50)
		for _, entry := range f.entries {
			for _, domain := range entry.board.Domains() {
				newest := clock.Millis(0)
				for _, member := range entry.board.Roster(domain) {
					if member.Peer != nil {
						newest = max(newest, member.Peer.LastSeenAt)
					}
				}
				oldest = max(oldest, f.now-newest)
			}
		}
	}
	require.LessOrEqual(t, oldest, place.DomainTimeout)
}
