// Package place provides the controller of requests. It admits or refuses them, chooses
// their endpoints, retries failed sends where that is safe, and enforces deadlines.
package place

import (
	"cmp"
	"net/http"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/budget"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/crash"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
)

const (
	// NoPlanRetryAfter is the delay after which a caller should retry at an entry that
	// has no configuration yet.
	NoPlanRetryAfter = 1 * clock.Second
	// MaxRefusals is the number of sends that endpoints did not run after which a request is
	// refused.
	MaxRefusals = 3
	// MinTimeLeft is the least remaining time with which a request is sent.
	MinTimeLeft = 20 * clock.Millis(1)
	// DomainTimeout is how long all entries of a failure domain must be unresponsive for
	// a failed endpoint there to mark the domain as unreachable. Entries publish their
	// state three times a second.
	DomainTimeout = 700 * clock.Millis(1)
	// StopNotice is how long a stopping entry still accepts requests. The load balancer
	// checks readiness once a second and removes an entry after two failed checks.
	StopNotice = 2500 * clock.Millis(1)
	// ExitReserve is the part of the grace period that a stopping entry keeps for the last
	// answers and for the exit of the process. It is at most the grace period divided by
	// exitReserveDivisor.
	ExitReserve        = 500 * clock.Millis(1)
	exitReserveDivisor = 8
	// StoppingRetryAfter is the delay after which a caller that was refused by a stopping
	// entry should retry. It is short because another entry can serve it at once.
	StoppingRetryAfter = 50 * clock.Millis(1)
	// LeaseRetryDelay is the delay before memory that was not free is requested again.
	LeaseRetryDelay = 200 * clock.Millis(1)
	// SilenceRetryDelay is the delay before an endpoint is looked for again, for a request
	// whose send was ended because its endpoint was silent.
	SilenceRetryDelay = 100 * clock.Millis(1)

	// waitLogInterval is the minimum time between two log lines on why a request waits.
	waitLogInterval = 500 * clock.Millis(1)

	// enginesPerMilli is the number of engines that the decisions on a waiting prompt
	// examine per millisecond on average. It limits the cost of waiting to under 1/100 of
	// the processor.
	enginesPerMilli = 20
)

type controller struct{}

// NewController returns the controller of requests.
func NewController() board.Controller { return controller{} }

// Step handles one input.
func (controller) Step(b *board.Board, in input.Input) {
	switch in := in.(type) {
	case input.RequestReceived:
		admit(b, in.Request)
	case input.FirstEventSent:
		handleFirstEvent(b, in.Number)
	case input.EndpointSilent:
		handleSilence(b, in.Number)
	case input.EndpointNoticed:
		handleNotice(b, in)
	case input.SendEnded:
		handleSendEnded(b, in.Result)
	case input.CallerDisconnected:
		if request := b.Requests[in.Number]; request != nil {
			remove(b, request)
		}
	case input.StopRequested:
		beginStop(b)
	case input.PaceReported:
		if endpoint := b.Pool.Find(in.Endpoint); endpoint != nil {
			b.Pool.MarkReachable(endpoint.Domain)
		}
	case input.Ticked:
		readmitDomains(b)
		detectUnreachableDomains(b)
		if b.StopEndsWithin(0) {
			cancelSends(b)
		}
	}
	dispatchWaiting(b)
}

// admit accepts and dispatches a request, or replies with a refusal.
func admit(b *board.Board, received call.Request) {
	routed, refusal := matchRoute(b, received)
	if refusal != nil {
		refusal.Number = received.Number
		refusal.Basis = call.Basis{PlanVersion: b.Plan.Version, ReadTo: b.ReadTo, ListAt: b.ListAt}
		b.Emit(output.Reply{Reply: *refusal})
		return
	}
	timeout := routed.Route.Timeout
	if received.CallerTimeout > 0 {
		timeout = min(timeout, received.CallerTimeout)
	}
	request := &board.Request{RoutedRequest: routed, ArrivedAt: b.Now, DeadlineAt: b.Now + timeout}
	if b.Plan.Services[routed.Service].Engine == nil {
		request.Subject = subjectOf(routed)
	}
	if b.Stopping && b.Now-b.StoppingAt > StopNotice {
		refuse(b, request, call.ReasonStopping, StoppingRetryAfter)
		return
	}
	b.Requests[received.Number] = request
	if group, isShared := b.GroupOf(request); isShared {
		request.Group = b.Shares.Note(group, b.Now)
	}
	b.Budget.CountRequest(routed.Service, retryLimits(b), b.Now)
	dispatch(b, request)
}

