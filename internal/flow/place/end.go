package place

import (
	"net/http"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/pool"
)

func forget(b *board.Board, request *board.Request) {
	if request.Endpoint != "" {
		release(b, request)
	}
	b.NewsChanged = b.NewsChanged || request.Queued
	delete(b.Requests, request.Request.Number)
}

func ended(b *board.Board, result call.Result) {
	request := b.Requests[result.Number]
	if request == nil {
		return
	}
	endpoint := b.Pool.Find(request.Endpoint)
	request.Tried = append(request.Tried, request.Endpoint)
	request.Delivered = request.Delivered || result.Delivered
	release(b, request)
	blame(b, endpoint, result)
	switch result.End {
	case call.EndDisconnected:
		forget(b, request)
	case call.EndComplete:
		request.Runs++
		answered(b, request, result)
	case call.EndNotRun:
		if result.LeaseRefused {
			request.Tried = nil
			request.Queued = true
			b.NewsChanged = true
			request.NotBefore = b.Now + LeaseRetry
			return
		}
		request.Refusals++
		notRun(b, request)
	case call.EndAnswerLost:
		request.Runs++
		broken(b, request)
	case call.EndTimeout:
		timeout(b, request)
	}
}

// blame notes what the end of a send says of its endpoint.
func blame(b *board.Board, endpoint *pool.Endpoint, result call.Result) {
	if result.FailedAddress != "" {
		if blamed := b.Pool.FindByAddress(result.FailedAddress); blamed != nil {
			endpoint = blamed
		}
	}
	if endpoint == nil {
		return
	}
	switch {
	case result.Moved, result.Unreachable, result.FailedAddress != "":
		b.Pool.RecordUnreachable(endpoint, b.Now)
		suspectDomain(b, endpoint)
	case result.End == call.EndAnswerLost:
		b.Pool.RecordFailure(endpoint, b.Now)
		suspectDomain(b, endpoint)
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

// IsSuspect reports whether there are signs that the endpoint is dead or out of
// reach. Silence alone is none: an engine may read a long part.
func IsSuspect(b *board.Board, name ident.Endpoint) bool {
	endpoint := b.Pool.Find(name)
	return endpoint == nil || b.Now < endpoint.BackoffUntil || b.Pool.IsUnreachable(endpoint.Domain, b.Now) ||
		endpoint.Domain != b.Domain && b.IsSilent(endpoint.Domain, SilentDomain)
}

// suspectDomain takes a failed endpoint of another failure domain for a sign that
// the domain can't be reached when its entries are silent too.
func suspectDomain(b *board.Board, endpoint *pool.Endpoint) {
	if endpoint.Domain == b.Domain || !b.IsSilent(endpoint.Domain, SilentDomain) {
		return
	}
	if !b.Pool.IsUnreachable(endpoint.Domain, b.Now) {
		b.Log("Failure domain can't be reached.", "failureDomain", endpoint.Domain, "endpoint", endpoint.Name)
	}
	b.Pool.MarkUnreachable(endpoint.Domain, b.Now)
}

func answered(b *board.Board, request *board.Request, result call.Result) {
	isFailure := result.Status >= http.StatusInternalServerError
	if isFailure && !request.Delivered && again(b, request) {
		return
	}
	delete(b.Requests, request.Request.Number)
	b.Emit(output.Deliver{Number: request.Request.Number})
}

// again sends a request once more that may be repeated, within the attempts of
// its route and the budget of retries.
func again(b *board.Board, request *board.Request) bool {
	mayRun := request.Route.MayRepeat() && request.Runs < request.Route.Attempts
	if !mayRun || b.EndsSoon(request, MinLeft) || !b.Budget.Spend(request.Service, limits(b), b.Now) {
		return false
	}
	decide(b, request)
	return true
}

func notRun(b *board.Board, request *board.Request) {
	isOver := request.Refusals >= MaxRefusals || b.EndsSoon(request, MinLeft)
	// What ran before and broke can't be refused as not run.
	if !isOver && b.Budget.Spend(request.Service, limits(b), b.Now) {
		decide(b, request)
		return
	}
	refuse(b, request, call.ReasonOverload, b.RetryAfter(request))
}

func broken(b *board.Board, request *board.Request) {
	if again(b, request) {
		return
	}
	fail(b, request, call.ReasonAnswerLost, http.StatusBadGateway)
}

func timeout(b *board.Board, request *board.Request) {
	fail(b, request, call.ReasonTimeout, http.StatusGatewayTimeout)
}

// refuse promises that the request has not run. One that may have run fails
// without a promise.
func refuse(b *board.Board, request *board.Request, reason call.Reason, after clock.Millis) {
	if request.Runs > 0 {
		fail(b, request, reason, http.StatusBadGateway)
		return
	}
	end(b, request, call.Reply{Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: after})
}

func fail(b *board.Board, request *board.Request, reason call.Reason, status int) {
	end(b, request, call.Reply{Reason: reason, Status: status})
}

func end(b *board.Board, request *board.Request, reply call.Reply) {
	reply.Number = request.Request.Number
	reply.Basis = basisOf(b, request)
	forget(b, request)
	if request.Delivered {
		b.Emit(output.Abort{Number: reply.Number, Reason: reply.Reason})
		return
	}
	b.Emit(output.Reply{Reply: reply})
}
