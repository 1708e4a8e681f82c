package parts

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/plan"
)

const (
	// shortPrompts, mediumPrompts and longPrompts are the routes of prompts by their length.
	shortPrompts  = "short"
	mediumPrompts = "medium"
	longPrompts   = "long"
	// longestPrompt is the length of the longest prompt in tokens.
	longestPrompt = 700000
	// promptTimeout is how long callers of the longest prompts wait.
	promptTimeout = 15 * clock.Second
	// tenths is the number of equal groups into which prompts are divided by length.
	tenths = 10
)

type (
	// arrivals describes the prompts of a route: how many arrive per second, and the
	// lognormal distribution of their lengths.
	arrivals struct {
		route     string
		perSecond float64
		mean      float64
		spread    float64
		maximum   int
		objective clock.Millis
		timeout   clock.Millis
		// answer is the time from the first event of an answer to its end.
		answer clock.Millis
	}

	// prompt is a prompt of a caller and what became of it.
	prompt struct {
		from   arrivals
		key    string
		tokens int
		// fingerprint is the same for all attempts; zero for prompts that need none.
		fingerprint uint64
		dueAt       clock.Millis
		// deadlineAt is when the caller stops waiting, and hasRetried whether it has sent the
		// prompt again after a refusal.
		deadlineAt clock.Millis
		hasRetried bool
		// isAbusive is set if the caller comes back at once and often after a refusal, and returns counts that.
		isAbusive bool
		returns   int
		// answerTokens is the length of the answer, prefillMillis the time that engines spent on the prefill.
		answerTokens  int
		prefillMillis float64
		// sends counts the sends to endpoints. isServed is set with the first event of the
		// answer, isOnTime if that was in time.
		sends    int
		isServed bool
		isOnTime bool
	}

	// prompts are the prompts of a run.
	prompts []*prompt

	// callers are simulated callers of random entries.
	callers struct {
		*fleet
		random  *rand.Rand
		prompts prompts
		// pending holds the prompts in progress by the number of their request.
		pending   map[*fleetEntry]map[uint64]*prompt
		returning returningCallers
		// minPatience is the smallest part of the timeout of its route that a caller waits.
		minPatience float64
	}

	// returningCallers are the callers that were refused and send their prompts again at a later time.
	returningCallers []returningCaller

	returningCaller struct {
		at     clock.Millis
		prompt *prompt
	}
)

func newCallers(f *fleet, random *rand.Rand, minPatience float64) callers {
	return callers{fleet: f, random: random, pending: map[*fleetEntry]map[uint64]*prompt{}, minPatience: minPatience}
}

// arrive calls the function for each prompt that its caller sends in a tick: those that return, and new ones.
func (c *callers) arrive(sources []arrivals, ask func(*prompt)) {
	for _, asked := range c.returning.takeDue(c.now) {
		ask(asked)
	}
	for _, source := range sources {
		source.inTick(c.random, func() {
			asked := source.draw(c.random, c.now, c.minPatience)
			c.prompts = append(c.prompts, asked)
			ask(asked)
		})
	}
}

// await records that the prompt is in progress at the entry.
func (c *callers) await(entry *fleetEntry, number uint64, asked *prompt) {
	if c.pending[entry] == nil {
		c.pending[entry] = map[uint64]*prompt{}
	}
	c.pending[entry][number] = asked
}

// filter returns the prompts for which the function returns true.
func (p prompts) filter(isWanted func(*prompt) bool) prompts {
	return slices.DeleteFunc(slices.Clone(p), func(one *prompt) bool { return !isWanted(one) })
}

// ratio returns the share of the prompts for which the function returns true.
func (p prompts) ratio(holds func(*prompt) bool) float64 {
	return float64(len(p.filter(holds))) / float64(max(len(p), 1))
}

// byLength returns the prompts in the order of their tokens, the longest first.
func (p prompts) byLength() prompts {
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b *prompt) int { return cmp.Compare(b.tokens, a.tokens) })
	return sorted
}

// largest returns the given share of the prompts, those with the most tokens.
func (p prompts) largest(share float64) prompts { return p.byLength()[:int(share*float64(len(p)))] }

// takeDue removes the callers that return by the given time and returns their prompts.
func (r *returningCallers) takeDue(now clock.Millis) prompts {
	var due prompts
	*r = slices.DeleteFunc(*r, func(caller returningCaller) bool {
		if caller.at > now {
			return false
		}
		due = append(due, caller.prompt)
		return true
	})
	return due
}

// drawLognormal returns a number from the lognormal distribution with the given mean, whose logarithm has the
// given standard deviation.
func drawLognormal(random *rand.Rand, mean, spread float64) float64 {
	return math.Exp(math.Log(mean) - spread*spread/2 + spread*random.NormFloat64())
}

// draw returns a prompt that arrives at the given time. Its caller waits for at least the given part of the timeout
// of its route.
func (a arrivals) draw(random *rand.Rand, now clock.Millis, minPatience float64) *prompt {
	tokens := min(int(drawLognormal(random, a.mean, a.spread)), a.maximum)
	timeout := a.timeout
	if minPatience < 1 {
		timeout = clock.Millis((minPatience + (1-minPatience)*random.Float64()) * float64(timeout))
	}
	return &prompt{from: a, tokens: tokens, dueAt: now + a.objective, deadlineAt: now + timeout}
}

// inTick calls the function for each arrival of a tick.
func (a arrivals) inTick(random *rand.Rand, arrive func()) {
	for expected := a.perSecond * fleetTick.Duration().Seconds(); expected > 0; expected-- {
		if random.Float64() < expected {
			arrive()
		}
	}
}

func (p *prompt) sent() bool { return p.sends > 0 }

func (p *prompt) served() bool { return p.isServed }

func (p *prompt) onTime() bool { return p.isOnTime }

func (p *prompt) isOversized() bool { return p.tokens+1600 > testEngine().MemoryTokens }

// byTenth divides the prompts into tenths by length, the longest first.
func (p prompts) byTenth() []prompts {
	sorted := p.byLength()
	divided := make([]prompts, tenths)
	for i := range divided {
		divided[i] = sorted[i*len(sorted)/tenths : (i+1)*len(sorted)/tenths]
	}
	return divided
}

// prefillSeconds returns the engine-seconds that were spent on the prefill of the prompts.
func (p prompts) prefillSeconds() float64 {
	total := 0.0
	for _, one := range p {
		total += one.prefillMillis
	}
	return total / float64(clock.Second)
}

// promptRoute returns the route of short, medium or long prompts to a service.
func promptRoute(name string, service ident.Service) plan.Route {
	route := plan.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Attempts: 2, Services: []plan.WeightedService{{Service: service, Weight: 1}},
	}
	switch name {
	case shortPrompts:
		route.Timeout, route.Objective, route.Repeat = 10000, 400, plan.Stream{Resumable: true, GapObjective: 300}
	case mediumPrompts:
		route.Timeout, route.Objective, route.Repeat = 10000, 1500, plan.Stream{Resumable: true, GapObjective: 800}
	case longPrompts:
		route.Timeout, route.Objective, route.Repeat = promptTimeout, 4000, plan.Stream{Resumable: true, GapObjective: 1200}
	}
	return route
}
