package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardhook/internal/claim/rules"
)

const (
	// quickRuns is the number of random schedules in a quick run, fullRuns that in a
	// full run.
	quickRuns = 4_000
	fullRuns  = 400_000

	// fullVariable is the environment variable that selects a full run.
	fullVariable = "MUSTARDHOOK_FULL"
)

type (
	// scenario is a base schedule: a number of entries and the ops at given steps.
	scenario struct {
		name  string
		nodes int
		steps int
		ops   map[int]op
	}
)

// scenarios are the base schedules. Faults are added to each of them at every step.
var scenarios = []scenario{
	{"01 one claim", 4, 40, map[int]op{0: {opClaim, 0}}},
	{"02 two at once", 4, 40, map[int]op{0: {opClaim, 0}, 1: {opClaim, 1}}},
	{"03 resend after a crash", 4, 220, map[int]op{0: {opClaim, 0}, 12: {opCrash, 1}, 150: {opClaim, 2}}},
	{"04 resend across a partition", 4, 260, map[int]op{0: {opClaim, 0}, 8: {opIsolate, 3}, 120: {opClaim, 3}, 130: {opHeal, 0}, 200: {opClaim, 1}}},
	{"05 resend after a join", 3, 220, map[int]op{0: {opClaim, 0}, 4: {opJoin, 0}, 5: {opJoin, 0}, 150: {opClaim, 4}}},
	{"06 not run, then run", 4, 80, map[int]op{0: {opClaimRefused, 0}, 30: {opClaim, 1}, 55: {opClaimRefused, 2}}},
	{"07 two crashes", 5, 260, map[int]op{0: {opClaim, 0}, 14: {opCrash, 1}, 15: {opCrash, 2}, 200: {opClaim, 3}}},
	{"08 majority lost", 3, 260, map[int]op{0: {opClaim, 0}, 14: {opCrash, 0}, 15: {opCrash, 1}, 90: {opReset, 2}, 150: {opClaim, 2}}},
	{"09 partition, then a minted key", 4, 300, map[int]op{0: {opIsolate, 2}, 1: {opIsolate, 3}, 150: {opAdvanceClock, 0}, 200: {opClaimMinted, 0}, 201: {opClaimMinted, 2}}},
	{"10 majority lost, minted key", 3, 300, map[int]op{0: {opIsolate, 2}, 30: {opPause, 0}, 31: {opPause, 1}, 90: {opAdvanceClock, 0}, 150: {opResume, 0}, 151: {opClaimMinted, 0}, 200: {opClaimMinted, 2}}},
	{"11 late votes after a join", 3, 120, map[int]op{0: {opJoin, 0}, 1: {opJoin, 0}, 2: {opJoin, 0}, 3: {opJoin, 0}, 4: {opClaimDeferred, 0}, 32: {opClaim, 3}, 46: {opDeliverDeferred, 0}}},
}

func isFullRun() bool { return os.Getenv(fullVariable) != "" }

// singleStride returns the distance between the steps at which single faults are tried.
func singleStride() int {
	if isFullRun() {
		return 1
	}
	return 2
}

// runScenario runs a scenario with extra faults and returns the cluster, which records a
// violation if there was one.
func runScenario(s scenario, disabled rules.Disabled, extra map[int]op) *cluster {
	c := newCluster(s.nodes, disabled)
	for step := 0; step < s.steps && c.violation == ""; step++ {
		if o, ok := s.ops[step]; ok {
			c.step(o)
		}
		c.step(extra[step])
	}
	return c
}

// faults returns every fault of the network and every fault of every entry.
func faults(nodes int) []op {
	all := []op{{opDrop, 0}, {opDelay, 0}, {opHeal, 0}, {opJoin, 0}}
	for node := range nodes {
		for _, kind := range []opKind{opCrash, opPause, opResume, opIsolate, opClaim} {
			all = append(all, op{kind, node})
		}
	}
	return all
}

