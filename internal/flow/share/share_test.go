package share

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

const maxError = 1e-6

// Guards against verdicts that depend on the order in which groups are listed: it is that of a map.
func TestLevelDoesNotDependOnOrder(t *testing.T) {
	t.Parallel()
	asks := []Ask{{1.5, 1}, {2.6, 1}, {2, 1}, {0.8, 1}}
	shuffled := []Ask{{1.5, 1}, {0.8, 1}, {2, 1}, {2.6, 1}}
	room := 0.0
	for _, ask := range asks {
		room += ask.Amount
	}
	require.Equal(t, Level(room, asks), Level(room, shuffled))
}

// All room is used if it doesn't suffice, nobody gets more than it asks for, a group that gets less has
// the level, and an equal part is never refused.
func TestLevelIsMaxMin(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		ask := rapid.Custom(func(t *rapid.T) Ask {
			return Ask{rapid.Float64Range(0, 1000).Draw(t, "amount"), rapid.Float64Range(0.1, 10).Draw(t, "weight")}
		})
		asks := rapid.SliceOfN(ask, 1, 40).Draw(t, "asks")
		room := rapid.Float64Range(0, 5000).Draw(t, "room")
		level := Level(room, asks)
		total, weight, given := 0.0, 0.0, 0.0
		for _, ask := range asks {
			total += ask.Amount
			weight += ask.Weight
			given += min(ask.Amount, level*ask.Weight)
		}
		require.InDelta(t, min(total, room), given, maxError*(1+room))
		require.GreaterOrEqual(t, level, room/weight-maxError)
		require.Equal(t, total <= room, math.IsInf(level, 1))
	})
}

// fleetOf returns the function that returns the uses of other entries, in requests.
func fleetOf(uses map[Group]int) func(pool.Hash) Use {
	return func(hash pool.Hash) Use {
		for group, requests := range uses {
			if group.Hash() == hash {
				return Use{Requests: requests}
			}
		}
		return Use{}
	}
}

// Only the group above the level exceeds its share, with hysteresis, also if the rest of the requests
// is not known by group.
func TestGroupOverItsShareIsFound(t *testing.T) {
	ledger := NewLedger()
	greedy := Group{"model", "greedy"}
	uses := map[Group]int{greedy: 60}
	for i := range 10 {
		group := Group{"model", ident.Organisation(fmt.Sprint(i))}
		ledger.Note(group, 1)
		uses[group] = 2
	}
	ledger.Note(greedy, 1)
	inFlight := 90
	judge := func(group Group, room float64, now clock.Millis) Verdict {
		ledger.Refresh("model", nil, fleetOf(uses), now)
		return ledger.Judge(group, room, inFlight, now)
	}
	require.Equal(t, Verdict{IsOver: true, HasChanged: true, Share: 51.909, Use: 60}, roundShare(judge(greedy, 81, 1000)))
	require.False(t, judge(Group{"model", "3"}, 81, 1000).IsOver)
	uses[greedy] = 50
	require.True(t, judge(greedy, 81, 1200).IsOver, "within a tenth of the share")
	uses[greedy], uses[Group{"model", "3"}], inFlight = 30, 60, 108
	within := judge(greedy, 97, 1400)
	require.False(t, within.IsOver)
	require.True(t, within.HasChanged)
	require.False(t, judge(Group{"model", "unknown"}, 1, 1400).IsOver)
}

func roundShare(v Verdict) Verdict {
	v.Share = math.Round(v.Share*1000) / 1000
	return v
}
