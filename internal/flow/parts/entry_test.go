package parts

import (
	"cmp"
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
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

const (
	host        = "roofs.example"
	engines     = "engines"
	desk        = "desk"
	callerKey   = "key-of-city"
	retryWindow = 10 * clock.Second
	gracePeriod = 8 * clock.Second
)

// testEntry runs the core of one entry in virtual time and keeps its outputs.
type testEntry struct {
	t          *testing.T
	board      *board.Board
	cycle      cycle.Cycle[*board.Board, input.Input]
	lastNumber uint64
	// key is the API key of the callers.
	key string
	// fingerprint is that of the next request; zero stands for one of its own.
	fingerprint uint64
	outputs     []output.Output
	// sequences holds the last sequence number of the news from each other entry.
	sequences map[ident.Entry]uint64
}

// newTestEntry starts entry-1 in the failure domain north, without a plan or endpoints.
func newTestEntry(t *testing.T, options ...peers.Option) *testEntry {
	e := &testEntry{
		t: t, key: callerKey, board: board.New(), cycle: cycle.New(Controllers("7000", options...)...), sequences: map[ident.Entry]uint64{},
	}
	e.board.Now = 100 * clock.Second
	started := input.Started{
		Self: "entry-1", Epoch: 1, Domain: "north", Address: "10.0.0.1:9000", Seed: 1,
		Settings: input.Settings{RetryRatio: 0.2, RetrySlack: 200, RetryWindow: retryWindow, GracePeriod: gracePeriod, HeartbeatInterval: 1200},
	}
	e.board.Start(started)
	e.step(started)
	return e
}

// step passes an input to the core and returns its outputs.
func (e *testEntry) step(in input.Input) []output.Output {
	e.cycle.Step(e.board, in)
	e.board.LastStep = e.board.Now
	emitted := e.board.TakeOutputs()
	e.outputs = append(e.outputs, emitted...)
	return emitted
}

// takeOutputs returns the outputs since the last call.
func (e *testEntry) takeOutputs() []output.Output {
	outputs := e.outputs
	e.outputs = nil
	return outputs
}

// advance moves the virtual time forward by the given time, in ticks.
func (e *testEntry) advance(duration clock.Millis) {
	const tick = 50
	for end := e.board.Now + duration; e.board.Now < end; {
		e.board.Now += tick
		e.step(input.Ticked{})
	}
}

// testEngine returns the performance model of the engines in the tests.
func testEngine() *plan.Engine {
	return &plan.Engine{
		Slots: 16, MemoryTokens: 315000, StepsPerPass: 51, ChunkTokens: 2048, StepMillis: 0.85, StepMillisPerRequest: 0.00425,
		ContextMillis: 0.00285, PrefillTokensPerMilli: 177, AttentionMillis: 0.184, HopMillis: 0.05,
		MeanPromptTokens: 11000, MeanOutputTokens: 1600,
	}
}

// testPlan returns a plan with two routes to resumable streams, one to streams that can't be
// resumed, and three routes to the plain service desk.
func testPlan(version plan.Version) plan.Plan {
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
			Name: "order", Host: host, Prefix: "/order/", Repeat: plan.Once{}, Timeout: 4000, Objective: 3000, Attempts: 1,
			Services: []plan.WeightedService{{Service: desk, Weight: 1}},
		},
		{
			Name: "read", Host: host, Prefix: "/read/", Repeat: plan.Idempotent{}, Timeout: 800, Objective: 100,
			Attempts: 2, Services: []plan.WeightedService{{Service: desk, Weight: 1}},
		},
	}
	services := []plan.Service{{Name: engines, Engine: testEngine()}, {Name: desk}}
	newPlan := plan.New(version, routes, services, plan.Limits{})
	return newPlan.WithOrganisations(map[string]plan.Organisation{callerKey: {Name: "city"}})
}

// configure gives the entry a plan, the given number of engines and three endpoints of the
// service desk, spread over three failure domains.
func (e *testEntry) configure(engineCount int) *testEntry {
	e.step(input.PlanRead{Plan: testPlan(5)})
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
	e.step(input.ListRead{List: list, At: point.Point{Revision: 10}})
	return e
}

// request passes a caller's request to the core. It returns the number of the request and
// the output for it, or nil if there is none.
func (e *testEntry) request(path string, tokens int, timeout clock.Millis) (uint64, output.Output) {
	e.lastNumber++
	received := call.Request{
		Number: e.lastNumber, Name: ident.Request(fmt.Sprintf("r%d", e.lastNumber)), Host: host, Path: path, Key: e.key,
		CallerTimeout: timeout, PromptTokens: tokens, OutputTokens: 1600, Fingerprint: cmp.Or(e.fingerprint, e.lastNumber),
	}
	return e.lastNumber, e.outputFor(received.Number, e.step(input.RequestReceived{Request: received}))
}

// outputFor returns the first of the outputs that is for the request, or nil.
func (e *testEntry) outputFor(number uint64, outputs []output.Output) output.Output {
	for _, out := range outputs {
		switch out := out.(type) {
		case output.Send:
			if out.Send.Number == number {
				return out
			}
		case output.Reply:
			if out.Reply.Number == number {
				return out
			}
		case output.Deliver:
			if out.Number == number {
				return out
			}
		case output.Abort:
			if out.Number == number {
				return out
			}
		}
	}
	return nil
}

// endSend passes the result of a send to the core and returns the output for the request.
func (e *testEntry) endSend(result call.Result) output.Output {
	return e.outputFor(result.Number, e.step(input.SendEnded{Result: result}))
}

// receiveNews passes news from another entry to the core, by default of an entry in the
// failure domain south. change may modify the news.
func (e *testEntry) receiveNews(entry ident.Entry, change func(*input.News)) {
	e.sequences[entry]++
	news := input.News{
		Entry: entry, Epoch: 1, Sequence: e.sequences[entry], Domain: "south", Address: "10.9.0.1:9000", PlanVersion: 5,
	}
	if change != nil {
		change(&news)
	}
	e.step(input.NewsReceived{Batch: input.Batch{Sender: entry, News: []input.News{news}}})
}

// receiveLoads passes a snapshot of the loads to the core, as sent by the hub entry-2.
func (e *testEntry) receiveLoads(loads tally.Loads) {
	const hub = ident.Entry("entry-2")
	e.sequences[hub]++
	aggregate := tally.Aggregate{Hub: tally.EntryHashOf(hub), Epoch: 1, Sequence: e.sequences[hub], IsSnapshot: true, Last: math.MaxUint32, Loads: loads}
	e.step(input.NewsReceived{Batch: input.Batch{Sender: hub, Aggregates: []tally.Aggregate{aggregate}}})
}

// completeResult returns the result of a successful send of the request.
func completeResult(number uint64) call.Result {
	return call.Result{Number: number, End: call.EndComplete, Status: 200}
}
