package parts

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
)

const (
	queries = "queries"
	// organisations is the number of organisations, and greedyKey the key of the one that asks for
	// greedFactor times its usual.
	organisations = 12
	greedyKey     = "key-0"
	greedFactor   = 15
	sharedSlots   = 12
	queryAnswer   = 1600 * clock.Millis(1)
)

// newSharedFleet starts a fleet of the given size before as many engines, which several organisations
// share.
func newSharedFleet(t *testing.T, entries int) *fleet {
	f := newFleet(t, entries)
	engine := testEngine()
	engine.Slots = sharedSlots
	keys := map[string]plan.Organisation{}
	for i := range organisations {
		keys[fmt.Sprintf("key-%d", i)] = plan.Organisation{Name: ident.Organisation(fmt.Sprintf("organisation-%d", i))}
	}
	route := plan.Route{
		Name: queries, Host: host, Prefix: "/queries/", Repeat: plan.Stream{Resumable: true, GapObjective: 250},
		Timeout: 10000, Objective: 300, Attempts: 2, Services: []plan.WeightedService{{Service: "model-00", Weight: 1}},
	}
	shared := plan.New(7, []plan.Route{route}, []plan.Service{{Name: "model-00", Engine: engine}}, plan.Limits{}).WithOrganisations(keys)
	for _, e := range f.entries {
		e.configureModels(1, entries)
		e.step(input.PlanRead{Plan: shared})
		e.outputs = nil
	}
	f.advance(3 * clock.Second)
	return f
}

// askQueries simulates callers of all organisations for the given time. One of them asks for so many times
// its usual.
func (s *surge) askQueries(duration clock.Millis, perSecond, greed float64) {
	source := arrivals{route: queries, objective: 300, timeout: 10000, answer: queryAnswer}
	for end := s.now + duration; s.now < end; {
		s.advanceTick(nil)
		for i := range organisations {
			expected := perSecond / organisations * fleetTick.Duration().Seconds()
			if i == 0 {
				expected *= greed
			}
			for expected += s.random.Float64(); expected >= 1; expected-- {
				asked := &prompt{from: source, key: fmt.Sprintf("key-%d", i), tokens: 5000, dueAt: s.now + 300, deadlineAt: s.now + source.timeout}
				s.prompts = append(s.prompts, asked)
				s.ask(asked)
			}
		}
	}
}

// Guards against one organisation that asks for 15 times its usual and makes the prompts of all late.
//
// Pattern: short prompts take half of all slots; for 8 s one organisation of twelve asks for 15 times its
// usual, which makes it 1.08 of all slots. The others must be on time as often as without it, and the greedy one
// must get half of what they leave: a sixth of the engines is kept for long prompts, and some slots are
// free for prompts that are not known yet.
func TestGreedyOrganisationDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	const (
		maxLoss    = 0.05
		usedSlots  = 0.5
		leastGiven = 0.5
	)
	for _, entries := range []int{20, 66, 138} {
		capacity := float64(entries*sharedSlots) / queryAnswer.Duration().Seconds()
		run := func(greed float64) (others, greedy prompts) {
			s := newSurge(newSharedFleet(t, entries), 5)
			s.slots = sharedSlots
			s.askQueries(2*clock.Second, usedSlots*capacity, 1)
			s.prompts = nil
			s.askQueries(8*clock.Second, usedSlots*capacity, greed)
			all := s.prompts
			s.askQueries(4*clock.Second, usedSlots*capacity, 1)
			isGreedy := func(p *prompt) bool { return p.key == greedyKey }
			return all.filter(func(p *prompt) bool { return !isGreedy(p) }), all.filter(isGreedy)
		}
		usual, _ := run(1)
		others, greedy := run(greedFactor)
		left := (1 - usedSlots*(organisations-1)/organisations) * capacity * 8
		t.Logf("%d entries: others on time %.3f, without the greedy one %.3f; served of the greedy one %d on time %d of %d, left %.0f", entries,
			others.ratio((*prompt).onTime), usual.ratio((*prompt).onTime), len(greedy.filter((*prompt).served)),
			len(greedy.filter((*prompt).onTime)), len(greedy), left)
		assert.GreaterOrEqual(t, others.ratio((*prompt).onTime), usual.ratio((*prompt).onTime)-maxLoss, "%d entries", entries)
		assert.GreaterOrEqual(t, float64(len(greedy.filter((*prompt).served))), leastGiven*left, "%d entries", entries)
	}
}
