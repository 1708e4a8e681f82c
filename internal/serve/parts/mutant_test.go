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
	// hastyStop exits as soon as it is asked to.
	hastyStop struct{ loop.Controller }

	// noBudget leaves nothing for retries.
	noBudget struct{ loop.Controller }

	// endlessBudget never runs out of retries.
	endlessBudget struct{ loop.Controller }

	// trusting takes a broken stream for a whole answer.
	trusting struct{ loop.Controller }
)

func (hastyStop) Step(b *board.Board, happened event.Event) {
	if _, is := happened.(event.StopAsked); is {
		b.Stopping = true
		b.Emit(action.Exit{})
	}
}

func (noBudget) Step(b *board.Board, _ event.Event) { b.RetryBudget = 0 }

func (endlessBudget) Step(b *board.Board, _ event.Event) { b.RetryBudget = retry.MaxBudget }

func (trusting) Step(b *board.Board, happened event.Event) {
	ended, is := happened.(event.AttemptEnded)
	if !is || ended.Verdict != event.VerdictBroken {
		return
	}
	if attempt := b.Attempts[ended.Attempt]; attempt != nil {
		delete(b.Completions, attempt.Request)
		b.Emit(action.FinishCompletion{Request: attempt.Request})
	}
}

// Each checker of the matrix is red on a fleet without the mechanism.
func TestMatrixIsRedWithoutMechanism(t *testing.T) {
	cases := []struct {
		without mutant
		session string
		fault   string
		broken  string
	}{
		{mutant{name: "01 no sweep", dropped: parts.PrioritySweep}, "01-prompts", "kill-entry", "of memory"},
		{mutant{name: "02 no suspects", dropped: parts.PriorityCrash}, "05-crashing", "none", "engines died"},
		{mutant{name: "03 no gossip", dropped: parts.PriorityGossip}, "03-tickets", "platform-for-one-domain", "late at"},
		{mutant{name: "04 no orders", dropped: parts.PriorityOrder}, "03-tickets", "none", "has not loaded"},
		{mutant{name: "05 no drain", dropped: parts.PriorityDrain, added: hastyStop{}}, "06-stop", "none", "cut prompt"},
		{mutant{name: "06 no pauses", dropped: parts.PriorityLife}, "05-crashing", "pause-entry", "engines died"},
		{mutant{name: "07 no resume", restarts: true}, "01-prompts", "break-streams", "token twice"},
		{mutant{name: "08 no end mark", added: trusting{}}, "01-prompts", "break-streams", "said to be whole"},
		{mutant{name: "09 no cancel", deaf: true}, "01-prompts", "kill-entry", "of memory"},
		{mutant{name: "10 no tickets", stale: true}, "04-leaving", "none", "got work"},
	}
	for _, c := range cases {
		t.Run(c.without.name, func(t *testing.T) {
			t.Parallel()
			found := huntCell(c.session, c.fault, c.broken, c.without)
			require.NotEmpty(t, found, "no cell was red")
			t.Log(found)
		})
	}
}

// huntCell looks for a step at which the cell is red for the reason.
func huntCell(sessionName, faultName, reason string, without mutant) string {
	for _, s := range sessions {
		for _, f := range faults {
			if s.name != sessionName || f.name != faultName {
				continue
			}
			_, events := play(s, faults[0], -1, mutant{})
			for step := 0; step < events; step += max(events/quickSteps, 1) {
				p, _ := play(s, f, step, without)
				if text := strings.Join(p.broken, "; "); strings.Contains(text, reason) {
					return fmt.Sprintf("event %d: %s", step, text)
				}
			}
		}
	}
	return ""
}

// Broken streams go on elsewhere only within the budget of retries.
func TestRetriesNeedABudget(t *testing.T) {
	for _, without := range []mutant{{}, {added: noBudget{}}} {
		p, _ := play(sessions[0], faultNamed(t, "break-streams"), 12, without)
		failed := 0
		for _, seen := range p.prompts {
			if seen.reason == action.ReasonEndpointFailed {
				failed++
			}
		}
		require.Equal(t, without.added != nil, failed > 0, p.log)
	}
}

func faultNamed(t *testing.T, name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	require.Fail(t, "no fault "+name)
	return fault{}
}

// With half of the engines failing, retries raise the load on the others by a
// tenth at the most; without a budget they raise it by far more.
func TestRetriesLoadOnOthers(t *testing.T) {
	const prompts, limit = 6000, 0.10
	for _, without := range []mutant{{}, {added: endlessBudget{}}} {
		p := newPump(6, 6, 1, without)
		p.run(warmUp)
		for _, r := range p.runners[:3] {
			r.refuses = true
		}
		for i := range prompts {
			p.ask(i%6, 100, 1, 0)
			p.run(50)
		}
		p.run(coolDown)
		total, healthy := 0, 0
		for i, r := range p.runners {
			total += r.asked
			if i >= 3 {
				healthy += r.asked
			}
		}
		// Retries are shared out as first attempts are.
		rise := float64(total-prompts) / prompts
		t.Logf("%d attempts for %d prompts, %d at healthy engines: load rises by %.3f", total, prompts, healthy, rise)
		require.Equal(t, without.added == nil, rise <= limit)
	}
}
