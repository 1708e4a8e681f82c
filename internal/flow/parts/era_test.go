package parts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/evac"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

const (
	// eraHold is how long what an entry knows from the era before holds, by the default settings.
	eraHold = 3*1200 + pool.RemovalGrace
	// expiryDelay is the longest time until a hold that has ended is noticed.
	expiryDelay = 1100 * clock.Millis(1)
)

// eraListing returns the record of an endpoint of the service desk.
func eraListing(name ident.Endpoint) pool.Listing {
	return pool.Listing{Name: name, Service: desk, Slots: 6, Address: "10.2.0.9:80", Domain: "north", Epoch: 1}
}

// newEraEntry returns an entry that has read the endpoints at revision 50 of the first era.
func newEraEntry(t *testing.T, names ...ident.Endpoint) *testEntry {
	e := newTestEntry(t)
	e.board.Settings.HeartbeatInterval = 1200
	e.step(input.PlanRead{Plan: testPlan(5)})
	var list []pool.Listing
	for _, name := range names {
		list = append(list, eraListing(name))
	}
	e.step(input.ListRead{List: list, At: point.Point{Era: 1, Revision: 50}})
	return e
}

// readOn lets the entry read published state without changes for the given time.
func (e *testEntry) readOn(span clock.Millis) {
	const pause = 200 * clock.Millis(1)
	for ; span > 0; span -= pause {
		e.step(input.Confirmed{At: e.board.ListAt})
		e.advance(min(span, pause))
	}
}

// isUsed reports whether the entry may send to the endpoint.
func (e *testEntry) isUsed(name ident.Endpoint) bool {
	endpoint := e.board.Pool.Find(name)
	return endpoint != nil && endpoint.IsUsable(e.board.Now)
}

// Guards against a list of a new era that is ignored because its revision is below a known one, and against one of the
// era before that takes its place.
func TestListOfNewEraReplacesTheOldOne(t *testing.T) {
	for _, isFromPeer := range []bool{false, true} {
		e := newEraEntry(t, "kept")
		list := []pool.Listing{eraListing("kept"), eraListing("new")}
		at := point.Point{Era: 2, Revision: 30}
		if isFromPeer {
			e.step(input.ListReceived{List: []pool.PeerListing{{Listing: list[0]}, {Listing: list[1]}}, At: at})
		} else {
			e.step(input.ListRead{List: list, At: at})
		}
		require.True(t, e.isUsed("new"))
		require.Equal(t, at, e.board.ListAt)
		e.step(input.ListReceived{At: point.Point{Era: 1, Revision: 60}})
		e.step(input.ListRead{At: point.Point{Era: 1, Revision: 60}})
		e.step(input.EndpointRemoved{Name: "kept", At: point.Point{Era: 1, Revision: 61}})
		require.True(t, e.isUsed("kept"))
		require.Equal(t, at, e.board.ListAt)
	}
}

// Guards against endpoints that are given up because the copy that a store came back from lacks their records, and against
// ones that are kept for good.
func TestEndpointMissingFromTheCopyIsKeptForAWhile(t *testing.T) {
	for _, isFromPeer := range []bool{false, true} {
		e := newEraEntry(t, "alive", "dead")
		at := point.Point{Era: 2, Revision: 30}
		if isFromPeer {
			e.step(input.ListReceived{At: at})
		} else {
			e.step(input.ListRead{At: at})
		}
		require.True(t, e.isUsed("alive"))
		e.advance(pool.RemovalGrace - 100)
		require.True(t, e.isUsed("dead"))
		e.step(input.EndpointRead{Record: eraListing("alive"), At: point.Point{Era: 2, Revision: 31}})
		e.advance(200)
		require.True(t, e.isUsed("alive"))
		require.False(t, e.isUsed("dead"))
	}
}

// Guards against an entry that keeps endpoints longer because it hears late of the new era, and one that keeps those of
// which its peer knows that they were removed.
func TestPeerTellsHowLongToKeepEndpoints(t *testing.T) {
	e := newEraEntry(t, "lost", "removed")
	e.step(input.ListReceived{At: point.Point{Era: 2, Revision: 30}, EraAge: pool.RemovalGrace - 500, Departed: []pool.Departure{{Name: "removed", Epoch: 1}}})
	require.True(t, e.isUsed("lost"))
	require.False(t, e.isUsed("removed"))
	e.advance(600)
	require.False(t, e.isUsed("lost"))
}

