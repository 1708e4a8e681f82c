package warm

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
)

// perSecond returns how many requests at most the parts of the entries allow within a second.
func perSecond(rate float64, views []View) int {
	total := 0
	for _, view := range views {
		if part, hasPart := PartOf(rate, view); hasPart {
			total += int((clock.Second + part.Interval - 1) / part.Interval)
		}
	}
	return total
}

// The parts of all entries must add up to the rate at most, also on the sides of a cut that lasts so long that
// each side has forgotten the other.
func TestPartsAddUpToTheRate(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 5, 14, 60, 700} {
		for _, members := range []int{1, 5, 20, 138, 370} {
			var whole, cut []View
			half := members / 2
			for i := range members {
				whole = append(whole, View{Rank: i, Known: members, Heard: members, Members: members})
				side := View{Rank: i, Known: half, Heard: half, Members: members}
				if i >= half {
					side = View{Rank: i - half, Known: members - half, Heard: members - half, Members: members}
				}
				cut = append(cut, side)
			}
			require.LessOrEqual(t, float64(perSecond(rate, whole)), max(rate, 1))
			require.GreaterOrEqual(t, float64(perSecond(rate, whole)), rate/2)
			require.LessOrEqual(t, float64(perSecond(rate, cut)), max(rate, 1))
		}
	}
	_, hasPart := PartOf(14, View{Known: 138, Heard: 60, Members: 138})
	require.False(t, hasPart, "an entry that is cut off")
}

// The bound grows after the coldness and ends.
func TestRateGrowsAfterTheColdness(t *testing.T) {
	rate := func(now clock.Millis) float64 {
		rate, isBounded := Rate(14, 10*clock.Second, now)
		require.True(t, isBounded)
		return rate
	}
	require.InDelta(t, 14, rate(9*clock.Second), 0)
	require.InDelta(t, 28, rate(11*clock.Second), 0)
	_, isBounded := Rate(14, 10*clock.Second, 10*clock.Second+RampTime)
	require.False(t, isBounded)
}
