package parts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

// tell passes the whole list of an entry to another one.
func (e *testEntry) tell(other *testEntry) {
	b := e.board
	other.step(input.ListReceived{
		List: b.Pool.Snapshot(b.Now), Departed: b.Pool.Departures(b.Now), At: b.ListAt, LastAt: b.Pool.LastAt(),
		EraAge: b.Now - b.EraSince, EraHold: max(b.EraHoldUntil-b.Now, 0), Evacuated: b.Pool.Evacuated(),
	})
}

func removed(name ident.Endpoint, era, revision uint64) input.EndpointRemoved {
	return input.EndpointRemoved{Name: name, At: point.Point{Era: era, Revision: revision}}
}

// Guards against an endpoint that has left and is used again (DRAIN) because the entry finds its old record in a list that isn't the first
// one of the era.
func TestDepartureHoldsAgainstAllListsOfAnEra(t *testing.T) {
	for _, isToldFirst := range []bool{false, true} {
		e := newEraEntry(t, "left")
		e.step(removed("left", 1, 51))
		e.stepList(isToldFirst, point.Point{Era: 2, Revision: 30})
		e.readOn(500)
		if !isToldFirst {
			// A list that lacked it was followed by one that doesn't: it was written in between.
			e.stepList(false, point.Point{Era: 2, Revision: 31}, eraListing("left"))
			require.True(t, e.isUsed("left"))
			continue
		}
		e.stepList(false, point.Point{Era: 2, Revision: 31}, eraListing("left"))
		require.False(t, e.isUsed("left"))
		e.readOn(eraHold + expiryDelay)
		require.True(t, e.isUsed("left"), "its record has not lapsed")
	}
}

// Guards against a living endpoint that is given up because another entry tells that an earlier run of it has left.
func TestDepartureEndsNoLaterRun(t *testing.T) {
	e, other := newEraEntry(t, "restarted"), newEraEntry(t, "restarted")
	e.step(removed("restarted", 1, 51))
	second := eraListing("restarted")
	second.Epoch = 2
	other.step(input.EndpointRead{Record: second, At: point.Point{Era: 1, Revision: 52}})
	e.stepList(false, point.Point{Era: 2, Revision: 30})
	e.tell(other)
	require.True(t, other.isUsed("restarted"))
	other.readOn(pool.RemovalGrace + 100)
	require.False(t, other.isUsed("restarted"))
}

// Guards against a living endpoint that all entries give up because one of them was the first to do so: its record was lost with an era,
// and that entry heard of none that listed it.
func TestLossOfARecordIsNoDeparture(t *testing.T) {
	e, other := newEraEntry(t, "lost"), newEraEntry(t, "lost")
	e.stepList(false, point.Point{Era: 2, Revision: 30})
	e.readOn(pool.RemovalGrace + 100)
	require.False(t, e.isUsed("lost"))
	e.stepList(false, point.Point{Era: 3, Revision: 30}, eraListing("lost"))
	require.False(t, e.isUsed("lost"), "the copy may be older than its end")
	e.tell(other)
	require.True(t, other.isUsed("lost"))

	// The next copy lacks it, too.
	e.stepList(false, point.Point{Era: 4, Revision: 30})
	require.False(t, e.isUsed("lost"))
	require.Empty(t, e.board.Pool.RecentlyLeaving(e.board.Now))
	e.tell(other)
	require.True(t, other.isUsed("lost"))
	require.Empty(t, other.board.Pool.RecentlyLeaving(other.board.Now))
	other.readOn(pool.RemovalGrace + 100)
	require.False(t, other.isUsed("lost"))
}

// Guards against a living endpoint that other entries give up at once, because the one that tells them of its removal during an outage
// held it.
func TestHeldEndpointIsToldWithItsGrace(t *testing.T) {
	e, other := newEraEntry(t, "held"), newEraEntry(t, "held")
	e.stepList(false, point.Point{Era: 2, Revision: 30})
	e.readOn(pool.RemovalGrace + 100)
	for _, entry := range []*testEntry{e, other} {
		entry.stepList(false, point.Point{Era: 3, Revision: 30}, eraListing("held"))
	}
	require.False(t, e.isUsed("held"))
	e.step(input.SourceLost{Reason: "test"})
	e.step(removed("held", 3, 31))
	e.tell(other)
	require.False(t, e.isUsed("held"))
	require.True(t, other.isUsed("held"))
	other.readOn(pool.RemovalGrace + 100)
	require.False(t, other.isUsed("held"))
	e.readOn(eraHold + expiryDelay)
	require.False(t, e.isUsed("held"), "its hold has ended, but it is not listed")
}

