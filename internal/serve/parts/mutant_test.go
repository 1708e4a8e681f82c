package parts_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/route/retry"
	"mustardhook/internal/serve/parts"
)

type (
	// immediateExit exits at once when the entry is asked to stop.
	immediateExit struct{ loop.Controller }

	// emptyBudget allows no retries.
	emptyBudget struct{ loop.Controller }

	// unlimitedBudget refills the retry budget at every step.
	unlimitedBudget struct{ loop.Controller }

	// acceptsBrokenStream treats a broken stream as a complete answer.
	acceptsBrokenStream struct{ loop.Controller }
)

func (immediateExit) Step(b *board.Board, in event.Event) {
	if _, ok := in.(event.StopAsked); ok {
		b.Stopping = true
		b.Emit(action.Exit{})
	}
}

func (emptyBudget) Step(b *board.Board, _ event.Event) { b.RetryBudget = 0 }

func (unlimitedBudget) Step(b *board.Board, _ event.Event) { b.RetryBudget = retry.MaxBudget }

func (acceptsBrokenStream) Step(b *board.Board, in event.Event) {
	ended, ok := in.(event.AttemptEnded)
	if !ok || ended.Verdict != event.VerdictBroken {
		return
	}
	if attempt := b.Attempts[ended.Attempt]; attempt != nil {
		delete(b.Completions, attempt.Request)
		b.Emit(action.FinishCompletion{Request: attempt.Request})
	}
}

// TestMatrixDetectsMutants checks that each check of the matrix fails for a cluster that
// lacks the mechanism it covers, so that the matrix can't pass by accident.
func TestMatrixDetectsMutants(t *testing.T) {
	cases := []struct {
		mutation  mutant
		session   string
		fault     string
		violation string
	}{
		{mutant{name: "01 no sweep", droppedPriority: parts.PrioritySweep}, "01-prompts", "kill-entry", "of memory"},
		{mutant{name: "02 no suspects", droppedPriority: parts.PriorityCrash}, "05-crashing", "none", "engines died"},
		{mutant{name: "03 no gossip", droppedPriority: parts.PriorityGossip}, "03-tickets", "platform-for-one-domain", "late at"},
		{mutant{name: "04 no orders", droppedPriority: parts.PriorityOrder}, "03-tickets", "none", "has not loaded"},
		{mutant{name: "05 no drain", droppedPriority: parts.PriorityDrain, extraController: immediateExit{}}, "06-stop", "none", "interrupted prompt"},
		{mutant{name: "06 no pauses", droppedPriority: parts.PriorityPause}, "05-crashing", "pause-entry", "engines died"},
		{mutant{name: "07 no resume", ignoresResume: true}, "01-prompts", "break-streams", "token twice"},
		{mutant{name: "08 no end mark", extraController: acceptsBrokenStream{}}, "01-prompts", "break-streams", "reported as complete"},
		{mutant{name: "09 no cancel", losesCancels: true}, "01-prompts", "kill-entry", "of memory"},
		{mutant{name: "10 no tickets", readsFirstTicketOnly: true}, "04-leaving", "none", "got work"},
	}
	for _, c := range cases {
		t.Run(c.mutation.name, func(t *testing.T) {
			t.Parallel()
			cause := findViolation(c.session, c.fault, c.violation, c.mutation)
			require.NotEmpty(t, cause, "no cell failed")
			t.Log(cause)
		})
	}
}

// findViolation returns the first step and the violations of a cell that fails for the
// given reason, or an empty string.
func findViolation(sessionName, faultName, reason string, mutation mutant) string {
	for _, s := range sessions {
		for _, f := range faults {
			if s.name != sessionName || f.name != faultName {
				continue
			}
			_, eventCount := runSession(s, faults[0], -1, mutant{})
			for step := 0; step < eventCount; step += max(eventCount/quickRunSteps, 1) {
				sim, _ := runSession(s, f, step, mutation)
				if text := strings.Join(sim.violations, "; "); strings.Contains(text, reason) {
					return fmt.Sprintf("event %d: %s", step, text)
				}
			}
		}
	}
	return ""
}

// TestRetriesNeedABudget checks that broken streams resume at another engine as long as
// there is a retry budget, and that prompts fail if the budget is empty.
func TestRetriesNeedABudget(t *testing.T) {
	for _, mutation := range []mutant{{}, {extraController: emptyBudget{}}} {
		sim, _ := runSession(sessions[0], findFault(t, "break-streams"), 12, mutation)
		failed := 0
		for _, record := range sim.prompts {
			if record.reason == action.ReasonEndpointFailed {
				failed++
			}
		}
		require.Equal(t, mutation.extraController != nil, failed > 0, sim.log)
	}
}

func findFault(t *testing.T, name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	require.Fail(t, "no fault "+name)
	return fault{}
}

// TestRetriesLoadOnOthers checks that retries raise the number of attempts by a tenth at
// most if half of the engines fail, and by more if the budget has no limit.
func TestRetriesLoadOnOthers(t *testing.T) {
	const prompts, limit = 6000, 0.10
	for _, mutation := range []mutant{{}, {extraController: unlimitedBudget{}}} {
		sim := newSimulation(6, 6, 1, mutation)
		sim.run(warmUp)
		for _, eng := range sim.engines[:3] {
			eng.refusesAttempts = true
		}
		for i := range prompts {
			sim.sendPrompt(i%6, 100, 1, 0)
			sim.run(50)
		}
		sim.run(coolDown)
		total, healthy := 0, 0
		for i, eng := range sim.engines {
			total += eng.attemptCount
			if i >= 3 {
				healthy += eng.attemptCount
			}
		}
		// Retries are distributed over the engines like first attempts.
		rise := float64(total-prompts) / prompts
		t.Logf("%d attempts for %d prompts, %d at healthy engines: load rises by %.3f", total, prompts, healthy, rise)
		require.Equal(t, mutation.extraController == nil, rise <= limit)
	}
}
