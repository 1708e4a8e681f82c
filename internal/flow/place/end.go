package place

import (
	"net/http"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/crash"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/pool"
)

// remove removes the request from the board and its work from the endpoints.
func remove(b *board.Board, request *board.Request) {
	if request.Endpoint != "" {
		release(b, request)
	}
	b.NewsChanged = b.NewsChanged || request.Queued
	delete(b.Requests, request.Request.Number)
}

func handleSendEnded(b *board.Board, result call.Result) {
	request := b.Requests[result.Number]
	if request == nil {
		return
	}
	endpoint := b.Pool.Find(request.Endpoint)
	request.Tried = append(request.Tried, request.Endpoint)
	request.Delivered = request.Delivered || result.Delivered
	// Any helper may be the cause of a silence, not only the endpoint that leads.
	isCauseUnknown := request.HasRetry && len(request.Helpers) > 0 && result.FailedAddress == ""
	release(b, request)
	if !isCauseUnknown {
		updateHealth(b, endpoint, result)
	}
	switch result.End {
	case call.EndDisconnected:
		remove(b, request)
	case call.EndComplete:
		recordDuration(b, request)
		if result.Status < http.StatusInternalServerError {
			recordCost(b, request, endpoint)
		}
		request.Runs++
		handleAnswer(b, request, result)
	case call.EndNotRun:
		if result.LeaseRefused {
			request.Tried = nil
			request.Queued = true
			b.NewsChanged = true
			request.NotBefore = b.Now + LeaseRetryDelay
			logWait(b, request, choice{wait: call.WaitLease})
			return
		}
		if result.Withdrawn && !b.EndsWithin(request, MinTimeLeft) {
			// Nothing was sent, so that this is no retry.
			dispatch(b, request)
			return
		}
		request.Refusals++
		handleNotRun(b, request)
	case call.EndAnswerLost:
		request.Runs++
		handleAnswerLost(b, request)
	case call.EndTimeout:
		recordDuration(b, request)
		failTimeout(b, request)
	case call.EndCancelled:
		request.Runs++
		reason := call.ReasonStopping
		if crash.QuarantinedUntil(b, request) != 0 {
			crash.LogVerdict(b, request)
			reason = call.ReasonCrashesEndpoints
		}
		fail(b, request, reason, http.StatusBadGateway)
	}
}

// recordDuration records how long a plain service took for a send. The time that engines take is
// predicted.
func recordDuration(b *board.Board, request *board.Request) {
	if b.Plan.Services[request.Service].Engine == nil {
		b.Pool.RecordDuration(request.Service, b.Now-request.SentAt, b.Now)
	}
}

// updateHealth records the result of a send in the health of its endpoint. A failure is
// attributed to the endpoint that the result names as the cause, if it names one.
func updateHealth(b *board.Board, endpoint *pool.Endpoint, result call.Result) {
	if result.FailedAddress != "" {
		if cause := b.Pool.FindByAddress(result.FailedAddress); cause != nil {
			endpoint = cause
		}
	}
	if endpoint == nil {
		return
	}
	switch {
	case result.Moved, result.Unreachable, result.FailedAddress != "":
		b.Pool.RecordUnreachable(endpoint, b.Now)
		markIfUnresponsive(b, endpoint.Domain)
	case result.End == call.EndAnswerLost:
		b.Pool.RecordFailure(endpoint, b.Now)
		markIfUnresponsive(b, endpoint.Domain)
	case result.End == call.EndComplete:
		b.Pool.MarkReachable(endpoint.Domain)
		if result.Status < http.StatusInternalServerError {
			endpoint.RecordSuccess()
		} else {
			b.Pool.RecordError(endpoint, b.Now)
			b.NewsChanged = true
		}
	}
}

// handleSilence ends the send of a request that should move. It takes the retry at once, since
// other sends may end before this one has.
func handleSilence(b *board.Board, number uint64) {
	if !ShouldMove(b, number) {
		return
	}
	request := b.Requests[number]
	request.HasRetry = b.Budget.TakeRetry(request.Service, retryLimits(b), b.Now)
	if request.HasRetry {
		b.Emit(output.MoveSend{Number: number})
	}
}

