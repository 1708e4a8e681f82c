package parts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

const (
	// siteNewsRate is the rate of news in the settings of the deployments, in bytes per second.
	siteNewsRate = 64000
	// largeOrganisations is the number of organisations, a few of which are large.
	largeOrganisations = 40
	// tokensPerAnswerEvent is the number of tokens in an event of an answer.
	tokensPerAnswerEvent = 80
	// leastPatience is the smallest part of the timeout of its route that a caller waits.
	leastPatience = 0.85
	// returnDivisor divides the time that a caller has left to give the longest time after which it returns.
	returnDivisor = 3
	// maxAnswerFactor is the ratio of the longest answer of a route to its mean.
	maxAnswerFactor = 2.5
	// largeEntries and largeEngines are the numbers of entries and engines of the large site.
	largeEntries = 195
	largeEngines = 135
)

type (
	// loadPhase is a phase of the load with the factors of the usual rates.
	loadPhase struct {
		duration            clock.Millis
		short, medium, long float64
		// leaving is the fraction of the engines that leave at the start of the phase.
		leaving float64
	}

	// answerLength is the lognormal distribution of the number of events in an answer.
	answerLength struct{ mean, spread float64 }

	// mixedLoad runs callers of short and long prompts before engines that work in passes.
	mixedLoad struct {
		callers
		organisations *rand.Zipf
		engines       passEngines
		jobs          []*passJob
		revision      uint64
	}
)

// largeDomains are the failure domains of the large site.
var largeDomains = []ident.Domain{"north", "south", "harbour", "west", "east"}

// surgesByTurns are a surge of long prompts, one of short prompts, and one of long prompts again.
var surgesByTurns = []loadPhase{
	{2700, 1, 1, 1, 0}, {9900, 0.39, 1.5, 3.2, 0}, {1200, 1, 1, 1, 0}, {10900, 2.5, 0.5, 0.05, 0}, {500, 1, 1, 1, 0.1},
	{9900, 0.34, 1.5, 3.3, 0}, {6000, 1, 1, 1, 0},
}

// answerLengths holds the lengths of answers by route.
var answerLengths = map[string]answerLength{shortPrompts: {23.5, 0.7}, mediumPrompts: {14.1, 0.6}, longPrompts: {11.8, 0.5}}

// largeEngine returns the performance model of the engines of the large site.
func largeEngine() *plan.Engine {
	engine := *testEngine()
	engine.Slots, engine.StepsPerPass, engine.MeanPromptTokens, engine.MeanOutputTokens = 10, tokensPerAnswerEvent, 13000, 1800
	return &engine
}

// largePlan returns the configuration of the large site, without organisations.
func largePlan() plan.Plan {
	routes := []plan.Route{promptRoute(shortPrompts, engines), promptRoute(mediumPrompts, engines), promptRoute(longPrompts, engines)}
	return plan.New(7, routes, []plan.Service{{Name: engines, Engine: largeEngine()}}, plan.Limits{})
}

// newMixedLoad starts the entries of the large site before engines that work in passes.
func newMixedLoad(t *testing.T, seed uint64) *mixedLoad {
	m := &mixedLoad{
		callers:  newCallers(newFleetIn(t, largeDomains, largeEntries), rand.New(rand.NewPCG(seed, 5)), leastPatience),
		revision: 20,
	}
	m.organisations = rand.NewZipf(m.random, organisationSkew, 1, largeOrganisations-1)
	newPlan := largePlan()
	keys := map[string]plan.Organisation{}
	for i := range largeOrganisations {
		keys[manyKey(uint64(i))] = plan.Organisation{Name: ident.Organisation(fmt.Sprintf("organisation-%d", i))}
	}
	newPlan = newPlan.WithOrganisations(keys)
	var list []pool.Listing
	for i := range largeEngines {
		list = append(list, pool.Listing{
			Name: ident.Endpoint(fmt.Sprintf("engine-%02d", i)), Service: engines, Slots: largeEngine().Slots,
			Address: fmt.Sprintf("10.1.0.%d:80", i), Domain: largeDomains[i%len(largeDomains)], Epoch: 1,
		})
	}
	for _, e := range m.entries {
		e.board.Settings.NewsRate = siteNewsRate
		e.step(input.PlanRead{Plan: newPlan})
		e.step(input.ListRead{List: list, At: point.Point{Revision: m.revision}})
		e.outputs = nil
	}
	for _, endpoint := range m.entries[0].board.Pool.ByService(engines) {
		m.engines = append(m.engines, &passEngine{name: endpoint.Name, model: largeEngine()})
	}
	m.advance(3 * clock.Second)
	return m
}

