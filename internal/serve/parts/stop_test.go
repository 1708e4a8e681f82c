package parts_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/serve/parts"
)

const (
	stopTimeout = 20 * clock.Second
	// callerDeadline is longer than any stop.
	callerDeadline = 10 * clock.Minute
)

type (
	// loneEntry is a core without peers in its failure domain, driven step by step.
	loneEntry struct {
		t    *testing.T
		core loop.Core
		now  clock.Millis
		// actions are those of all steps so far.
		actions []action.Action
	}
)

// newLoneEntry returns the core of an entry that has the tickets of a simulation and votes
// on keys alone.
func newLoneEntry(t *testing.T) *loneEntry {
	e := &loneEntry{t: t, core: parts.NewCore(), now: origin}
	e.step(event.Started{
		Self: ident.Incarnation{Entry: "e0", Epoch: 1}, Domain: "north", Address: "e0", Seed: 7,
		Settings: event.Settings{MaximalInFlight: 10, StopTimeout: stopTimeout},
	})
	e.step(event.InstancesRead{Instances: []event.Instance{{Name: "e0", Domain: "north", IsEntry: true}}, Revision: 1})
	e.step(event.TicketsRead{Tickets: parseTickets(newSimulation(1, 1, 1, mutant{}).ticketTexts), Revision: 1})
	e.step(event.ReportRead{Endpoint: "g0", Report: event.Report{FreeTokens: 100_000, TotalTokens: 100_000, PrefillRate: 10_000}})
	for range 700 {
		e.tick()
	}
	e.actions = nil
	return e
}

func (e *loneEntry) step(in event.Event) { e.actions = append(e.actions, e.core.Step(e.now, in)...) }

func (e *loneEntry) tick() {
	e.now += tickInterval
	e.step(event.Ticked{})
}

// tickUntilExit passes time until the core exits, at most for the limit.
func (e *loneEntry) tickUntilExit(limit clock.Millis) {
	for end := e.now + limit; e.now < end && !e.core.Board().Exited; {
		e.tick()
	}
	require.True(e.t, e.core.Board().Exited, "no exit within %d ms", limit)
}

func (e *loneEntry) askCall(name ident.Request, key string) {
	e.step(event.CallAsked{Request: name, Organisation: "crew", Service: serviceName, Key: key, Content: booking1, Deadline: callerDeadline})
}

func (e *loneEntry) forwardCall(name ident.Request, key string) {
	from := msgs.Member{Incarnation: ident.Incarnation{Entry: "far", Epoch: 1}, Domain: "south", Address: "far"}
	e.step(event.MessageCame{From: from, Message: msgs.Forward{
		Request: name, Organisation: "crew", Service: serviceName, Key: key, Content: booking1, Deadline: callerDeadline, Hops: 1,
	}})
}

func (e *loneEntry) sentCalls() int {
	count := 0
	for _, act := range e.actions {
		if _, ok := act.(action.SendCall); ok {
			count++
		}
	}
	return count
}

// results returns the results of calls, by the name that their origin gave them.
func (e *loneEntry) results() map[ident.Request]msgs.Result {
	all := map[ident.Request]msgs.Result{}
	for _, act := range e.actions {
		switch act := act.(type) {
		case action.FinishCall:
			all[act.Request] = act.Result
		case action.SendMessage:
			if message, ok := act.Message.(msgs.Forwarded); ok {
				all[message.Request] = message.Result
			}
		}
	}
	return all
}

// completions returns the reasons with which prompts ended.
func (e *loneEntry) completions() map[ident.Request]action.Reason {
	all := map[ident.Request]action.Reason{}
	for _, act := range e.actions {
		if act, ok := act.(action.FinishCompletion); ok {
			all[act.Request] = act.Reason
		}
	}
	return all
}

var booking1 = msgs.Content{Method: "POST", Path: "/book", Body: []byte("1")}

// An entry that had decided to exit sent calls that other entries forwarded to it, and their
// answers were lost with the process.
func TestForwardedCallIsRefusedAfterExit(t *testing.T) {
	e := newLoneEntry(t)
	e.forwardCall("before", "k1")
	require.Equal(t, 1, e.sentCalls(), "the entry votes alone")
	e.step(event.CallAnswered{Attempt: sentAttempts(e.actions)[0], Answer: msgs.Answer{Status: 200}})
	e.step(event.StopAsked{})
	e.tickUntilExit(15 * clock.Second)
	e.actions = nil
	e.forwardCall("after", "k2")
	require.Zero(t, e.sentCalls())
	require.Equal(t, string(action.ReasonStopping), e.results()["after"].Reason)
	require.True(t, e.results()["after"].NotSent)
}

func sentAttempts(actions []action.Action) []ident.Attempt {
	var names []ident.Attempt
	for _, act := range actions {
		if act, ok := act.(action.SendCall); ok {
			names = append(names, act.Attempt)
		}
	}
	return names
}

// A stop had no limit: a platform that kills the process after a grace period closed the
// connections of the requests that were still in flight, without an answer (LOST).
func TestStopEndsEveryRequestInTime(t *testing.T) {
	e := newLoneEntry(t)
	for _, name := range []ident.Request{"running", "streaming"} {
		e.step(event.CompletionAsked{
			Request: name, Organisation: "crew", Model: modelName, PromptTokens: 100, MaxTokens: 10, Fingerprint: 1, Deadline: callerDeadline,
		})
	}
	e.askCall("keyed", "k1")
	e.askCall("unkeyed", "")
	e.forwardCall("forwarded", "k2")
	require.Equal(t, 3, e.sentCalls())
	require.Len(t, e.core.Board().Completions, 2)
	// The service is gone: a new attempt with the key finds it held by the first one.
	e.askCall("waiting", "k1")
	e.step(event.StopAsked{})
	for e.now < origin+70*clock.Second+stopTimeout-tickInterval {
		e.tick()
	}
	require.Empty(t, e.completions())
	require.Empty(t, e.results())
	e.tickUntilExit(5 * clock.Second)
	require.Equal(t, map[ident.Request]action.Reason{
		"running": action.ReasonStopping, "streaming": action.ReasonStopping,
	}, e.completions())
	results := e.results()
	for _, name := range []ident.Request{"keyed", "unkeyed", "forwarded"} {
		require.Equal(t, msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(action.ReasonAnswerLost)}, results[name], name)
	}
	require.Equal(t, msgs.Result{
		Outcome: msgs.OutcomeUnknown, Reason: string(action.ReasonStopping), NotSent: true,
	}, results["waiting"])
	require.Empty(t, e.core.Board().Completions)
	require.Empty(t, e.core.Board().Calls)
	e.forwardCall("late", "k3")
	require.Equal(t, 3, e.sentCalls())
}