// Guards against an endpoint that was removed or is leaving and is used again because the copy that a store came back from
// still lists it as ready. It is used once its record is written anew, or has not lapsed.
func TestRemovedEndpointIsNotUsedForAnOldRecord(t *testing.T) {
	leaving := eraListing("leaving")
	leaving.Leaving = true
	names := []ident.Endpoint{"leaving", "removed", "forgotten"}
	for _, isFromPeer := range []bool{false, true} {
		newEntry := func() *testEntry {
			e := newEraEntry(t, names...)
			e.step(input.EndpointRemoved{Name: "forgotten", At: point.Point{Era: 1, Revision: 51}})
			e.advance(5 * clock.Second)
			require.Nil(t, e.board.Pool.Find("forgotten"))
			e.step(input.EndpointRemoved{Name: "removed", At: point.Point{Era: 1, Revision: 52}})
			e.step(input.EndpointRead{Record: leaving, At: point.Point{Era: 1, Revision: 53}})
			at := point.Point{Era: 2, Revision: 30}
			var list []pool.Listing
			var peerList []pool.PeerListing
			for _, name := range names {
				list = append(list, eraListing(name))
				peerList = append(peerList, pool.PeerListing{Listing: eraListing(name)})
			}
			if isFromPeer {
				e.step(input.ListReceived{List: peerList, At: at})
			} else {
				e.step(input.ListRead{List: list, At: at})
			}
			return e
		}
		for _, name := range names {
			e := newEntry()
			require.False(t, e.isUsed(name))
			e.readOn(eraHold - 100)
			require.False(t, e.isUsed(name))
			e.readOn(100 + expiryDelay)
			require.True(t, e.isUsed(name), "its record has not lapsed")

			e = newEntry()
			e.step(input.EndpointRead{Record: eraListing(name), At: point.Point{Era: 2, Revision: 31}})
			require.True(t, e.isUsed(name), "its record was written anew")

			e = newEntry()
			e.step(input.EndpointRemoved{Name: name, At: point.Point{Era: 2, Revision: 31}})
			e.readOn(eraHold + expiryDelay)
			require.False(t, e.isUsed(name))
		}
		// A new run is no old record.
		e := newEraEntry(t, "restarted")
		e.step(input.EndpointRemoved{Name: "restarted", At: point.Point{Era: 1, Revision: 51}})
		restarted := eraListing("restarted")
		restarted.Epoch = 2
		e.step(input.ListRead{List: []pool.Listing{restarted}, At: point.Point{Era: 2, Revision: 30}})
		require.True(t, e.isUsed("restarted"))
	}
}

// Guards against a held endpoint that another entry uses at once because it is told of it without the hold.
func TestHoldIsToldToOtherEntries(t *testing.T) {
	e := newEraEntry(t, "removed")
	e.step(input.EndpointRemoved{Name: "removed", At: point.Point{Era: 1, Revision: 51}})
	e.step(input.ListRead{List: []pool.Listing{eraListing("removed")}, At: point.Point{Era: 2, Revision: 30}})
	other := newTestEntry(t)
	other.board.Settings.HeartbeatInterval = 1200
	other.step(input.ListReceived{List: e.board.Pool.Snapshot(e.board.Now), At: e.board.ListAt})
	require.False(t, other.isUsed("removed"))
	other.readOn(eraHold + expiryDelay)
	require.True(t, other.isUsed("removed"))
}

// Guards against an evacuation that ends because the copy that a store came back from lacks it, before it is written again, and
// against one that never ends because nobody writes it again.
func TestEvacuationMissingFromTheCopyIsKeptForAWhile(t *testing.T) {
	for _, isWrittenAgain := range []bool{false, true} {
		e := newEraEntry(t, "desk")
		e.step(input.EvacuationRead{Domain: "north", At: point.Point{Era: 1, Revision: 51}})
		e.step(input.ListRead{List: []pool.Listing{eraListing("desk")}, At: point.Point{Era: 2, Revision: 30}})
		require.True(t, e.board.Pool.Evacuated().Contains("north"))
		other := newTestEntry(t)
		other.board.Settings.HeartbeatInterval = 1200
		other.step(input.ListReceived{
			List: e.board.Pool.Snapshot(e.board.Now), At: e.board.ListAt, EraAge: 1000, Evacuated: e.board.Pool.Evacuated(),
		})
		if isWrittenAgain {
			e.step(input.EvacuationRead{Domain: "north", At: point.Point{Era: 2, Revision: 31}})
		}
		for _, entry := range []*testEntry{e, other} {
			entry.readOn(eraHold - 1000 - 100)
			require.True(t, entry.board.Pool.Evacuated().Contains("north"))
			entry.readOn(1000 + 100 + expiryDelay)
		}
		require.Equal(t, isWrittenAgain, e.board.Pool.Evacuated().Contains("north"))
		require.False(t, other.board.Pool.Evacuated().Contains("north"))
		// Another entry that still has the old instruction doesn't bring it back.
		other.step(input.ListReceived{
			IsDelta: true, At: point.Point{Era: 2, Revision: 40}, Evacuated: evac.NewSet(map[ident.Domain]point.Point{"north": {Era: 1, Revision: 51}}),
		})
		require.False(t, other.board.Pool.Evacuated().Contains("north"))
	}
}

