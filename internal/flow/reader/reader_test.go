package reader

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/port"
)

// boardOf returns the board of an entry that has published state. The only peer has more
// capacity and last confirmed published state at confirmedAt.
func boardOf(confirmedAt clock.Millis) *board.Board {
	b := board.New()
	b.Now = 100 * clock.Second
	b.Self = "entry-1"
	b.Domain = "north"
	b.Plan = plan.New(3, nil, nil, plan.Limits{})
	b.HasList = true
	b.ListAt = point.Point{Revision: 40}
	b.Peers["entry-2"] = &board.Peer{LastSeenAt: b.Now, News: input.News{
		Entry: "entry-2", Domain: "north", Capacity: 800, ConfirmedAt: confirmedAt,
	}}
	return b
}

func TestEntryLeavesReadingToItsHub(t *testing.T) {
	b := boardOf(99 * clock.Second)
	var r Reader
	require.Equal(t, Decision{Pause: IdleInterval}, r.Next(b))
}

// An entry without any state reads everything, even if its hub reads, too.
func TestColdEntryReadsEverything(t *testing.T) {
	b := boardOf(99 * clock.Second)
	b.HasList = false
	b.ListAt = point.Point{}
	var r Reader
	require.Equal(t, Decision{ShouldRead: true, Timeout: FullReadTimeout}, r.Next(b))
}

// A read starts at the newest revision that is known, also from peers: older changes
// would revert the list.
func TestReadStartsAtNewestKnownRevision(t *testing.T) {
	b := boardOf(90 * clock.Second)
	r := Reader{ReadTo: point.Point{Revision: 30}}
	next := r.Next(b)
	require.True(t, next.ShouldRead)
	require.Equal(t, point.Point{Revision: 40}, next.After)
	r.RecordSuccess(point.Point{Revision: 55})
	require.Equal(t, point.Point{Revision: 55}, r.Next(b).After)
}

// When the store is unavailable, the pauses between reads grow up to a bound that depends
// on the role.
func TestBackoffGrows(t *testing.T) {
	for role, maxBackoff := range map[peers.Role]clock.Millis{
		peers.RoleHub: MaxHubBackoff, peers.RoleSpare: MaxSpareBackoff,
	} {
		var r Reader
		backoff := r.RecordFailure(role, 1)
		require.Equal(t, InitialBackoff, backoff)
		for range 10 {
			backoff = r.RecordFailure(role, 1)
		}
		require.Equal(t, maxBackoff, backoff)
		require.Equal(t, maxBackoff/2, r.RecordFailure(role, 0))
		r.RecordSuccess(point.Point{Revision: 1})
		require.Equal(t, InitialBackoff, r.RecordFailure(role, 1))
	}
}

func TestLostHistoryCausesFullRead(t *testing.T) {
	b := boardOf(90 * clock.Second)
	r := Reader{ReadTo: point.Point{Revision: 30}}
	r.RecordHistoryLost()
	require.Zero(t, r.Next(b).After)
	require.Equal(t, point.Point{Revision: 40}, b.ListAt, "an older list of another entry must not take its place")
	r.RecordSuccess(point.Point{Revision: 50})
	require.Equal(t, point.Point{Revision: 50}, r.Next(b).After)
}

// Guards against an outage that is reported because the source has cut a read that waits.
func TestCutReadIsNoOutage(t *testing.T) {
	b := boardOf(90 * clock.Second)
	r := Reader{ReadTo: point.Point{Revision: 30}}
	for range 10 {
		require.Equal(t, WatchWait, r.Next(b).Wait)
		require.LessOrEqual(t, r.RecordCut(peers.RoleHub, 1), InitialBackoff)
		require.False(t, r.IsUnavailable)
		require.Equal(t, Decision{ShouldRead: true, After: point.Point{Revision: 40}, Timeout: WatchWait + WatchMargin}, r.Next(b))
		r.RecordSuccess(point.Point{Revision: 31})
	}
}

