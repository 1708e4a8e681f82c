package parts

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

// organisationCount is the number of organisations that the relay is designed for.
const organisationCount = 20000

// manyOrganisations returns organisations by key: that of callerKey, and organisationCount others.
var manyOrganisations = sync.OnceValue(func() map[string]plan.Organisation {
	keys := map[string]plan.Organisation{callerKey: {Name: "city"}}
	for i := range organisationCount {
		keys[manyKey(uint64(i))] = plan.Organisation{Name: ident.Organisation(fmt.Sprintf("organisation-%d", i))}
	}
	return keys
})

func manyKey(i uint64) string { return fmt.Sprintf("key-of-%d", i) }

// configureModels gives the entry a plan with the given number of models, and that many
// engines, spread over the models and three failure domains.
func (e *testEntry) configureModels(models, engineCount int) *testEntry {
	var routes []plan.Route
	var services []plan.Service
	for i := range models {
		name := ident.Service(fmt.Sprintf("model-%02d", i))
		routes = append(routes, plan.Route{
			Name: string(name), Host: host, Prefix: fmt.Sprintf("/%s/", name), Repeat: plan.Stream{Resumable: true, GapObjective: 250},
			Timeout: 10000, Objective: 300, Attempts: 2, Services: []plan.WeightedService{{Service: name, Weight: 1}},
		})
		services = append(services, plan.Service{Name: name, Engine: testEngine()})
	}
	newPlan := plan.New(6, routes, services, plan.Limits{})
	e.step(input.PlanRead{Plan: newPlan.WithOrganisations(manyOrganisations())})
	var list []pool.Listing
	domains := []ident.Domain{"north", "south", "harbour"}
	for i := range engineCount {
		name := ident.Endpoint(fmt.Sprintf("engine-%04d", i))
		list = append(list, pool.Listing{
			Name: name, Service: services[i%models].Name, Slots: 16, Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
			Domain: domains[i%len(domains)], Epoch: 1,
		})
	}
	e.step(input.ListRead{List: list, At: point.Point{Revision: 11}})
	return e
}

// addRemoteLoad reports a typical load of other entries at each endpoint.
func (e *testEntry) addRemoteLoad() *testEntry {
	loads := tally.Loads{}
	for hash := range e.board.Pool.ByHash() {
		loads[hash] = pool.Load{
			Leads: 10, ShortPrompts: 10, Decoding: 8, Prefilling: 2, ContextTokens: 53000, MemoryTokens: 66000, PendingTokens: 10000,
			PrefillMillis: 62, LastPrefillEndsAt: e.board.Now + 40, MinGap: 250,
		}
	}
	e.receiveLoads(loads)
	return e
}

// BenchmarkDecision measures the time to choose an engine for one request.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ models, engines int }{{1, 18}, {36, 600}, {36, 6000}, {1, 600}} {
		b.Run(fmt.Sprintf("models=%d/engines=%d", size.models, size.engines), func(b *testing.B) {
			e := newTestEntry(&testing.T{}).configureModels(size.models, size.engines).addRemoteLoad()
			b.ReportAllocs()
			for b.Loop() {
				e.decideOnce()
			}
		})
	}
}

// A decision, with admission and send, must allocate little: entries make thousands a second.
func TestDecisionAllocatesLittle(t *testing.T) {
	const maxAllocations = 4
	e := newTestEntry(t).configureModels(36, 600).addRemoteLoad()
	allocations := testing.AllocsPerRun(200, func() { e.decideOnce() })
	require.LessOrEqual(t, allocations, float64(maxAllocations))
}

// decideOnce passes a short prompt to the core, which sends it, and ends it.
func (e *testEntry) decideOnce() {
	e.lastNumber++
	request := call.Request{
		Number: e.lastNumber, Host: host, Path: "/model-00/1", Key: callerKey, CallerTimeout: 10000, PromptTokens: 5000,
		OutputTokens: 1600, Fingerprint: e.lastNumber,
	}
	e.cycle.Step(e.board, input.RequestReceived{Request: request})
	e.cycle.Step(e.board, input.CallerDisconnected{Number: request.Number})
	e.board.TakeOutputs()
}

// BenchmarkNews measures the time to process an update from a hub with the changed load
// of one engine, in a fleet of 370 entries.
func BenchmarkNews(b *testing.B) {
	e := newTestEntry(&testing.T{}).configureModels(36, 600).addRemoteLoad()
	for i := range 370 {
		e.receiveNews(ident.Entry(fmt.Sprintf("other-%03d", i)), nil)
	}
	sequence := uint64(10)
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		name := ident.Endpoint(fmt.Sprintf("engine-%04d", sequence%600))
		aggregate := tally.Aggregate{
			Hub: tally.EntryHashOf("other-007"), Epoch: 1, Sequence: sequence, Loads: tally.Loads{pool.HashOf(name): {Leads: int(sequence % 9)}},
		}
		e.cycle.Step(e.board, input.NewsReceived{Batch: input.Batch{Sender: "other-007", Aggregates: []tally.Aggregate{aggregate}}})
		e.board.TakeOutputs()
	}
}