// Guards against an entry that asks for the state of peers that are still in the era before, whose revisions are greater, and
// against one there that doesn't ask for the new one.
func TestEntriesAskForTheNewestEra(t *testing.T) {
	for _, test := range []struct {
		own, peer point.Point
		isAsked   bool
	}{
		{point.Point{Era: 2, Revision: 30}, point.Point{Era: 1, Revision: 60}, false},
		{point.Point{Era: 1, Revision: 60}, point.Point{Era: 2, Revision: 30}, true},
		{point.Point{Era: 2, Revision: 30}, point.Point{Era: 2, Revision: 30}, false},
	} {
		e := newEraEntry(t, "desk")
		if test.own.Era > 1 {
			e.step(input.ListRead{List: []pool.Listing{eraListing("desk")}, At: test.own})
		} else {
			e.step(input.EndpointRead{Record: eraListing("other"), At: test.own})
		}
		e.step(input.NewsReceived{Batch: input.Batch{Sender: "peer", News: []input.News{{
			Entry: "peer", Epoch: 1, Sequence: 1, Domain: "north", Address: "10.9.0.1:9000", Capacity: 100, PlanVersion: 5, ListAt: test.peer,
		}}}})
		e.outputs = nil
		e.advance(1000)
		isAsked := false
		for _, out := range e.outputs {
			if fetch, isFetch := out.(output.FetchPublished); isFetch {
				isAsked = true
				require.Equal(t, test.own, fetch.ListAt)
			}
		}
		require.Equal(t, test.isAsked, isAsked, "%+v", test)
	}
}

// stepList passes the records to the entry as a list of the era, read by itself or by a peer.
func (e *testEntry) stepList(isFromPeer bool, at point.Point, records ...pool.Listing) {
	if !isFromPeer {
		e.step(input.ListRead{List: records, At: at})
		return
	}
	received := input.ListReceived{At: at}
	for _, record := range records {
		received.List = append(received.List, pool.PeerListing{Listing: record})
	}
	e.step(received)
}

// Guards against an endpoint that goes back to an earlier run, or is used again after it has left, because the copy that a
// store came back from still lists that run.
func TestEarlierRunInTheCopyReplacesNothing(t *testing.T) {
	at := point.Point{Era: 2, Revision: 30}
	for _, isFromPeer := range []bool{false, true} {
		newEntry := func() (*testEntry, pool.Listing, pool.Listing) {
			e := newEraEntry(t, "restarted")
			first := eraListing("restarted")
			second := first
			second.Epoch = 2
			e.step(input.EndpointRead{Record: second, At: point.Point{Era: 1, Revision: 51}})
			return e, first, second
		}
		// It stays in use for the grace, and for good once it has written its record again.
		e, first, second := newEntry()
		e.stepList(isFromPeer, at, first)
		require.True(t, e.isUsed("restarted"))
		require.Equal(t, uint64(2), e.board.Pool.Find("restarted").Epoch)
		e.step(input.EndpointRead{Record: second, At: point.Point{Era: 2, Revision: 31}})
		e.advance(eraHold + expiryDelay)
		require.True(t, e.isUsed("restarted"))

		e, first, _ = newEntry()
		e.stepList(isFromPeer, at, first)
		e.advance(pool.RemovalGrace + 100)
		require.False(t, e.isUsed("restarted"), "it has not written its record again")

		// What it said of itself holds.
		e, first, _ = newEntry()
		require.True(t, e.board.Pool.AnnounceLeaving(e.board.Pool.Find("restarted"), e.board.Now))
		e.stepList(isFromPeer, at, first)
		require.False(t, e.isUsed("restarted"))

		for _, span := range []clock.Millis{100, 4 * clock.Second} {
			e, first, _ = newEntry()
			e.step(input.EndpointRemoved{Name: "restarted", At: point.Point{Era: 1, Revision: 52}})
			e.advance(span)
			e.stepList(isFromPeer, at, first)
			require.False(t, e.isUsed("restarted"), "removed %v ago", span)
		}
	}
}

// Guards against a hold that ends too early because the store comes back once more.
func TestHoldBeginsAnewWithEachEra(t *testing.T) {
	for _, isFromPeer := range []bool{false, true} {
		e := newEraEntry(t, "removed")
		e.step(input.EndpointRemoved{Name: "removed", At: point.Point{Era: 1, Revision: 51}})
		e.stepList(isFromPeer, point.Point{Era: 2, Revision: 30}, eraListing("removed"))
		e.readOn(eraHold - 1000)
		e.stepList(isFromPeer, point.Point{Era: 3, Revision: 30}, eraListing("removed"))
		e.readOn(eraHold - 100)
		require.False(t, e.isUsed("removed"))
		e.readOn(100 + expiryDelay)
		require.True(t, e.isUsed("removed"))
	}
}

