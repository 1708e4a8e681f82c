package parts

import (
	"fmt"
	"testing"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

// serveModels brings a plan with many models and as many engines as are named.
func (w *world) serveModels(models, engineCount int) *world {
	var routes []plan.Route
	var services []plan.Service
	for i := range models {
		name := ident.Service(fmt.Sprintf("model-%02d", i))
		routes = append(routes, plan.Route{
			Name: string(name), Host: host, Prefix: fmt.Sprintf("/%s/", name), Repeat: plan.Stream{Resumable: true, GapObjective: 250},
			Timeout: 10000, Objective: 300, Attempts: 2, Services: []plan.WeightedService{{Service: name, Weight: 1}},
		})
		services = append(services, plan.Service{Name: name, Engine: engineOf()})
	}
	made := plan.New(6, routes, services, plan.Limits{})
	w.step(input.PlanRead{Plan: made.WithOrganisations(map[string]plan.Organisation{knownKey: {Name: "city"}})})
	var list []pool.Listing
	domains := []ident.Domain{"north", "south", "harbour"}
	for i := range engineCount {
		name := ident.Endpoint(fmt.Sprintf("engine-%04d", i))
		list = append(list, pool.Listing{
			Name: name, Service: services[i%models].Name, Slots: 16, Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
			Domain: domains[i%len(domains)], Epoch: 1,
		})
	}
	w.step(input.ListRead{List: list, Revision: 11})
	return w
}

// loadEngines brings a usual load of other entries.
func (w *world) loadEngines() *world {
	work := tally.Loads{}
	for mark := range w.board.Pool.ByHash() {
		work[mark] = pool.Load{
			Leads: 10, ShortPrompts: 10, Decoding: 8, Prefilling: 2, ContextTokens: 53000, MemoryTokens: 66000, PendingTokens: 10000,
			PrefillMillis: 62, PrefillDoneAt: w.board.Now + 40, MinGap: 250,
		}
	}
	w.hearWork(work)
	return w
}

func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ models, engines int }{{1, 18}, {36, 600}, {36, 6000}, {1, 600}} {
		b.Run(fmt.Sprintf("models=%d/engines=%d", size.models, size.engines), func(b *testing.B) {
			w := newWorld(&testing.T{}).serveModels(size.models, size.engines).loadEngines()
			b.ReportAllocs()
			for b.Loop() {
				w.numbers++
				asked := call.Request{
					Number: w.numbers, Host: host, Path: "/model-00/1", Key: knownKey, CallerTimeout: 10000, PromptTokens: 5000,
					OutputTokens: 1600, Fingerprint: w.numbers,
				}
				w.cycle.Step(w.board, input.RequestReceived{Request: asked})
				w.cycle.Step(w.board, input.CallerDisconnected{Number: asked.Number})
				w.board.TakeOutputs()
			}
		})
	}
}

// BenchmarkNews takes what a hub tells of one changed engine, among 370 entries.
func BenchmarkNews(b *testing.B) {
	w := newWorld(&testing.T{}).serveModels(36, 600).loadEngines()
	for i := range 370 {
		w.hear(ident.Entry(fmt.Sprintf("other-%03d", i)), nil)
	}
	sequence := uint64(10)
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		name := ident.Endpoint(fmt.Sprintf("engine-%04d", sequence%600))
		part := tally.Aggregate{
			Hub: tally.EntryHashOf("other-007"), Epoch: 1, Sequence: sequence, Loads: tally.Loads{pool.HashOf(name): {Leads: int(sequence % 9)}},
		}
		w.cycle.Step(w.board, input.NewsReceived{Batch: input.Batch{Sender: "other-007", Aggregates: []tally.Aggregate{part}}})
		w.board.TakeOutputs()
	}
}