// sources returns the arrivals of the phase.
func (p loadPhase) sources() []arrivals {
	short := arrivals{shortPrompts, 186 * p.short, 4960, 0.9, 23800, 400, 10000, 0}
	return append([]arrivals{short}, largeSite(p.medium, p.long)...)
}

// play plays the phases and lets all prompts end.
func (m *mixedLoad) play(phases []loadPhase) {
	for _, phase := range phases {
		m.leave(phase.leaving)
		for end := m.now + phase.duration; m.now < end; {
			m.advanceTick(phase.sources())
		}
	}
	for end := m.now + promptTimeout; m.now < end; {
		m.advanceTick(nil)
	}
}

// leave lets the fraction of the engines announce that they leave. They finish what they run.
func (m *mixedLoad) leave(fraction float64) {
	all := m.entries[0].board.Pool.ByService(engines)
	for i := range int(fraction * float64(len(all))) {
		endpoint := all[i*len(all)/int(fraction*float64(len(all)))]
		m.revision++
		record := pool.Listing{
			Name: endpoint.Name, Service: engines, Address: endpoint.Address, Slots: endpoint.Slots, Domain: endpoint.Domain, Leaving: true, Epoch: 1,
		}
		for _, e := range m.entries[:len(largeDomains)] {
			m.carryOut(e, e.step(input.EndpointRead{Record: record, At: point.Point{Revision: m.revision}}))
		}
	}
}

// advanceTick moves the time forward by one tick, in which callers send prompts.
func (m *mixedLoad) advanceTick(sources []arrivals) {
	m.advance(fleetTick)
	m.engines.run(m.now)
	m.reportJobs()
	m.arrive(sources, m.ask)
	for _, entry := range m.entries {
		m.collect(entry)
	}
}

// drawAnswer draws the length of the answer to a prompt, in tokens.
func (m *mixedLoad) drawAnswer(asked *prompt) int {
	answer := answerLengths[asked.from.route]
	events := min(drawLognormal(m.random, answer.mean, answer.spread), maxAnswerFactor*answer.mean)
	return int(max(events, 1)) * tokensPerAnswerEvent
}

// ask sends a prompt to a random entry.
func (m *mixedLoad) ask(asked *prompt) {
	if asked.answerTokens == 0 {
		asked.answerTokens = m.drawAnswer(asked)
	}
	entry := m.entries[m.random.IntN(len(m.entries))]
	m.collect(entry)
	entry.lastNumber++
	m.await(entry, entry.lastNumber, asked)
	m.tell(entry, input.RequestReceived{Request: call.Request{
		Number: entry.lastNumber, Name: ident.Request(asked.from.route), Host: host, Path: "/" + asked.from.route + "/1",
		Key: manyKey(m.organisations.Uint64()), CallerTimeout: asked.deadlineAt - m.now, PromptTokens: asked.tokens,
		OutputTokens: asked.answerTokens, Fingerprint: entry.lastNumber,
	}})
}

// collect carries out the sends and replies of the entry.
func (m *mixedLoad) collect(entry *fleetEntry) {
	for _, out := range entry.takeOutputs() {
		switch out := out.(type) {
		case output.Send:
			sent := m.pending[entry][out.Send.Number]
			sent.sends++
			job := newPassJob(m.engines, entry, out.Send, sent, m.now)
			if job == nil {
				m.tell(entry, input.SendEnded{Result: call.Result{Number: out.Send.Number, End: call.EndNotRun, LeaseRefused: true}})
				continue
			}
			m.jobs = append(m.jobs, job)
		case output.Reply:
			if refused := m.pending[entry][out.Reply.Number]; !refused.hasRetried && out.Reply.RetryAfter > 0 {
				refused.hasRetried = true
				delay := min(out.Reply.RetryAfter, (refused.deadlineAt-m.now)/returnDivisor)
				m.returning = append(m.returning, returningCaller{m.now + delay, refused})
			}
			delete(m.pending[entry], out.Reply.Number)
		}
	}
}

