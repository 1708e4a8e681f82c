package intake_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/intake"
)

func polls(actions []action.Action) []action.WatchPlatform {
	var found []action.WatchPlatform
	for _, act := range actions {
		if poll, ok := act.(action.WatchPlatform); ok {
			found = append(found, poll)
		}
	}
	return found
}

// Guards against reads from the start without pause, since two instances of the platform that disagree
// answer in turn.
func TestDisagreeingPlatformIsReadAnewOnceASecond(t *testing.T) {
	core := newCore()
	fromStart := 0
	const seconds = 20
	for at := clock.Second; at < (seconds+1)*clock.Second; at += 100 {
		for _, poll := range polls(core.Step(at, event.Ticked{})) {
			if poll.AfterRevision == 0 {
				fromStart++
				core.Step(at, event.TicketsRead{Era: 1, Revision: 7})
				continue
			}
			core.Step(at, event.HistoryChanged{Era: 2, Revision: 7})
		}
	}
	require.InDelta(t, seconds, fromStart, 2)
}

// Guards against a first read after the return of the platform that waits for changes, or that is not
// from the start, and against pages in the middle of such a read that count as its end.
func TestReadAnewGoesOnToItsEnd(t *testing.T) {
	core := newCore()
	core.Step(clock.Second, event.TicketsRead{Era: 1, Revision: 700})
	require.Equal(t, []action.WatchPlatform{{Era: 1, AfterRevision: 700, Wait: intake.WatchTimeout}}, polls(core.Step(2*clock.Second, event.Ticked{})))
	core.Step(3*clock.Second, event.HistoryChanged{Era: 2, Revision: 650})
	require.Equal(t, []action.WatchPlatform{{Era: 2}}, polls(core.Step(3*clock.Second, event.Ticked{})))
	core.Step(4*clock.Second, event.TicketsRead{Era: 2, Revision: 512, More: true})
	require.True(t, core.Board().Platform.IsReadAnew)
	require.Equal(t, []action.WatchPlatform{{Era: 2, AfterRevision: 512}}, polls(core.Step(4*clock.Second, event.Ticked{})))
	core.Step(5*clock.Second, event.TicketsRead{Era: 2, Revision: 650})
	require.False(t, core.Board().Platform.IsReadAnew)
	require.Equal(t, []action.WatchPlatform{{Era: 2, AfterRevision: 650, Wait: intake.WatchTimeout}}, polls(core.Step(5*clock.Second, event.Ticked{})))
}
