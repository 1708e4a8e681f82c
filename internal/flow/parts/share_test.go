package parts

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/share"
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
// its usual, and its callers may be abusive.
func (s *surge) askQueries(duration clock.Millis, perSecond, greed float64, isAbusive bool) {
	source := arrivals{route: queries, objective: 300, timeout: 10000, answer: queryAnswer}
	for end := s.now + duration; s.now < end; {
		s.advanceTick(nil)
		for i := range organisations {
			expected := perSecond / organisations * fleetTick.Duration().Seconds()
			if i == 0 {
				expected *= greed
			}
			for expected += s.random.Float64(); expected >= 1; expected-- {
				asked := &prompt{
					from: source, key: fmt.Sprintf("key-%d", i), tokens: 5000, dueAt: s.now + 300, deadlineAt: s.now + source.timeout,
					isAbusive: isAbusive && i == 0, fingerprint: s.random.Uint64(),
				}
				s.prompts = append(s.prompts, asked)
				s.ask(asked)
			}
		}
	}
}

// askGreedily simulates 8 s in which short prompts of the others take half of all slots, and the greedy
// organisation asks for so many times its usual. It returns the prompts of both.
func askGreedily(s *surge, greed float64, isAbusive bool) (others, greedy prompts) {
	const usedSlots = 0.5
	perSecond := usedSlots * float64(len(s.entries)*sharedSlots) / queryAnswer.Duration().Seconds()
	s.slots = sharedSlots
	s.askQueries(2*clock.Second, perSecond, 1, false)
	s.prompts = nil
	s.askQueries(8*clock.Second, perSecond, greed, isAbusive)
	all := s.prompts
	s.askQueries(4*clock.Second, perSecond, 1, false)
	isGreedy := func(p *prompt) bool { return p.key == greedyKey }
	return all.filter(func(p *prompt) bool { return !isGreedy(p) }), all.filter(isGreedy)
}

// Guards against one organisation that asks for 15 times its usual and makes the prompts of all late.
//
// Pattern: short prompts take half of all slots; for 8 s one organisation of twelve asks for 15 times its
// usual, which makes it 1.08 of all slots. The others must be on time as often as without it, and the greedy one
// must get half of what they leave: a sixth of the engines is kept for long prompts, and some slots are free for
// prompts that are not known yet. Callers that come back at once must gain nothing by it.
func TestGreedyOrganisationDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	const (
		maxLoss    = 0.05
		leastGiven = 0.5
		othersUse  = 0.5 * (organisations - 1) / organisations
	)
	for _, entries := range []int{20, 66, 138} {
		usual, _ := askGreedily(newSurge(newSharedFleet(t, entries), 5), 1, false)
		others, greedy := askGreedily(newSurge(newSharedFleet(t, entries), 5), greedFactor, false)
		left := (1 - othersUse) * float64(entries*sharedSlots) / queryAnswer.Duration().Seconds() * 8
		t.Logf("%d entries: others on time %.3f, without the greedy one %.3f; served of the greedy one %d on time %d of %d, left %.0f", entries,
			others.ratio((*prompt).onTime), usual.ratio((*prompt).onTime), len(greedy.filter((*prompt).served)),
			len(greedy.filter((*prompt).onTime)), len(greedy), left)
		least := usual.ratio((*prompt).onTime) - maxLoss
		assert.GreaterOrEqual(t, others.ratio((*prompt).onTime), least, "%d entries", entries)
		assert.GreaterOrEqual(t, float64(len(greedy.filter((*prompt).served))), leastGiven*left, "%d entries", entries)
		if entries > 20 {
			continue
		}
		others, abusive := askGreedily(newSurge(newSharedFleet(t, entries), 5), greedFactor, true)
		assert.GreaterOrEqual(t, others.ratio((*prompt).onTime), least, "abusive callers")
		assert.LessOrEqual(t, abusive.ratio((*prompt).onTime), greedy.ratio((*prompt).onTime)+maxLoss, "abusive callers")
	}
}

// A hub that is lost in a surge takes the loads of its failure domain with it for a while. Others must be on time as
// often as without the greedy organisation all the same.
func TestLostHubDelaysNobodyInASurge(t *testing.T) {
	t.Parallel()
	const maxLoss = 0.05
	s := newSurge(newSharedFleet(t, 20), 5)
	askGreedily(s, greedFactor, false)
	hub := s.entries[1]
	require.Equal(t, peers.RoleHub, peers.RoleOf(hub.board))
	hub.isDown = true
	s.entries = slices.Delete(slices.Clone(s.entries), 1, 2)
	others, _ := askGreedily(s, greedFactor, false)
	require.GreaterOrEqual(t, others.ratio((*prompt).onTime), 1-maxLoss)
}

