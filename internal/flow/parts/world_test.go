package parts

import (
	"fmt"
	"math"
	"testing"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/cycle"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

const (
	host       = "roofs.example"
	engines    = "engines"
	desk       = "desk"
	knownKey   = "key-of-city"
	testWindow = 10 * clock.Second
)

// world plays inputs on the board of one entry and keeps its outputs.
type world struct {
	t       *testing.T
	board   *board.Board
	cycle   cycle.Cycle[*board.Board, input.Input]
	numbers uint64
	outputs []output.Output
	told    map[ident.Entry]uint64
}

func newWorld(t *testing.T, options ...peers.Option) *world {
	w := &world{
		t: t, board: board.New(), cycle: cycle.New(Controllers("7000", options...)...), told: map[ident.Entry]uint64{},
	}
	w.board.Now = 100 * clock.Second
	started := input.Started{
		Self: "entry-1", Epoch: 1, Domain: "north", Address: "10.0.0.1:9000", Seed: 1,
		Settings: input.Settings{RetryRatio: 0.2, RetrySlack: 200, RetryWindow: testWindow},
	}
	w.board.Start(started)
	w.step(started)
	return w
}

func (w *world) step(happened input.Input) []output.Output {
	w.cycle.Step(w.board, happened)
	w.board.LastStep = w.board.Now
	emitted := w.board.TakeOutputs()
	w.outputs = append(w.outputs, emitted...)
	return emitted
}

func (w *world) pass(span clock.Millis) {
	const tick = 50
	for end := w.board.Now + span; w.board.Now < end; {
		w.board.Now += tick
		w.step(input.Ticked{})
	}
}

func engineOf() *plan.Engine {
	return &plan.Engine{
		Slots: 16, MemoryTokens: 315000, StepsPerPass: 51, ChunkTokens: 2048, StepMillis: 0.85, StepMillisPerRequest: 0.00425,
		ContextMillis: 0.00285, PrefillTokensPerMilli: 177, AttentionMillis: 0.184, HopMillis: 0.05,
		MeanPromptTokens: 11000, MeanOutputTokens: 1600,
	}
}

func planOf(version plan.Version) plan.Plan {
	stream := plan.Stream{Resumable: true, GapObjective: 250}
	routes := []plan.Route{
		{
			Name: "short", Host: host, Prefix: "/short/", Repeat: stream, Timeout: 10000, Objective: 300, Attempts: 2,
			Services: []plan.WeightedService{{Service: engines, Weight: 1}},
		},
		{
			Name: "long", Host: host, Prefix: "/long/", Repeat: plan.Stream{Resumable: true, GapObjective: 1000},
			Timeout: 15000, Objective: 3000, Attempts: 2, Services: []plan.WeightedService{{Service: engines, Weight: 1}},
		},
		{
			Name: "fixed", Host: host, Prefix: "/fixed/", Repeat: plan.Stream{GapObjective: 250}, Timeout: 10000,
			Objective: 300, Attempts: 2, Services: []plan.WeightedService{{Service: engines, Weight: 1}},
		},
		{
			Name: "book", Host: host, Prefix: "/book/", Repeat: plan.Once{}, Timeout: 800, Objective: 100, Attempts: 1,
			Services: []plan.WeightedService{{Service: desk, Weight: 1}},
		},
		{
			Name: "read", Host: host, Prefix: "/read/", Repeat: plan.Idempotent{}, Timeout: 800, Objective: 100,
			Attempts: 2, Services: []plan.WeightedService{{Service: desk, Weight: 1}},
		},
	}
	services := []plan.Service{{Name: engines, Engine: engineOf()}, {Name: desk}}
	made := plan.New(version, routes, services, plan.Limits{})
	return made.WithOrganisations(map[string]plan.Organisation{knownKey: {Name: "city"}})
}

// serve brings a plan and endpoints: engines and desks in three failure domains.
func (w *world) serve(engineCount int) *world {
	w.step(input.PlanRead{Plan: planOf(5)})
	var list []pool.Listing
	domains := []ident.Domain{"north", "south", "harbour"}
	for i := range engineCount {
		list = append(list, pool.Listing{
			Name: ident.Endpoint(fmt.Sprintf("engine-%02d", i)), Service: engines, Slots: 16,
			Address: fmt.Sprintf("10.1.0.%d:80", i), Domain: domains[i%len(domains)], Epoch: 1,
		})
	}
	for i, domain := range domains {
		list = append(list, pool.Listing{
			Name: ident.Endpoint(fmt.Sprintf("desk-%d", i)), Service: desk, Slots: 6,
			Address: fmt.Sprintf("10.2.0.%d:80", i), Domain: domain, Epoch: 1,
		})
	}
	w.step(input.ListRead{List: list, Revision: 10})
	return w
}

// ask brings a caller's request and returns its number and the outputs for it.
func (w *world) ask(path string, tokens int, deadline clock.Millis) (uint64, output.Output) {
	w.numbers++
	asked := call.Request{
		Number: w.numbers, Name: ident.Request(fmt.Sprintf("r%d", w.numbers)), Host: host, Path: path, Key: knownKey,
		CallerTimeout: deadline, PromptTokens: tokens, OutputTokens: 1600, Fingerprint: w.numbers,
	}
	return w.numbers, w.of(asked.Number, w.step(input.RequestReceived{Request: asked}))
}

// of returns the output that concerns the request, or nil.
func (w *world) of(number uint64, emitted []output.Output) output.Output {
	for _, wanted := range emitted {
		switch wanted := wanted.(type) {
		case output.Send:
			if wanted.Send.Number == number {
				return wanted
			}
		case output.Reply:
			if wanted.Reply.Number == number {
				return wanted
			}
		case output.Deliver:
			if wanted.Number == number {
				return wanted
			}
		case output.Abort:
			if wanted.Number == number {
				return wanted
			}
		}
	}
	return nil
}

func (w *world) end(result call.Result) output.Output {
	return w.of(result.Number, w.step(input.SendEnded{Result: result}))
}

// hear brings news of another entry, of the south.
func (w *world) hear(entry ident.Entry, change func(*input.News)) {
	w.told[entry]++
	news := input.News{
		Entry: entry, Epoch: 1, Sequence: w.told[entry], Domain: "south", Address: "10.9.0.1:9000", PlanVersion: 5,
	}
	if change != nil {
		change(&news)
	}
	w.step(input.NewsReceived{Batch: input.Batch{Sender: entry, News: []input.News{news}}})
}

// hearWork brings what entry-2 tells as a hub.
func (w *world) hearWork(sums tally.Loads) {
	const hub = ident.Entry("entry-2")
	w.told[hub]++
	part := tally.Aggregate{Hub: tally.EntryHashOf(hub), Epoch: 1, Sequence: w.told[hub], IsSnapshot: true, Last: math.MaxUint32, Loads: sums}
	w.step(input.NewsReceived{Batch: input.Batch{Sender: hub, Aggregates: []tally.Aggregate{part}}})
}

func resultOf(number uint64) call.Result {
	return call.Result{Number: number, End: call.EndComplete, Status: 200}
}