func retryLimits(b *board.Board) budget.Limits {
	return budget.Limits{
		Ratio: b.Settings.RetryRatio, Slack: b.Settings.RetrySlack, Window: b.Settings.RetryWindow,
		Entries: b.MaxMembers,
	}
}

// matchRoute determines the route, the organisation and the service of a request. If
// there is none, it returns the reply that refuses the request.
func matchRoute(b *board.Board, received call.Request) (call.RoutedRequest, *call.Reply) {
	if b.Plan.IsZero() {
		return call.RoutedRequest{}, &call.Reply{Reason: call.ReasonNoPlan, Status: http.StatusServiceUnavailable, RetryAfter: NoPlanRetryAfter}
	}
	route, hasRoute := b.Plan.Match(received.Host, received.Path)
	if !hasRoute {
		return call.RoutedRequest{}, &call.Reply{Reason: call.ReasonNoRoute, Status: http.StatusNotFound}
	}
	routed := call.RoutedRequest{Request: received, Route: route, Rank: route.Rank}
	if !route.Anonymous {
		organisation, isAdmitted := b.Plan.Admit(received.Key)
		if !isAdmitted {
			return call.RoutedRequest{}, &call.Reply{Reason: call.ReasonBadKey, Status: http.StatusUnauthorized}
		}
		routed.Organisation = organisation.Name
		if organisation.HasRank {
			routed.Rank = organisation.Rank
		}
	}
	routed.Service = route.Service(b.Random.Float64())
	return routed, nil
}

// dispatch sends the request to an endpoint, queues it or refuses it.
func dispatch(b *board.Board, request *board.Request) {
	if b.EndsWithin(request, MinTimeLeft) {
		failTimeout(b, request)
		return
	}
	if b.StopEndsWithin(minDuration(b, request)) {
		refuse(b, request, call.ReasonStopping, StoppingRetryAfter)
		return
	}
	if b.Now < request.NotBefore {
		return
	}
	if until := crash.QuarantinedUntil(b, request); until != 0 {
		crash.LogVerdict(b, request)
		refuse(b, request, call.ReasonCrashesEndpoints, until-b.Now)
		return
	}
	service := b.Plan.Services[request.Service]
	var decision choice
	if service.Engine != nil {
		decision = chooseEngine(b, request, service.Engine)
	} else {
		decision = chooseEndpoint(b, request)
	}
	switch {
	case decision.lead != nil:
		send(b, request, decision)
	case request.HasRetry && (decision.reason == call.ReasonNoEndpoint || decision.reason == call.ReasonPaused):
		// Others were usable when the send was ended. They may be in backoff or paused by now.
		request.NotBefore = b.Now + SilenceRetryDelay
		decision.wait = call.WaitEndpoint
		logWait(b, request, decision)
	case decision.wait == call.WaitCold:
		request.NotBefore = decision.notBefore
		logWait(b, request, decision)
	case decision.retryAfter > 0:
		refuse(b, request, decision.reason, decision.retryAfter)
	default:
		b.NewsChanged = b.NewsChanged || !request.Queued
		request.Queued = true
		logWait(b, request, decision)
	}
}

// logWait logs why a request waits if the cause has changed, at most once per waitLogInterval.
func logWait(b *board.Board, request *board.Request, decision choice) {
	if decision.wait == request.Wait || b.Now-request.WaitLoggedAt < waitLogInterval && request.Wait != "" {
		return
	}
	request.Wait = decision.wait
	request.WaitLoggedAt = b.Now
	b.Log("Request waits.", "request", request.Request.Name, "cause", decision.wait, "promptTokens", request.Request.PromptTokens,
		"shards", decision.shards, "free", decision.free, "ahead", decision.own.enginesAhead,
		"startsIn", max(decision.own.startAt-b.Now, 0), "onTime", decision.own.isOnTime, "runs", request.Runs,
		"left", request.DeadlineAt-b.Now, "usable", request.Usable)
}

// dispatchWaiting dispatches the waiting requests whose next try is due, in the order of
// their numbers.
func dispatchWaiting(b *board.Board) {
	var waiting []*board.Request
	for _, request := range b.Requests {
		if request.Endpoint == "" && b.Now >= request.NextTryAt {
			waiting = append(waiting, request)
		}
	}
	slices.SortFunc(waiting, func(a, b *board.Request) int { return cmp.Compare(a.Request.Number, b.Request.Number) })
	for _, request := range waiting {
		dispatch(b, request)
		request.NextTryAt = b.Now + clock.Millis(request.Usable/enginesPerMilli)
	}
}
