package loads_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/route/loads"
)

// Cached prefixes are limited per engine, with a lower limit for other failure domains.
// A gap in the sequence of cache events counts as missed events, and a restart clears
// the prefixes.
func TestCacheEvents(t *testing.T) {
	b := board.New()
	b.Domain = "north"
	state, _ := fleet.NewState().With(fleet.Ticket{Number: 1, Objects: []fleet.Object{
		fleet.Endpoint{Name: "near", Domain: "north"}, fleet.Endpoint{Name: "far", Domain: "south"},
	}})
	b.SetState(state)
	var events []event.CacheEvent
	for i := range uint64(2 * loads.MaxLocalPrefixes) {
		events = append(events, event.CacheEvent{Sequence: i + 1, Prefix: i, Stored: true})
	}
	controller := loads.NewController()
	report := event.Report{Boot: 1, CacheEvents: events, CacheSequence: uint64(len(events))}
	controller.Step(b, event.ReportRead{Endpoint: "near", Report: report})
	controller.Step(b, event.ReportRead{Endpoint: "far", Report: report})
	require.Len(t, b.Endpoints["near"].Prefixes, loads.MaxLocalPrefixes)
	require.Len(t, b.Endpoints["far"].Prefixes, loads.MaxRemotePrefixes)
	require.Zero(t, b.Endpoints["near"].MissedEvents)

	last := uint64(len(events))
	gap := event.Report{Boot: 1, CacheEvents: []event.CacheEvent{{Sequence: last + 4, Prefix: 1}}, CacheSequence: last + 4}
	controller.Step(b, event.ReportRead{Endpoint: "near", Report: gap})
	require.EqualValues(t, 3, b.Endpoints["near"].MissedEvents)
	require.NotContains(t, b.Endpoints["near"].Prefixes, uint64(1))

	for range 3 {
		controller.Step(b, event.ReportRead{Endpoint: "near", Report: event.Report{Boot: 1, CacheSequence: last + 4}})
	}
	require.Zero(t, b.Endpoints["near"].MissedEvents, "the count of missed events decays")

	controller.Step(b, event.ReportRead{Endpoint: "near", Report: event.Report{Boot: 2}})
	require.Empty(t, b.Endpoints["near"].Prefixes)
}

// Guards against the cached prefixes of a restarted engine that stay unknown, since the reports that list
// them are asked for from where those of the process before ended.
func TestEventsOfRestartedEngineAreReadFromTheStart(t *testing.T) {
	for _, row := range []struct {
		name  string
		after event.Report
	}{
		{"fewer events", event.Report{Boot: 2, CacheSequence: 3}},
		{"more events", event.Report{Boot: 2, CacheSequence: 9, CacheEvents: []event.CacheEvent{{Sequence: 9, Prefix: 9, Stored: true}}}},
		{"same process, cache begun anew", event.Report{Boot: 1, CacheSequence: 3}},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := board.New()
			state, _ := fleet.NewState().With(fleet.Ticket{Number: 1, Objects: []fleet.Object{fleet.Endpoint{Name: "g"}}})
			b.SetState(state)
			controller := loads.NewController()
			first := event.Report{Boot: 1, CacheSequence: 8, CacheEvents: []event.CacheEvent{{Sequence: 8, Prefix: 8, Stored: true}}}
			controller.Step(b, event.ReportRead{Endpoint: "g", Report: first})
			controller.Step(b, event.ReportRead{Endpoint: "g", Report: row.after})
			require.NotContains(t, b.Endpoints["g"].Prefixes, uint64(8))

			b.Now = loads.ReadInterval
			controller.Step(b, event.Ticked{})
			require.Contains(t, b.TakeActions(), action.ReadReport{Endpoint: "g", Since: 0, RequestedAt: b.Now})

			var all []event.CacheEvent
			for i := range row.after.CacheSequence {
				all = append(all, event.CacheEvent{Sequence: i + 1, Prefix: i + 1, Stored: true})
			}
			whole := event.Report{Boot: row.after.Boot, CacheSequence: row.after.CacheSequence, CacheEvents: all}
			controller.Step(b, event.ReportRead{Endpoint: "g", Report: whole})
			require.Len(t, b.Endpoints["g"].Prefixes, len(all))
			require.Zero(t, b.Endpoints["g"].MissedEvents)
			b.Now += loads.ReadInterval
			controller.Step(b, event.Ticked{})
			require.Contains(t, b.TakeActions(), action.ReadReport{Endpoint: "g", Since: row.after.CacheSequence, RequestedAt: b.Now})
		})
	}
}

// An engine is down after two failed reads and is up again after the next successful
// one.
func TestDown(t *testing.T) {
	b := board.New()
	controller := loads.NewController()
	for _, down := range []bool{false, true} {
		controller.Step(b, event.ReportFailed{Endpoint: "g"})
		require.Equal(t, down, loads.IsDown(b.Endpoints["g"]))
	}
	controller.Step(b, event.ReportRead{Endpoint: "g"})
	require.False(t, loads.IsDown(b.Endpoints["g"]))
}