// ShouldMove reports whether a request whose endpoint is silent for longer than expected
// should be sent to another one. Silence alone never ends an answer: there must be an endpoint,
// an attempt and a retry left for it. Before request.MoveAfter, and once the caller has received
// an event, there must also be signs that the endpoint is dead or unreachable: an engine may be
// busy with prompts of other entries, and what it has prefilled would be lost.
func ShouldMove(b *board.Board, number uint64) bool {
	request := b.Requests[number]
	if request == nil {
		return false
	}
	mayRetry := request.Route.IsRepeatable() && request.Runs+1 < request.Route.Attempts &&
		!b.EndsWithin(request, MinTimeLeft) && b.Budget.HasRetry(request.Service, retryLimits(b), b.Now)
	isPatient := request.FirstEventSent || b.Now < request.MoveAfter
	if !mayRetry || isPatient && !isSuspect(b, request.Endpoint) {
		return false
	}
	coldRate := b.Plan.Services[request.Service].ColdRate
	return slices.ContainsFunc(b.Pool.ByService(request.Service), func(other *pool.Endpoint) bool {
		return other.Name != request.Endpoint && other.IsUsable(b.Now) && !b.Pool.IsUnreachable(other.Domain) &&
			(coldRate == 0 || maySend(b, other, coldRate))
	})
}

// isSuspect reports whether there are signs that the endpoint is dead or unreachable.
func isSuspect(b *board.Board, name ident.Endpoint) bool {
	endpoint := b.Pool.Find(name)
	return endpoint == nil || b.Now < endpoint.BackoffUntil || b.Pool.IsUnreachable(endpoint.Domain) ||
		endpoint.Domain != b.Domain && b.IsUnresponsive(endpoint.Domain, DomainTimeout)
}

// handleAnswer ends the request with the answer, or retries it if the status is 500 or more.
// For a caller that has received a part of a stream, any other answer than the rest of the
// stream is a lost one.
func handleAnswer(b *board.Board, request *board.Request, result call.Result) {
	if request.Delivered && result.Status != http.StatusOK {
		handleAnswerLost(b, request)
		return
	}
	if result.Status >= http.StatusInternalServerError && retry(b, request) {
		return
	}
	delete(b.Requests, request.Request.Number)
	b.Emit(output.Deliver{Number: request.Request.Number})
}

// retry dispatches the request again and returns true if the request is repeatable, has
// enough time left, is no suspect of ending endpoints, and the attempts of its route and the retry
// budget permit it.
func retry(b *board.Board, request *board.Request) bool {
	canRetry := request.Route.IsRepeatable() && request.Runs < request.Route.Attempts &&
		!b.Blame.IsSuspect(request.Request.Fingerprint, request.Request.Parts, b.Now)
	if !canRetry || b.EndsWithin(request, MinTimeLeft) {
		return false
	}
	if !request.HasRetry && !b.Budget.TakeRetry(request.Service, retryLimits(b), b.Now) {
		return false
	}
	dispatch(b, request)
	return true
}

// handleNotRun dispatches a request again that the endpoint did not run. It refuses the
// request if endpoints refused it MaxRefusals times, if too little time is left or if the
// retry budget is exhausted.
func handleNotRun(b *board.Board, request *board.Request) {
	isExhausted := request.Refusals >= MaxRefusals || b.EndsWithin(request, MinTimeLeft)
	// A request that may have run at an earlier endpoint can't be refused as not run;
	// refuse handles that case.
	if !isExhausted && b.Budget.TakeRetry(request.Service, retryLimits(b), b.Now) {
		dispatch(b, request)
		return
	}
	refuse(b, request, call.ReasonOverload, b.RetryAfter(request))
}

func handleAnswerLost(b *board.Board, request *board.Request) {
	if retry(b, request) {
		return
	}
	fail(b, request, call.ReasonAnswerLost, http.StatusBadGateway)
}

func failTimeout(b *board.Board, request *board.Request) {
	fail(b, request, call.ReasonTimeout, http.StatusGatewayTimeout)
}

// refuse ends the request with a status that guarantees that it has not run. A request
// that may have run fails without that guarantee.
func refuse(b *board.Board, request *board.Request, reason call.Reason, retryAfter clock.Millis) {
	if request.Runs > 0 {
		fail(b, request, reason, http.StatusBadGateway)
		return
	}
	finish(b, request, call.Reply{Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter})
}

func fail(b *board.Board, request *board.Request, reason call.Reason, status int) {
	finish(b, request, call.Reply{Reason: reason, Status: status})
}

// finish removes the request and replies to the caller, or aborts the answer if the
// caller has received a part of it.
func finish(b *board.Board, request *board.Request, reply call.Reply) {
	reply.Number = request.Request.Number
	reply.Basis = basisOf(b, request)
	remove(b, request)
	if request.Delivered {
		b.Emit(output.Abort{Number: reply.Number, Reason: reply.Reason})
		return
	}
	b.Emit(output.Reply{Reply: reply})
}
