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
	// group plays entries of two failure domains that tell their hubs.
	group struct {
		now     clock.Millis
		tallies []*Tally
		works   []Sums
		// hubs is whom each entry takes for its hub.
		hubs []int
		// lose says whether a message is lost.
		lose func() bool
	}
)

func nameOf(i int) ident.Entry { return ident.Entry(fmt.Sprintf("entry-%d", i)) }

func newGroup() *group {
	g := &group{now: 10 * clock.Second, lose: func() bool { return false }}
	for i := range entries {
		g.tallies = append(g.tallies, New(nameOf(i), uint64(g.now)))
		g.works = append(g.works, Sums{})
		g.hubs = append(g.hubs, i%2)
	}
	return g
}

// tell has all entries tell their hubs, and the hubs all others.
func (g *group) tell(isWhole bool) {
	for i, tally := range g.tallies {
		if g.hubs[i] == i {
			tally.ActAsHub(g.works[i])
			continue
		}
		tally.ActAsMember()
		share, isNew := tally.NextContribution(nameOf(g.hubs[i]), g.works[i], isWhole)
		if isNew && !g.lose() {
			g.tallies[g.hubs[i]].ReceiveContribution(nameOf(i), share, g.now)
		}
	}
	scope := ScopeDelta
	if isWhole {
		scope = ScopeSnapshot
	}
	for i, hub := range g.tallies {
		if g.hubs[i] != i && !hub.HasContributions() {
			continue
		}
		part, isNew := hub.NextAggregate(scope)
		if !isNew {
			continue
		}
		for _, other := range g.tallies {
			for _, piece := range part.Split(2) {
				if !g.lose() {
					other.ReceiveAggregate(piece, g.now)
				}
			}
		}
	}
	for _, tally := range g.tallies {
		tally.Expire(g.now)
	}
}

// settle tells all until nothing is on its way any more.
func (g *group) settle() {
	g.lose = func() bool { return false }
	for range 12 {
		g.now += round
		g.tell(true)
	}
}

// requireTrue checks that every entry counts the work of all others and not its own.
func (g *group) requireTrue(t require.TestingT) {
	for i, tally := range g.tallies {
		for endpoint := range pool.Mark(4) {
			var want pool.Sum
			for j, work := range g.works {
				if j != i {
					want = want.Plus(work[endpoint])
				}
			}
			got := tally.Others(endpoint)
			require.Equal(t, want.Leads, got.Leads, "entry %d endpoint %d", i, endpoint)
			require.Equal(t, want.MemoryTokens, got.MemoryTokens, "entry %d endpoint %d", i, endpoint)
			require.Equal(t, want.ReadMillis, got.ReadMillis, "entry %d endpoint %d", i, endpoint)
		}
	}
}

// Whatever is lost and whoever is taken for a hub, in the end every entry counts the
// work of all others, and its own just once.
func TestSumsComeOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			g.now += clock.Millis(rapid.IntRange(5, 400).Draw(t, "span"))
			who := rapid.IntRange(0, entries-1).Draw(t, "who")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				g.hubs[who] = rapid.IntRange(0, entries-1).Draw(t, "hub")
			case 1:
				g.tallies[who] = New(nameOf(who), uint64(g.now))
				g.works[who] = Sums{}
			default:
				endpoint := pool.Mark(rapid.IntRange(0, 3).Draw(t, "endpoint"))
				count := rapid.IntRange(0, 3).Draw(t, "count")
				g.works[who].apply(Sums{endpoint: {
					Leads: count, Readers: count, MemoryTokens: 6600 * count, ReadMillis: 28 * count,
				}})
			}
			lost := rapid.Float64Range(0, 1).Draw(t, "loss")
			g.lose = func() bool { return rapid.Float64Range(0, 1).Draw(t, "lost") < lost }
			g.tell(rapid.Bool().Draw(t, "whole"))
		}
		// Entries agree on their hubs in the end: hubs are their own.
		for i := range g.hubs {
			g.hubs[i] = i % 2
		}
		g.settle()
		g.requireTrue(t)
	})
}

// Without loss a change is known at all after one telling.
func TestChangeIsKnownAtOnce(t *testing.T) {
	g := newGroup()
	g.settle()
	g.works[4] = Sums{2: {Leads: 3, MemoryTokens: 900}}
	g.tell(false)
	g.requireTrue(t)
	require.Zero(t, g.tallies[4].Others(2), "own work counted among others'")
	g.works[4] = Sums{}
	g.tell(false)
	g.requireTrue(t)
}

// The work of an entry that is silent is forgotten, and of a hub that is silent.
func TestSilentEntriesAreForgotten(t *testing.T) {
	g := newGroup()
	g.works[4] = Sums{2: {Leads: 3}}
	g.works[1] = Sums{3: {Leads: 1}}
	g.settle()
	g.now += ContributionTTL + 1
	g.tallies[0].Expire(g.now)
	require.Zero(t, g.tallies[0].Others(2).Leads)
	require.Equal(t, 1, g.tallies[0].Others(3).Leads)
	g.now += AggregateTTL
	g.tallies[0].Expire(g.now)
	require.Zero(t, g.tallies[0].Others(3).Leads)
}

// Words that are overtaken on their way change nothing.
func TestLateWordsChangeNothing(t *testing.T) {
	hub := New("hub", 1)
	hub.ReceiveContribution("a", Share{Life: 5, Sequence: 2, Sums: Sums{1: {Leads: 2}}}, 100)
	hub.ReceiveContribution("a", Share{Life: 5, Sequence: 1, Sums: Sums{1: {Leads: 9}}}, 101)
	hub.ReceiveContribution("a", Share{Life: 4, Sequence: 9, Sums: Sums{1: {Leads: 9}}}, 102)
	require.Equal(t, 2, hub.Others(1).Leads)
	hub.ReceiveContribution("a", Share{Life: 6, Sequence: 1, Sums: Sums{2: {Leads: 1}}}, 103)
	require.Zero(t, hub.Others(1).Leads, "work of the life before")
	require.Equal(t, 1, hub.Others(2).Leads)
}

// An entry that has nothing new to tell, or may not tell it yet, is not forgotten while
// it speaks.
func TestSpeakingEntriesAreKept(t *testing.T) {
	hub := New("hub", 1)
	hub.ReceiveContribution("a", Share{Life: 5, Sequence: 1, Sums: Sums{1: {Leads: 2}}}, 100)
	for now := clock.Millis(100); now < 100+3*ContributionTTL; now += round {
		hub.KeepAlive("a", now)
		hub.Expire(now)
		require.Equal(t, 2, hub.Others(1).Leads)
	}
}

// A late word of a hub's life before does not make an entry start anew with it.
func TestLateLifeOfAHub(t *testing.T) {
	member := New("member", 1)
	_, isNew := member.NextContribution("hub", Sums{1: {Leads: 1}}, false)
	require.True(t, isNew)
	heard := map[Mark]uint64{MarkOf("member"): 1}
	member.ReceiveAggregate(Part{Hub: MarkOf("hub"), Life: 9, Sequence: 1, Sums: Sums{1: {Leads: 3}}, Acknowledged: heard}, 100)
	require.Equal(t, 2, member.Others(1).Leads)
	member.ReceiveAggregate(Part{Hub: MarkOf("hub"), Life: 4, Sequence: 7, Sums: Sums{1: {Leads: 8}}}, 101)
	require.Equal(t, 2, member.Others(1).Leads)
}
