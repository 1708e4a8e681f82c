package blame

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
)

const suspect uint64 = 70

// lose records a loss of the suspect at the run, a hundred milliseconds after it was sent.
func lose(l *Ledger, run int, at clock.Millis) {
	l.ObserveLoss(Loss{Fingerprint: suspect, Run: Run(run), SentAt: at - 100, At: at}, at)
}

// Guards against a request that is sent to one endpoint after the other because no end of them is seen.
func TestLossesAloneQuarantineRequest(t *testing.T) {
	l := newExperienced()
	for i := range requestLossThreshold {
		require.Zero(t, l.QuarantinedUntil(suspect, 3000))
		lose(l, i, clock.Millis(1000*(i+1)))
	}
	require.NotZero(t, l.QuarantinedUntil(suspect, 3000))
	require.Len(t, l.Advance(3000).Requests, 1)
	require.Zero(t, l.QuarantinedUntil(suspect, 3000+RequestTTL+requestTTLSpread))
}

// Guards against requests that are refused because one disruption cut several of their answers.
func TestLossesAtTheSameTimeCountOnce(t *testing.T) {
	l := newExperienced()
	for i := range 9 {
		lose(l, i, 1000+clock.Millis(i))
	}
	require.Equal(t, 1, l.LossesOf(suspect, 1010))
	require.Zero(t, l.QuarantinedUntil(suspect, 1010))
}

// Guards against sound requests that are refused because answers to the same request are lost now and then.
func TestCompleteAnswerAcquitsRequestEverywhere(t *testing.T) {
	here, there := newExperienced(), newExperienced()
	for i := range 20 {
		at := clock.Millis(1000 * (i + 1))
		lose(here, i, at)
		for _, loss := range here.OwnLosses(at) {
			there.ReceiveLoss(loss, at)
		}
		require.True(t, there.AcquitRequest(suspect, at+200))
		for _, acquittal := range there.RequestAcquittals(at + 200) {
			here.ReceiveRequestAcquittal(acquittal)
		}
		require.Zero(t, here.LossesOf(suspect, at+300))
		require.Zero(t, there.LossesOf(suspect, at+300))
	}
}

// Guards against a loss that is lost as evidence when another entry sees the endpoint crash.
func TestCrashSeenByAnotherEntryConfirmsLoss(t *testing.T) {
	l := newExperienced()
	for i := range requestCrashThreshold {
		at := clock.Millis(1000 * (i + 1))
		lose(l, i, at)
		l.Receive(Crash{Run: Run(i), At: at + 10, Lost: []Lost{{SentAt: at - 50, Fingerprint: uint64(i)}}}, at+20)
	}
	require.NotZero(t, l.QuarantinedUntil(suspect, 2100))
}

// Guards against crashes that are explained by a verdict which is suspended, and count against nothing.
func TestSuspendedVerdictExplainsNothing(t *testing.T) {
	l := newExperienced()
	for i := range requestCrashThreshold {
		at := clock.Millis(1000 * (i + 1))
		l.Observe(Crash{Run: Run(i), At: at, Lost: []Lost{{SentAt: at - 100, Fingerprint: suspect, Parts: []call.Part{1}}}}, at)
	}
	require.True(t, l.ReceiveVerdict(Verdict{Parts: []call.Part{1}, Crashes: 3, LastCrashAt: 2000}, 2100) || l.rulings[0].isSuspended)
	l.rulings[0].isSuspended = true
	l.isDirty = false
	l.judgeRequests(2200)
	require.NotZero(t, l.QuarantinedUntil(suspect, 2200))
}

// Guards against an entry that has just started and sends a request which all others refuse, and against one
// that goes on to refuse a request which they serve.
func TestVerdictOnRequestReachesOtherEntries(t *testing.T) {
	here, there := newExperienced(), newExperienced()
	for i := range requestLossThreshold {
		lose(here, i, clock.Millis(1000*(i+1)))
	}
	verdicts := here.RequestVerdicts(3100)
	require.Len(t, verdicts, 1)
	require.True(t, there.ReceiveRequestVerdict(verdicts[0], 3200))
	require.NotZero(t, there.QuarantinedUntil(suspect, 3200))
	require.Equal(t, verdicts, there.RequestVerdicts(3200))
	there.ReceiveRequestAcquittal(RequestAcquittal{suspect, 3300})
	require.Zero(t, there.QuarantinedUntil(suspect, 3400))
	require.False(t, there.ReceiveRequestVerdict(verdicts[0], 3400))
}

// Guards against an endpoint that has only lost an answer and is taken for one that has crashed.
func TestLossesAtEndpointThatLivesAreWithdrawn(t *testing.T) {
	l := newExperienced()
	for i := range 5 {
		lose(l, i, clock.Millis(1000*(i+1)))
		l.WithdrawLosses(Run(i))
	}
	require.Zero(t, l.LossesOf(suspect, 5000))
	require.Empty(t, l.OwnLosses(0))
}

// Guards against evidence on whole requests that takes memory without bound.
func TestMemoryOfRequestsIsBounded(t *testing.T) {
	l := newExperienced()
	for i := range 5000 {
		at := clock.Millis(1000 + 10*i)
		for run := range requestLossThreshold {
			loss := Loss{Fingerprint: uint64(i), Run: Run(run), SentAt: at + clock.Millis(run), At: at + clock.Millis(run)}
			l.ObserveLoss(loss, at)
		}
		l.ReceiveRequestVerdict(RequestVerdict{Fingerprint: uint64(100_000 + i), Losses: 3, LastAt: at}, at)
		if i%2 == 0 {
			l.AcquitRequest(uint64(i), at+10)
		}
		l.Advance(at + 10)
	}
	require.LessOrEqual(t, len(l.losses), maxLosses)
	require.LessOrEqual(t, len(l.ownLosses), maxOwnLosses)
	require.LessOrEqual(t, len(l.requests), maxLosses)
	require.LessOrEqual(t, len(l.requestRulings), maxLosses+maxRequestVerdicts)
	require.LessOrEqual(t, len(l.RequestVerdicts(51_000)), maxRequestVerdicts)
	require.LessOrEqual(t, len(l.requestAcquittals), maxAcquittals)
	// One acquittal each 20 ms, kept for acquittalTTL, in addition to those with evidence.
	require.LessOrEqual(t, len(l.requestsAcquittedAt), int(acquittalTTL/20)+maxLosses+1)
}