// Guards against an entry that starts after a return and uses an endpoint that has left, although its peers know that, because it finds
// the old record itself.
func TestEntryThatStartsLearnsDepartures(t *testing.T) {
	e, fresh := newEraEntry(t, "left", "restarted"), newTestEntry(t)
	fresh.board.Settings.HeartbeatInterval = 1200
	second := eraListing("restarted")
	second.Epoch = 2
	e.step(removed("left", 1, 51))
	e.step(input.EndpointRead{Record: second, At: point.Point{Era: 1, Revision: 52}})
	at := point.Point{Era: 2, Revision: 30}
	e.stepList(false, at, eraListing("left"), eraListing("restarted"))
	e.readOn(pool.RemovalGrace + expiryDelay)
	e.tell(fresh)
	at.Revision++
	fresh.stepList(false, at, eraListing("left"), eraListing("restarted"))
	require.False(t, fresh.isUsed("left"))
	require.False(t, fresh.isUsed("restarted"), "a later run is known")
	fresh.readOn(eraHold + expiryDelay)
	require.True(t, fresh.isUsed("left"), "its record has not lapsed")
}

// Guards against an endpoint that is held although its record is known to have been written in the era, because a peer only knows that
// it had left before.
func TestHoldOfAPeerGivesWayToAWrittenRecord(t *testing.T) {
	for _, isDelta := range []bool{false, true} {
		e := newEraEntry(t, "kept")
		e.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("kept"))
		e.step(input.EndpointRead{Record: eraListing("kept"), At: point.Point{Era: 2, Revision: 31}})
		e.step(input.ListReceived{
			List:     []pool.PeerListing{{Listing: eraListing("kept"), Hold: 2 * clock.Second}},
			Departed: []pool.Departure{{Name: "kept", Epoch: 1, At: point.Point{Era: 1, Revision: 51}}},
			At:       point.Point{Era: 2, Revision: 32}, IsDelta: isDelta,
		})
		require.True(t, e.isUsed("kept"))
	}
}

// Guards against an endpoint that has left and is used again because a peer without that knowledge tells of its old record as a change.
func TestDepartureHoldsAgainstChangesOfPeers(t *testing.T) {
	e := newEraEntry(t, "left")
	e.step(removed("left", 1, 51))
	e.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("left"))
	e.step(input.ListReceived{
		List: []pool.PeerListing{{Listing: eraListing("left")}}, At: point.Point{Era: 2, Revision: 31}, IsDelta: true,
	})
	require.False(t, e.isUsed("left"))
}

// Guards against an endpoint that has announced that it leaves and is used again (DRAIN), because the entry forgot that with its record.
func TestAnnouncementOutlastsTheRecord(t *testing.T) {
	e := newEraEntry(t, "announced")
	require.True(t, e.board.Pool.AnnounceLeaving(e.board.Pool.Find("announced"), e.board.Now))
	e.step(removed("announced", 1, 51))
	e.readOn(3 * clock.Second)
	require.Nil(t, e.board.Pool.Find("announced"))
	e.step(input.EndpointRead{Record: eraListing("announced"), At: point.Point{Era: 1, Revision: 52}})
	require.False(t, e.isUsed("announced"))
	second := eraListing("announced")
	second.Epoch = 2
	e.step(input.EndpointRead{Record: second, At: point.Point{Era: 1, Revision: 53}})
	require.True(t, e.isUsed("announced"))
}

// Guards against an evacuation that ends (EVAC) because the store could not be read while it would have been written again.
func TestEvacuationLastsWhileNobodyReads(t *testing.T) {
	e, fresh := newEraEntry(t, "desk"), newTestEntry(t)
	fresh.board.Settings.HeartbeatInterval = 1200
	e.step(input.EvacuationRead{Domain: "north", At: point.Point{Era: 1, Revision: 51}})
	e.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("desk"))
	e.readOn(1000)
	e.advance(eraHold + expiryDelay)
	require.True(t, e.board.Pool.Evacuated().Contains("north"))
	e.tell(fresh)
	require.True(t, fresh.board.Pool.Evacuated().Contains("north"))
	for _, entry := range []*testEntry{e, fresh} {
		entry.readOn(eraHold + expiryDelay)
		require.False(t, entry.board.Pool.Evacuated().Contains("north"))
	}
}

// Guards against an endpoint that is never used again because its record, written anew by an earlier run whose clock was set back, is taken
// for the known one.
func TestRewrittenRecordEndsTheHoldOfAnEarlierRun(t *testing.T) {
	e := newEraEntry(t, "restarted")
	second := eraListing("restarted")
	second.Epoch = 2
	e.step(input.EndpointRead{Record: second, At: point.Point{Era: 1, Revision: 51}})
	e.step(removed("restarted", 1, 52))
	e.readOn(3 * clock.Second)
	e.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("restarted"))
	e.readOn(eraHold + expiryDelay)
	require.False(t, e.isUsed("restarted"))
	e.step(input.EndpointRead{Record: eraListing("restarted"), At: point.Point{Era: 2, Revision: 31}})
	require.True(t, e.isUsed("restarted"))
}

