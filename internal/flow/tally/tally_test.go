package tally

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

const (
	round   = 300 * clock.Millis(1)
	entries = 6
)

type (
	// group simulates entries of two failure domains that exchange loads with their hubs.
	group struct {
		now      clock.Millis
		tallies  []*Tally
		ownLoads []Loads
		// hubs is the index of the hub that each entry uses.
		hubs []int
		// isLost reports whether the next message is lost.
		isLost func() bool
	}
)

func nameOf(i int) ident.Entry { return ident.Entry(fmt.Sprintf("entry-%d", i)) }

func newGroup() *group {
	g := &group{now: 10 * clock.Second, isLost: func() bool { return false }}
	for i := range entries {
		g.tallies = append(g.tallies, New(nameOf(i), uint64(g.now)))
		g.ownLoads = append(g.ownLoads, Loads{})
		g.hubs = append(g.hubs, i%2)
	}
	return g
}

// exchange lets all entries send to their hubs, and the hubs to all others.
func (g *group) exchange(isSnapshot bool) {
	for i, tally := range g.tallies {
		if g.hubs[i] == i {
			tally.ActAsHub(g.ownLoads[i])
			continue
		}
		tally.ActAsMember()
		contribution, isNew := tally.NextContribution(nameOf(g.hubs[i]), g.ownLoads[i], isSnapshot)
		if isNew && !g.isLost() {
			g.tallies[g.hubs[i]].ReceiveContribution(nameOf(i), contribution, g.now)
		}
	}
	scope := ScopeDelta
	if isSnapshot {
		scope = ScopeSnapshot
	}
	for i, hub := range g.tallies {
		if g.hubs[i] != i && !hub.HasContributions() {
			continue
		}
		aggregate, isNew := hub.NextAggregate(scope)
		if !isNew {
			continue
		}
		for _, receiver := range g.tallies {
			for _, fragment := range aggregate.Split(2) {
				if !g.isLost() {
					receiver.ReceiveAggregate(fragment, g.now)
				}
			}
		}
	}
	for _, tally := range g.tallies {
		tally.Expire(g.now)
	}
}

// settle runs snapshots without loss until all entries agree.
func (g *group) settle() {
	g.isLost = func() bool { return false }
	for range 12 {
		g.now += round
		g.exchange(true)
	}
}

// requireConverged checks that every entry counts the work of all others and not its own.
func (g *group) requireConverged(t require.TestingT) {
	for i, tally := range g.tallies {
		for endpoint := range pool.Hash(4) {
			var want pool.Load
			for j, work := range g.ownLoads {
				if j != i {
					want = want.Add(work[endpoint])
				}
			}
			got := tally.RemoteLoad(endpoint)
			require.Equal(t, want.Leads, got.Leads, "entry %d endpoint %d", i, endpoint)
			require.Equal(t, want.MemoryTokens, got.MemoryTokens, "entry %d endpoint %d", i, endpoint)
			require.Equal(t, want.PrefillMillis, got.PrefillMillis, "entry %d endpoint %d", i, endpoint)
		}
	}
}

// Whatever messages are lost and whichever hubs are chosen, every entry finally counts
// the work of all others exactly once, and none of its own.
func TestLoadsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			g.now += clock.Millis(rapid.IntRange(5, 400).Draw(t, "span"))
			index := rapid.IntRange(0, entries-1).Draw(t, "who")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				g.hubs[index] = rapid.IntRange(0, entries-1).Draw(t, "hub")
			case 1:
				g.tallies[index] = New(nameOf(index), uint64(g.now))
				g.ownLoads[index] = Loads{}
			default:
				endpoint := pool.Hash(rapid.IntRange(0, 3).Draw(t, "endpoint"))
				count := rapid.IntRange(0, 3).Draw(t, "count")
				g.ownLoads[index].apply(Loads{endpoint: {
					Leads: count, Prefilling: count, MemoryTokens: 6600 * count, PrefillMillis: 28 * count,
				}})
			}
			lossRate := rapid.Float64Range(0, 1).Draw(t, "loss")
			g.isLost = func() bool { return rapid.Float64Range(0, 1).Draw(t, "lost") < lossRate }
			g.exchange(rapid.Bool().Draw(t, "whole"))
		}
		// In the end the entries agree on the hubs, and each hub is its own hub.
		for i := range g.hubs {
			g.hubs[i] = i % 2
		}
		g.settle()
		g.requireConverged(t)
	})
}