// Guards against an endpoint that another entry holds although it has written its record in the new era.
func TestRenewedRecordIsNotHeldByOtherEntries(t *testing.T) {
	entries := []*testEntry{newEraEntry(t, "kept", "removed"), newEraEntry(t, "kept", "removed")}
	for _, e := range entries {
		e.step(input.EndpointRemoved{Name: "removed", At: point.Point{Era: 1, Revision: 51}})
	}
	source, other := entries[0], entries[1]
	source.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("removed"))
	require.False(t, source.isUsed("removed"))
	source.step(input.EndpointRead{Record: eraListing("removed"), At: point.Point{Era: 2, Revision: 31}})
	require.True(t, source.isUsed("removed"))
	other.step(input.ListReceived{List: source.board.Pool.Snapshot(source.board.Now), At: source.board.ListAt})
	require.True(t, other.isUsed("removed"))
}

// Guards against entries that leave reading to a peer which still follows an era that has ended.
func TestPeerOfEndedEraConfirmsNothing(t *testing.T) {
	e := newEraEntry(t, "desk")
	e.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("desk"))
	for era, role := range map[uint64]peers.Role{1: peers.RoleSpare, 2: peers.RoleNone} {
		e.receiveNews("entry-9", func(n *input.News) {
			n.Domain = e.board.Domain
			n.Capacity = e.board.Capacity + 100
			n.ConfirmedAt = e.board.Now
			n.ListAt = point.Point{Era: era, Revision: 60}
		})
		require.Equal(t, role, peers.RoleOf(e.board), "era %d", era)
	}
}

// Guards against an endpoint that has left and is used again, because a peer that still follows an era that has ended confirms reads while
// nobody reads the new one.
func TestPeerOfEndedEraEndsNoHold(t *testing.T) {
	for era, isUsed := range map[uint64]bool{1: false, 2: true} {
		e := newEraEntry(t, "removed")
		e.step(input.EndpointRemoved{Name: "removed", At: point.Point{Era: 1, Revision: 51}})
		e.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("removed"))
		for range 10 {
			e.receiveNews("entry-9", func(n *input.News) {
				n.Domain = e.board.Domain
				n.ConfirmedAt = e.board.Now
				n.ListAt = point.Point{Era: era, Revision: 60}
			})
			e.advance((eraHold + expiryDelay) / 10)
		}
		require.Equal(t, isUsed, e.isUsed("removed"), "era %d", era)
	}
}

// Guards against a whole list that is not taken as it is, although no era has begun since the entry started: its store may
// tell of none.
func TestListOfAKnownEraIsTakenAsItIs(t *testing.T) {
	for _, isFromPeer := range []bool{false, true} {
		e := newEraEntry(t)
		second := eraListing("restarted")
		second.Epoch = 2
		e.stepList(isFromPeer, point.Point{Era: 1, Revision: 60}, second)
		e.stepList(isFromPeer, point.Point{Era: 1, Revision: 70}, eraListing("restarted"))
		require.Equal(t, uint64(1), e.board.Pool.Find("restarted").Epoch)
		require.True(t, e.isUsed("restarted"))
	}
}

// Guards against an endpoint that has left and is used again because its hold ended while the store could not be read, so that
// its record could not lapse.
func TestHoldLastsWhileNobodyReads(t *testing.T) {
	e := newEraEntry(t, "removed")
	e.step(input.EndpointRemoved{Name: "removed", At: point.Point{Era: 1, Revision: 51}})
	e.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("removed"))
	e.readOn(1000)
	e.advance(eraHold + expiryDelay)
	require.False(t, e.isUsed("removed"))
	// The record lapses three heartbeats after the store can be read again.
	e.readOn(3 * 1200)
	require.False(t, e.isUsed("removed"))
	e.readOn(eraHold)
	require.True(t, e.isUsed("removed"))
}

// Guards against a living endpoint that is given up because the store came back twice, the second time before the endpoint had
// the time to write its record again.
func TestSecondReturnGivesEndpointsTheirTimeAnew(t *testing.T) {
	for _, isFromPeer := range []bool{false, true} {
		e := newEraEntry(t, "alive")
		e.stepList(isFromPeer, point.Point{Era: 2, Revision: 30})
		e.readOn(pool.RemovalGrace - 500)
		e.stepList(isFromPeer, point.Point{Era: 3, Revision: 20})
		e.readOn(pool.RemovalGrace - 100)
		require.True(t, e.isUsed("alive"))
		e.readOn(200)
		require.False(t, e.isUsed("alive"))
	}
}