// Guards against a run that counts as one from before the era although it replaces one that was written there, and against one that is never
// replaced by a run with an earlier start, as after a setback of its clock.
func TestRunsOfOneEraFollowTheList(t *testing.T) {
	e := newEraEntry(t, "restarted")
	runs := []pool.Listing{eraListing("restarted"), eraListing("restarted")}
	runs[1].Epoch = 2
	e.stepList(false, point.Point{Era: 2, Revision: 30}, runs[0])
	e.step(input.EndpointRead{Record: runs[0], At: point.Point{Era: 2, Revision: 31}})
	e.stepList(true, point.Point{Era: 2, Revision: 32}, runs[1])
	require.EqualValues(t, 2, e.board.Pool.Snapshot(e.board.Now)[0].WrittenAt.Era)
	e.stepList(false, point.Point{Era: 2, Revision: 33}, runs[0])
	require.True(t, e.isUsed("restarted"))
	require.Equal(t, uint64(1), e.board.Pool.Find("restarted").Epoch)
}

// Guards against a living endpoint that is held because the entry knows that it had left, and not that it was listed again before the
// return of the store, as the one that tells of the new era does.
func TestRecordWrittenAfterTheDepartureIsNotHeld(t *testing.T) {
	for _, isByEvent := range []bool{false, true} {
		e, other := newEraEntry(t, "back"), newEraEntry(t, "back")
		for _, entry := range []*testEntry{e, other} {
			entry.step(removed("back", 1, 51))
		}
		if isByEvent {
			e.step(input.EndpointRead{Record: eraListing("back"), At: point.Point{Era: 1, Revision: 52}})
		} else {
			e.stepList(false, point.Point{Era: 1, Revision: 53}, eraListing("back"))
		}
		e.stepList(false, point.Point{Era: 2, Revision: 30}, eraListing("back"))
		require.True(t, e.isUsed("back"))
		e.tell(other)
		require.True(t, other.isUsed("back"))
	}
}

// Guards against an entry that cuts the grace of a living endpoint short because another one gave it up in an earlier era.
func TestGraceOutlastsTheLossAtOthers(t *testing.T) {
	e, other := newEraEntry(t, "lost"), newEraEntry(t, "lost")
	e.stepList(false, point.Point{Era: 2, Revision: 30})
	e.readOn(pool.RemovalGrace + 100)
	require.False(t, e.isUsed("lost"))
	for _, entry := range []*testEntry{e, other} {
		entry.stepList(false, point.Point{Era: 3, Revision: 30})
	}
	e.step(input.EndpointRead{Record: eraListing("new"), At: point.Point{Era: 3, Revision: 31}})
	e.tell(other)
	require.True(t, other.isUsed("lost"))
	require.Empty(t, other.board.Pool.RecentlyLeaving(other.board.Now))
}

// Guards against a living endpoint that is given up at once in a new era, because the entry that tells of it knows an old departure and not
// that the record was written again.
func TestOldDepartureEndsNoRecordWrittenSince(t *testing.T) {
	e := newEraEntry(t, "back")
	e.step(removed("back", 1, 51))
	e.step(input.EndpointRead{Record: eraListing("back"), At: point.Point{Era: 1, Revision: 52}})
	e.step(input.ListReceived{
		Departed: []pool.Departure{{Name: "back", Epoch: 1, At: point.Point{Era: 1, Revision: 51}}}, At: point.Point{Era: 2, Revision: 31},
	})
	require.True(t, e.isUsed("back"))
	e.readOn(pool.RemovalGrace + 100)
	require.False(t, e.isUsed("back"))
}

// Guards against an endpoint that is held anew in the next era, although it was in use again since its hold had ended.
func TestEndpointInUseAgainIsNotHeldInTheNextEra(t *testing.T) {
	e := newEraEntry(t, "back")
	e.step(removed("back", 1, 51))
	e.stepList(true, point.Point{Era: 2, Revision: 30})
	e.readOn(eraHold + expiryDelay)
	e.stepList(false, point.Point{Era: 2, Revision: 31}, eraListing("back"))
	require.True(t, e.isUsed("back"))
	e.stepList(false, point.Point{Era: 3, Revision: 30}, eraListing("back"))
	require.True(t, e.isUsed("back"))
}

// Guards against an endpoint that has left and is used again because its old record is found after an outage, in which no record lapsed.
func TestDepartureHoldsAfterAnOutage(t *testing.T) {
	e := newEraEntry(t, "left")
	e.step(removed("left", 1, 51))
	e.stepList(true, point.Point{Era: 2, Revision: 30})
	e.readOn(1000)
	e.advance(eraHold + expiryDelay)
	e.stepList(false, point.Point{Era: 2, Revision: 31}, eraListing("left"))
	require.False(t, e.isUsed("left"))
	e.readOn(2*eraHold + expiryDelay)
	require.True(t, e.isUsed("left"), "its record has not lapsed")
}
