package parts

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
)

// Guards against the incident BUDGET: a request that crashes each engine which begins with it, and
// comes again and again, was sent to one engine after the other, since the ends of these engines were
// seen late or not at all.
func TestRequestThatEndsEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	const (
		lateRecord     = 3600 * clock.Millis(1)
		veryLateRecord = 4800 * clock.Millis(1)
		duration       = 24 * clock.Second
	)
	for _, c := range []struct {
		name         string
		entries      int
		engines      int
		badPerSecond float64
		isAccepting  bool
		recordTTL    clock.Millis
		killInterval clock.Millis
		duration     clock.Millis
	}{
		{"refused connections", 15, 16, 1, false, lateRecord, 0, duration},
		{"refused connections, entries are killed", 9, 16, 6, false, lateRecord, 1500, duration},
		{"early removal", 9, 16, 6, true, 1 * clock.Second, 0, duration},
		{"late removal", 15, 16, 1, true, lateRecord, 0, duration},
		{"late removal, many requests", 9, 16, 6, true, veryLateRecord, 0, duration},
		{"late removal, entries are killed", 15, 16, 2, true, veryLateRecord, 1500, duration},
		{"late removal, 195 entries", 195, 135, 2, true, lateRecord, 0, duration},
		{"longer than the quarantine", 15, 16, 6, true, lateRecord, 0, 90 * clock.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPoisoning(t, c.entries, c.engines, 1)
			p.isRepeated = true
			p.isAccepting = c.isAccepting
			p.recordTTL = c.recordTTL
			p.killInterval = c.killInterval
			start := p.now
			p.run(4*clock.Second, 60, 0)
			poisonedAt := p.now
			p.run(c.duration, 60, c.badPerSecond)
			end := p.now
			p.run(2*clock.Second, 0, 0)
			calmAt := poisonedAt + 2*stabilityWindow
			if len(p.crashes) > 0 {
				calmAt = p.crashes[min(len(p.crashes), 3)-1] + 2*stabilityWindow
			}
			_, servedBefore := p.shares(start, poisonedAt-2*clock.Second)
			_, served := p.shares(calmAt, end-answerDuration)
			t.Logf("crashed %d, reached engines late %d; sound served: before %.2f, from %v on %.2f",
				len(p.crashes), p.lateSends(3), servedBefore, calmAt-poisonedAt, served)
			require.LessOrEqual(t, p.lateSends(3), maxLatePrompts)
			require.LessOrEqual(t, len(p.crashes), maxCrashes)
			require.GreaterOrEqual(t, served, minServedAgain*servedBefore)
		})
	}
}

// Guards against sound requests that are refused because endpoints which live on have lost their answers.
func TestLossAtEndpointThatLivesIsNoEvidence(t *testing.T) {
	e := newTestEntry(t).configure(6)
	for range 4 {
		e.lastNumber++
		number := e.lastNumber
		request := call.Request{
			Number: number, Host: host, Path: "/short/1", Key: callerKey, PromptTokens: 5000, CallerTimeout: 10000,
			Fingerprint: 77,
		}
		send := requireSend(t, e.outputFor(number, e.step(input.RequestReceived{Request: request})))
		e.endSend(call.Result{Number: number, End: call.EndAnswerLost, Closed: true})
		require.Equal(t, 1, e.board.Blame.LossesOf(77, e.board.Now))
		e.step(input.EndpointProbed{Endpoint: send.Endpoint, Epoch: 1, Outcome: input.ProbeUnknown})
		e.advance(300)
		e.step(input.EndpointProbed{Endpoint: send.Endpoint, Epoch: 1, Outcome: input.ProbeAnswered})
		require.Zero(t, e.board.Blame.LossesOf(77, e.board.Now))
		e.endSend(call.Result{Number: number, End: call.EndComplete, Status: http.StatusOK})
	}
}

// Guards against evidence that is withdrawn for an answer which the endpoint gave before it crashed.
func TestReportBeforeLossWithdrawsNothing(t *testing.T) {
	e := newTestEntry(t).configure(1)
	for _, fingerprint := range []uint64{77, 78} {
		e.lastNumber++
		request := call.Request{
			Number: e.lastNumber, Host: host, Path: "/fixed/1", Key: callerKey, PromptTokens: 5000, CallerTimeout: 10000,
			Fingerprint: fingerprint,
		}
		requireSend(t, e.outputFor(e.lastNumber, e.step(input.RequestReceived{Request: request})))
	}
	e.endSend(call.Result{Number: 1, End: call.EndAnswerLost, Closed: true})
	e.step(input.EndpointProbed{Endpoint: "engine-00", Epoch: 1, Outcome: input.ProbeUnknown})
	e.advance(300)
	e.endSend(call.Result{Number: 2, End: call.EndAnswerLost, Closed: true})
	e.step(input.EndpointProbed{Endpoint: "engine-00", Epoch: 1, Outcome: input.ProbeAnswered})
	require.Equal(t, 1, e.board.Blame.LossesOf(78, e.board.Now))
}
