package reader

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/plan"
)

// boardOf returns the board of an entry that has published state, beside a larger
// entry that confirmed it at the instant.
func boardOf(confirmedAt clock.Millis) *board.Board {
	b := board.New()
	b.Now = 100 * clock.Second
	b.Self = "entry-1"
	b.Domain = "north"
	b.Plan = plan.New(3, nil, nil, plan.Limits{})
	b.HasList = true
	b.ListRevision = 40
	b.Peers["entry-2"] = &board.Peer{LastSeenAt: b.Now, News: input.News{
		Entry: "entry-2", Domain: "north", Capacity: 800, ConfirmedAt: confirmedAt,
	}}
	return b
}

func TestEntryLeavesReadingToItsHub(t *testing.T) {
	b := boardOf(99 * clock.Second)
	var r Reader
	require.Equal(t, Decision{Pause: IdlePause}, r.Next(b))
}

// An entry that has nothing yet reads everything, whoever else does.
func TestColdEntryReadsEverything(t *testing.T) {
	b := boardOf(99 * clock.Second)
	b.HasList = false
	b.ListRevision = 0
	var r Reader
	require.Equal(t, Decision{ShouldRead: true, Timeout: WholeAnswer}, r.Next(b))
}

// Changes that came from another entry are not read again: older ones would take
// the list back.
func TestReadFollowsWhatOthersTold(t *testing.T) {
	b := boardOf(90 * clock.Second)
	r := Reader{Revision: 30}
	next := r.Next(b)
	require.True(t, next.ShouldRead)
	require.Equal(t, uint64(40), next.AfterRevision)
	r.Succeeded(55)
	require.Equal(t, uint64(55), r.Next(b).AfterRevision)
}

// A store that is away is not asked by all entries again and again.
func TestPausesGrow(t *testing.T) {
	for role, longest := range map[peers.Role]clock.Millis{
		peers.RoleHub: LongestPause, peers.RoleSpare: LongestSpare,
	} {
		var r Reader
		first := r.Failed(role, 1)
		require.Equal(t, FirstPause, first)
		for range 10 {
			first = r.Failed(role, 1)
		}
		require.Equal(t, longest, first)
		require.Equal(t, longest/2, r.Failed(role, 0))
		r.Succeeded(1)
		require.Equal(t, FirstPause, r.Failed(role, 1))
	}
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	b := boardOf(90 * clock.Second)
	r := Reader{Revision: 30}
	r.HistoryLost()
	require.Zero(t, r.Next(b).AfterRevision)
	require.Equal(t, uint64(40), b.ListRevision, "an older list of another entry must not take its place")
	r.Succeeded(50)
	require.Equal(t, uint64(50), r.Next(b).AfterRevision)
}