// Runs every scenario with each fault alone, at every second step or at every step in a
// full run, and with pairs of faults on a grid of steps, which is finer in a full run.
func TestExploreFaults(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			all := faults(s.nodes)
			singles := 0
			for first := 0; first < s.steps; first += singleStride() {
				for _, a := range all {
					c := runScenario(s, rules.Disabled{}, map[int]op{first: a})
					require.Empty(t, c.violation, "fault %v at step %d", a, first)
					singles++
				}
			}
			pairs := explorePairs(t, s, all)
			t.Logf("%d single faults and %d pairs passed", singles, pairs)
		})
	}
}

func explorePairs(t *testing.T, s scenario, all []op) int {
	stride := max(s.steps/4, 10)
	if isFullRun() {
		stride = max(s.steps/40, 1)
	}
	pairs := 0
	for first := 0; first < s.steps; first += stride {
		for second := first + 1; second < s.steps; second += stride {
			for _, a := range all {
				for _, b := range all {
					c := runScenario(s, rules.Disabled{}, map[int]op{first: a, second: b})
					require.Empty(t, c.violation, "faults %v at %d, %v at %d", a, first, b, second)
					pairs++
				}
			}
		}
	}
	return pairs
}

// runRandom runs one random schedule.
func runRandom(seed uint64, disabled rules.Disabled) *cluster {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(3+random.IntN(3), disabled)
	steps := 150 + random.IntN(250)
	for step := 0; step < steps && c.violation == ""; step++ {
		c.step(randomOp(random))
	}
	return c
}

func TestExploreRandom(t *testing.T) {
	runs := quickRuns
	if isFullRun() {
		runs = fullRuns
	}
	executions := 0
	for seed := range uint64(runs) {
		c := runRandom(seed, rules.Disabled{})
		require.Empty(t, c.violation, "seed %d", seed)
		executions += len(c.executions[key]) + len(c.executions[mintedKey])
	}
	require.Greater(t, executions, runs/4, "too few claims were executed in the schedules")
	t.Logf("%d schedules, %d claims executed", runs, executions)
}

func TestExploreRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 5).Draw(t, "nodes"), rules.Disabled{})
		count := rapid.IntRange(1, 120).Draw(t, "steps")
		for range count {
			kind := rapid.IntRange(0, int(opKinds)-1).Draw(t, "kind")
			c.step(op{opKind(kind), rapid.IntRange(0, 6).Draw(t, "node")})
			c.runTicks(rapid.IntRange(0, 3).Draw(t, "ticks"))
			if c.violation != "" {
				t.Fatal(c.violation)
			}
		}
	})
}

// Runs mutants of the protocol, each without one safety rule. The exploration must find a
// violation in every mutant, otherwise it would not detect that the rule is broken.
func TestMutantsAreCaught(t *testing.T) {
	mutants := []struct {
		name     string
		disabled rules.Disabled
	}{
		{"01 several votes", rules.Disabled{OneVote: true}},
		{"02 no view agreement", rules.Disabled{ViewAgreement: true}},
		{"03 votes after a promise", rules.Disabled{Seal: true}},
		{"09 no contact with a majority", rules.Disabled{Contact: true}},
		{"04 no hand-over", rules.Disabled{Handover: true}},
		{"05 no majority for a view", rules.Disabled{Majority: true}},
		{"06 votes despite lost claims", rules.Disabled{ClaimLoss: true}},
		{"07 no quorum of votes", rules.Disabled{Quorum: true}},
		{"08 not run without proof", rules.Disabled{NotRun: true}},
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			t.Parallel()
			violation := findViolation(mutant.disabled)
			require.NotEmpty(t, violation, "no schedule caught the mutant")
			t.Log(violation)
		})
	}
}

// findViolation searches for a schedule that violates a safety property and describes it.
// It returns an empty string if it finds none.
func findViolation(disabled rules.Disabled) string {
	for _, s := range scenarios {
		if c := runScenario(s, disabled, nil); c.violation != "" {
			return s.name + ": " + c.violation
		}
	}
	for seed := range uint64(20 * quickRuns) {
		if c := runRandom(seed, disabled); c.violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, c.violation)
		}
	}
	return ""
}