// sharedEntry returns an entry whose callers belong to two organisations, before 4 engines.
func sharedEntry(t *testing.T) *testEntry {
	e := newTestEntry(t).configure(4)
	keys := map[string]plan.Organisation{callerKey: {Name: "city"}, greedyKey: {Name: "greedy"}}
	e.step(input.PlanRead{Plan: testPlan(6).WithOrganisations(keys)})
	return e
}

// reportGreedyUse passes loads to the core with which most slots are taken, by the greedy organisation.
func (e *testEntry) reportGreedyUse() {
	loads := remoteLoads(13, "engine-00", "engine-01", "engine-02", "engine-03")
	for hash, load := range loads {
		load.Prefilling, load.Decoding, load.PrefillMillis, load.PendingTokens = 0, load.Leads, 0, 0
		loads[hash] = load
	}
	loads[share.Group{Service: engines, Organisation: "greedy"}.Hash()] = share.Use{Requests: 48}.Load()
	e.receiveLoads(loads)
}

// The organisation that uses most of the slots is refused, with a reason and a time to come back, and others are not;
// without several organisations nobody is. An entry that is cut off from the others refuses nobody for its share.
func TestOrganisationOverItsShareIsRefused(t *testing.T) {
	e := sharedEntry(t)
	e.receiveNews("entry-2", nil)
	e.advance(100)
	ask := func(key string) output.Output {
		e.key = key
		_, got := e.request("/short/1", 5000, 10000)
		return got
	}
	e.reportGreedyUse()
	requireSend(t, ask(callerKey))
	refused := requireReply(t, ask(greedyKey), call.ReasonOverShare, http.StatusServiceUnavailable)
	require.GreaterOrEqual(t, refused.RetryAfter, clock.Millis(2500))
	require.Less(t, refused.Basis.Share, refused.Basis.Use)
	e.advance(3 * clock.Second)
	for range 20 {
		requireSend(t, ask(greedyKey))
	}

	alone := newTestEntry(t).configure(4)
	alone.reportGreedyUse()
	_, got := alone.request("/short/1", 5000, 10000)
	requireSend(t, got)
}

// Without contention all decisions are the same whether one organisation or several share the engines, also if one
// of them uses most.
func TestSharesChangeNothingWithoutContention(t *testing.T) {
	run := func(other ident.Organisation) []output.Output {
		e := newTestEntry(t).configure(8)
		keys := map[string]plan.Organisation{callerKey: {Name: "city"}, greedyKey: {Name: other}}
		e.step(input.PlanRead{Plan: testPlan(6).WithOrganisations(keys)})
		var got []output.Output
		for i := range 60 {
			path, tokens := "/short/1", 5000
			if i%10 == 0 {
				path, tokens = "/long/1", 60000
			}
			e.key = greedyKey
			if i%6 == 0 {
				e.key = callerKey
			}
			number, out := e.request(path, tokens, 15000)
			if send, isSend := out.(output.Send); isSend {
				send.Send.Organisation, send.Send.Basis.Organisation = "", ""
				out = send
			}
			got = append(got, out)
			e.step(input.FirstEventSent{Number: number})
			if number > 20 {
				e.endSend(completeResult(number - 20))
			}
			e.advance(50)
		}
		return got
	}
	require.Equal(t, run("city"), run("greedy"))
}

// A long prompt must not wait for many earlier ones of another organisation if these would make it late, but only for
// the share of that organisation; the rank orders what exceeds shares.
func TestLongPromptPrecedesThoseOverAShare(t *testing.T) {
	e := sharedEntry(t)
	greedy := share.Group{Service: engines, Organisation: "greedy"}.Hash()
	ask := func(group pool.Hash) (startsIn clock.Millis) {
		e.receiveNews("entry-2", func(n *input.News) {
			for i := range uint64(4) {
				n.QueuedPrompts = append(n.QueuedPrompts, input.QueuedPrompt{
					Service: engines, Number: i, PromptTokens: 150000, Group: group,
					DueAt: e.board.Now + 2500, WaitsUntil: e.board.Now + 9000,
				})
			}
		})
		number, got := e.request("/long/1", 160000, 15000)
		if _, isSend := got.(output.Send); isSend {
			return 0
		}
		request := e.board.Requests[number]
		require.NotNil(t, request, "refused")
		return request.PlannedStart - e.board.Now
	}
	withShares := ask(greedy)
	e = sharedEntry(t)
	withoutShares := ask(0)
	require.Less(t, withShares, withoutShares)
}