// A source that doesn't answer the read after a cut is unavailable, also while further reads are cut.
func TestFailedReadIsAnOutage(t *testing.T) {
	b := boardOf(90 * clock.Second)
	r := Reader{ReadTo: point.Point{Revision: 30}}
	r.RecordCut(peers.RoleHub, 1)
	for range 10 {
		r.RecordFailure(peers.RoleHub, 1)
		require.True(t, r.IsUnavailable)
		require.Equal(t, WatchWait, r.Next(b).Wait)
		r.RecordCut(peers.RoleHub, 1)
		require.True(t, r.IsUnavailable)
		require.Zero(t, r.Next(b).Wait)
	}
	r.RecordSuccess(point.Point{Revision: 31})
	require.False(t, r.IsUnavailable)
	require.Equal(t, WatchWait, r.Next(b).Wait)
}

// Guards against a watch that starts at a revision of an era that has ended, whatever is known of which era from whom.
func TestReadStartsInNewestKnownEra(t *testing.T) {
	b := boardOf(90 * clock.Second)
	b.ListAt = point.Point{Era: 2, Revision: 20}
	r := Reader{ReadTo: point.Point{Era: 1, Revision: 90}}
	require.Equal(t, point.Point{Era: 2, Revision: 20}, r.Next(b).After)
	r.RecordSuccess(point.Point{Era: 3, Revision: 5})
	require.Equal(t, point.Point{Era: 3, Revision: 5}, r.Next(b).After)
	r.RecordHistoryLost()
	next := r.Next(b)
	require.True(t, next.After.IsZero())
	require.Equal(t, uint64(3), next.Era)
}

// Guards against an answer of another era that counts as one of the known era, and against one of an earlier era that counts at all.
func TestAnswersOfOtherErasAreNoReads(t *testing.T) {
	known := point.Point{Era: 2, Revision: 9}
	for _, test := range []struct {
		found         uint64
		changes, full Outcome
	}{
		{1, OutcomeFailed, OutcomeFailed}, {2, OutcomeRead, OutcomeRead}, {3, OutcomeNewEra, OutcomeRead},
	} {
		at := point.Point{Era: test.found, Revision: 10}
		for after, outcome := range map[point.Point]Outcome{known: test.changes, {}: test.full} {
			r := Reader{ReadTo: known, IsUnavailable: true}
			end := r.Record(Decision{ShouldRead: true, After: after, Era: known.Era}, at, nil, peers.RoleHub, 1)
			require.Equal(t, outcome, end.Outcome, "%+v after %v", test, after)
			require.Equal(t, outcome == OutcomeFailed, r.IsUnavailable)
			require.Equal(t, outcome != OutcomeFailed, end.Recovered)
			if outcome == OutcomeRead {
				require.NoError(t, end.Err)
				require.Equal(t, at, r.ReadTo)
				continue
			}
			require.Equal(t, &port.EraError{Known: 2, Found: test.found}, end.Err)
			require.Equal(t, known, r.ReadTo)
			require.Equal(t, outcome == OutcomeNewEra, r.Next(boardOf(90*clock.Second)).After.IsZero(), "all is read anew")
		}
	}
}

// The other ends of a read, each with what follows from it.
func TestEndsOfReads(t *testing.T) {
	for outcome, err := range map[Outcome]error{
		OutcomeHistoryLost: &port.CompactedError{}, OutcomeCut: &port.CutError{Err: context.Canceled}, OutcomeFailed: context.DeadlineExceeded,
	} {
		r := Reader{ReadTo: point.Point{Revision: 30}}
		next := r.Next(boardOf(90 * clock.Second))
		end := r.Record(next, point.Point{}, err, peers.RoleHub, 1)
		require.Equal(t, outcome, end.Outcome)
		require.Equal(t, err, end.Err)
		require.Equal(t, outcome == OutcomeFailed, r.IsUnavailable)
		next = r.Next(boardOf(90 * clock.Second))
		require.Equal(t, outcome == OutcomeHistoryLost, next.After.IsZero())
		require.Equal(t, outcome == OutcomeFailed, next.Wait > 0)
	}
}
