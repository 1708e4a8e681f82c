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
		works   []Loads
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
		g.works = append(g.works, Loads{})
		g.hubs = append(g.hubs, i%2)
	}
	return g
}

// tell has all entries tell their hubs, and the hubs all others.
func (g *group) tell(isWhole bool) {
	for i, tally := range g.tallies {
		if g.hubs[i] == i {
			tally.Lead(g.works[i])
			continue
		}
		tally.Follow()
		share, isNew := tally.Tell(nameOf(g.hubs[i]), g.works[i], isWhole)
		if isNew && !g.lose() {
			g.tallies[g.hubs[i]].TakeShare(nameOf(i), share, g.now)
		}
	}
	scope := ScopeChanged
	if isWhole {
		scope = ScopeWhole
	}
	for i, hub := range g.tallies {
		if g.hubs[i] != i && !hub.HasPart() {
			continue
		}
		part, isNew := hub.OwnPart(scope)
		if !isNew {
			continue
		}
		for _, other := range g.tallies {
			for _, piece := range part.Pieces(2) {
				if !g.lose() {
					other.TakePart(piece, g.now)
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
		for endpoint := range pool.Hash(4) {
			var want pool.Load
			for j, work := range g.works {
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
				g.works[who] = Loads{}
			default:
				endpoint := pool.Hash(rapid.IntRange(0, 3).Draw(t, "endpoint"))
				count := rapid.IntRange(0, 3).Draw(t, "count")
				g.works[who].apply(Loads{endpoint: {
					Leads: count, Prefilling: count, MemoryTokens: 6600 * count, PrefillMillis: 28 * count,
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
	g.works[4] = Loads{2: {Leads: 3, MemoryTokens: 900}}
	g.tell(false)
	g.requireTrue(t)
	require.Zero(t, g.tallies[4].RemoteLoad(2), "own work counted among others'")
	g.works[4] = Loads{}
	g.tell(false)
	g.requireTrue(t)
}

// The work of an entry that is silent is forgotten, and of a hub that is silent.
func TestSilentEntriesAreForgotten(t *testing.T) {
	g := newGroup()
	g.works[4] = Loads{2: {Leads: 3}}
	g.works[1] = Loads{3: {Leads: 1}}
	g.settle()
	g.now += ShareSpan + 1
	g.tallies[0].Expire(g.now)
	require.Zero(t, g.tallies[0].RemoteLoad(2).Leads)
	require.Equal(t, 1, g.tallies[0].RemoteLoad(3).Leads)
	g.now += PartSpan
	g.tallies[0].Expire(g.now)
	require.Zero(t, g.tallies[0].RemoteLoad(3).Leads)
}

// Words that are overtaken on their way change nothing.
func TestLateWordsChangeNothing(t *testing.T) {
	hub := New("hub", 1)
	hub.TakeShare("a", Contribution{Epoch: 5, Sequence: 2, Loads: Loads{1: {Leads: 2}}}, 100)
	hub.TakeShare("a", Contribution{Epoch: 5, Sequence: 1, Loads: Loads{1: {Leads: 9}}}, 101)
	hub.TakeShare("a", Contribution{Epoch: 4, Sequence: 9, Loads: Loads{1: {Leads: 9}}}, 102)
	require.Equal(t, 2, hub.RemoteLoad(1).Leads)
	hub.TakeShare("a", Contribution{Epoch: 6, Sequence: 1, Loads: Loads{2: {Leads: 1}}}, 103)
	require.Zero(t, hub.RemoteLoad(1).Leads, "work of the life before")
	require.Equal(t, 1, hub.RemoteLoad(2).Leads)
}

// An entry that has nothing new to tell, or may not tell it yet, is not forgotten while
// it speaks.
func TestSpeakingEntriesAreKept(t *testing.T) {
	hub := New("hub", 1)
	hub.TakeShare("a", Contribution{Epoch: 5, Sequence: 1, Loads: Loads{1: {Leads: 2}}}, 100)
	for now := clock.Millis(100); now < 100+3*ShareSpan; now += round {
		hub.Hear("a", now)
		hub.Expire(now)
		require.Equal(t, 2, hub.RemoteLoad(1).Leads)
	}
}

// A late word of a hub's life before does not make an entry start anew with it.
func TestLateLifeOfAHub(t *testing.T) {
	member := New("member", 1)
	_, isNew := member.Tell("hub", Loads{1: {Leads: 1}}, false)
	require.True(t, isNew)
	heard := map[EntryHash]uint64{EntryHashOf("member"): 1}
	member.TakePart(Aggregate{Hub: EntryHashOf("hub"), Epoch: 9, Sequence: 1, Loads: Loads{1: {Leads: 3}}, Heard: heard}, 100)
	require.Equal(t, 2, member.RemoteLoad(1).Leads)
	member.TakePart(Aggregate{Hub: EntryHashOf("hub"), Epoch: 4, Sequence: 7, Loads: Loads{1: {Leads: 8}}}, 101)
	require.Equal(t, 2, member.RemoteLoad(1).Leads)
}