// tell passes an input to the entry.
func (m *mixedLoad) tell(entry *fleetEntry, in input.Input) []output.Output {
	outputs := entry.step(in)
	m.carryOut(entry, outputs)
	m.collect(entry)
	return outputs
}

// reportJobs tells the entries what has become of their sends.
func (m *mixedLoad) reportJobs() {
	jobs := m.jobs
	m.jobs = nil
	var open []*passJob
	for _, job := range jobs {
		if m.report(job) {
			open = append(open, job)
		}
	}
	m.jobs = append(open, m.jobs...)
}

// report tells the entry of the job what has happened to it, and reports whether the job goes on.
func (m *mixedLoad) report(job *passJob) bool {
	if job.firstAt > 0 && !job.isFirstTold {
		job.isFirstTold = true
		job.prompt.isOnTime = m.now <= job.prompt.dueAt
		m.tell(job.entry, input.FirstEventSent{Number: job.number})
	}
	switch {
	case job.endedAt > 0:
		job.prompt.isServed = true
		m.tell(job.entry, input.SendEnded{Result: completeResult(job.number)})
		delete(m.pending[job.entry], job.number)
		return false
	case m.now >= job.prompt.deadlineAt:
		job.leave()
		m.tell(job.entry, input.SendEnded{Result: call.Result{Number: job.number, End: call.EndTimeout}})
		return false
	case job.firstAt == 0 && m.now >= job.silentAt && !job.isSilent:
		job.isSilent = true
		silent := input.EndpointSilent{Number: job.number}
		if slices.Contains(m.tell(job.entry, silent), output.Output(output.MoveSend(silent))) {
			job.leave()
			m.tell(job.entry, input.SendEnded{Result: call.Result{Number: job.number, End: call.EndAnswerLost}})
			return false
		}
	}
	return true
}

// Guards against surges in which hardly any of the longest prompts are served, because answers stand one by one on
// engines that can't prefill long shards then. Users require that the largest tenth and the fifth below it
// are served half as often as all.
//
// Pattern: a surge of long prompts, one of short prompts, and one of long prompts again, which the engines can't serve.
func TestLongestPromptsAreServedInSurgesByTurns(t *testing.T) {
	t.Parallel()
	const (
		floor = 0.5
		seeds = 12
	)
	played := make([]prompts, seeds)
	t.Run("play", func(t *testing.T) {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				m := newMixedLoad(t, seed)
				m.play(surgesByTurns)
				played[seed] = m.prompts
			})
		}
	})
	all := slices.Concat(played...)
	for _, route := range []string{shortPrompts, mediumPrompts, longPrompts} {
		of := all.filter(func(p *prompt) bool { return p.from.route == route })
		t.Logf("%s: %d, served %.2f, on time %.2f", route, len(of), of.ratio((*prompt).served), of.ratio((*prompt).onTime))
	}
	got := all.filter(func(p *prompt) bool { return p.from.route == longPrompts })
	divided := got.byTenth()
	for i, of := range divided {
		t.Logf("tenth %d of the long prompts from the longest: served %.2f, on time %.2f, %.0f engine-seconds of prefill", i+1, of.ratio((*prompt).served),
			of.ratio((*prompt).onTime), of.prefillSeconds())
	}
	served := got.ratio((*prompt).served)
	assert.GreaterOrEqual(t, divided[0].ratio((*prompt).served), floor*served, "largest tenth")
	fifth := slices.Concat(divided[1], divided[2])
	assert.GreaterOrEqual(t, fifth.ratio((*prompt).served), floor*served, "fifth below it")
}

// Guards against decisions that depend on the order of a map: two fleets with equal inputs must decide alike.
func TestEqualInputsGiveEqualDecisions(t *testing.T) {
	t.Parallel()
	var decisions [2][]string
	for i := range decisions {
		m := newMixedLoad(t, 1)
		for end := m.now + 5*clock.Second; m.now < end; {
			m.advanceTick(loadPhase{short: 1, medium: 1.5, long: 3}.sources())
			for _, job := range m.jobs {
				decisions[i] = append(decisions[i], fmt.Sprint(job.entry.host, job.number, job.lead.name, len(job.helpers), job.silentAt))
			}
		}
	}
	require.Equal(t, decisions[0], decisions[1])
}