// Without loss, a change reaches all entries in one exchange.
func TestChangeIsKnownAfterOneExchange(t *testing.T) {
	g := newGroup()
	g.settle()
	g.ownLoads[4] = Loads{2: {Leads: 3, MemoryTokens: 900}}
	g.exchange(false)
	g.requireConverged(t)
	require.Zero(t, g.tallies[4].RemoteLoad(2), "own work counted among others'")
	g.ownLoads[4] = Loads{}
	g.exchange(false)
	g.requireConverged(t)
}

// The work of an unresponsive member is dropped by its hub, and the aggregate of an
// unresponsive hub by all entries.
func TestUnresponsiveEntriesExpire(t *testing.T) {
	g := newGroup()
	g.ownLoads[4] = Loads{2: {Leads: 3}}
	g.ownLoads[1] = Loads{3: {Leads: 1}}
	g.settle()
	g.now += ContributionTTL + 1
	g.tallies[0].Expire(g.now)
	require.Zero(t, g.tallies[0].RemoteLoad(2).Leads)
	require.Equal(t, 1, g.tallies[0].RemoteLoad(3).Leads)
	g.now += AggregateTTL
	g.tallies[0].Expire(g.now)
	require.Zero(t, g.tallies[0].RemoteLoad(3).Leads)
}

// Contributions that arrive out of order or from a lower epoch are ignored.
func TestStaleContributionsAreIgnored(t *testing.T) {
	hub := New("hub", 1)
	hub.ReceiveContribution("a", Contribution{Epoch: 5, Sequence: 2, Loads: Loads{1: {Leads: 2}}}, 100)
	hub.ReceiveContribution("a", Contribution{Epoch: 5, Sequence: 1, Loads: Loads{1: {Leads: 9}}}, 101)
	hub.ReceiveContribution("a", Contribution{Epoch: 4, Sequence: 9, Loads: Loads{1: {Leads: 9}}}, 102)
	require.Equal(t, 2, hub.RemoteLoad(1).Leads)
	hub.ReceiveContribution("a", Contribution{Epoch: 6, Sequence: 1, Loads: Loads{2: {Leads: 1}}}, 103)
	require.Zero(t, hub.RemoteLoad(1).Leads, "work of the previous epoch")
	require.Equal(t, 1, hub.RemoteLoad(2).Leads)
}

// A member that has nothing new to contribute, or may not send it yet because of the rate
// limit, doesn't expire while it sends other messages.
func TestKeepAlivePreventsExpiry(t *testing.T) {
	hub := New("hub", 1)
	hub.ReceiveContribution("a", Contribution{Epoch: 5, Sequence: 1, Loads: Loads{1: {Leads: 2}}}, 100)
	for now := clock.Millis(100); now < 100+3*ContributionTTL; now += round {
		hub.KeepAlive("a", 1, now)
		hub.Expire(now)
		require.Equal(t, 2, hub.RemoteLoad(1).Leads)
	}
}

// A late aggregate from a previous epoch of the hub doesn't make a member start over with
// it.
func TestStaleAggregateOfPreviousHubEpoch(t *testing.T) {
	member := New("member", 1)
	_, isNew := member.NextContribution("hub", Loads{1: {Leads: 1}}, false)
	require.True(t, isNew)
	acknowledged := map[EntryHash]uint64{EntryHashOf("member"): 1}
	member.ReceiveAggregate(Aggregate{Hub: EntryHashOf("hub"), Epoch: 9, Sequence: 1, Loads: Loads{1: {Leads: 3}}, Acknowledged: acknowledged}, 100)
	require.Equal(t, 2, member.RemoteLoad(1).Leads)
	member.ReceiveAggregate(Aggregate{Hub: EntryHashOf("hub"), Epoch: 4, Sequence: 7, Loads: Loads{1: {Leads: 8}}}, 101)
	require.Equal(t, 2, member.RemoteLoad(1).Leads)
}
