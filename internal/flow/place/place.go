// Package place holds the controller of requests: it admits or refuses them,
// chooses endpoints, sends again what may be sent again, and ends each in time.
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
	// PlanWait is when it is worth asking an entry again that has no configuration.
	PlanWait = 1 * clock.Second
	// MaxRefusals bounds the sends of a request that endpoints did not run.
	MaxRefusals = 3
	// MinLeft is the least time left that is worth a send.
	MinLeft = 20 * clock.Millis(1)
	// SilentDomain is how long all entries of a failure domain must be silent for a
	// failed endpoint there to condemn the domain; they speak three times a second.
	SilentDomain = 700 * clock.Millis(1)
	// StopNotice is how long a stopped entry takes requests: the balancer takes it out
	// after two questions, one a second, that found it not ready.
	StopNotice = 2500 * clock.Millis(1)
	// StoppedWait is when a caller that was refused by a stopped entry should come
	// again; another entry serves it at once.
	StoppedWait = 50 * clock.Millis(1)
	// LeaseRetry is when memory is asked for again that was not free.
	LeaseRetry = 200 * clock.Millis(1)
	// CrashWait is when a request that crashes endpoints may come again.
	CrashWait = 60 * clock.Second

	// enginesPerMilli is how many engines are looked at for each millisecond that a
	// prompt waits, so that waiting takes under a hundredth of the processor.
	enginesPerMilli = 20
)

type controller struct{}

// NewController returns the controller of requests.
func NewController() board.Controller { return controller{} }

// Step handles one input.
func (controller) Step(b *board.Board, happened input.Input) {
	switch happened := happened.(type) {
	case input.RequestReceived:
		admit(b, happened.Request)
	case input.FirstEventSent:
		began(b, happened.Number)
	case input.SendEnded:
		ended(b, happened.Result)
	case input.CallerDisconnected:
		if request := b.Requests[happened.Number]; request != nil {
			forget(b, request)
		}
	case input.StopRequested:
		b.Stopping = true
		b.StoppingAt = b.Now
		b.NewsChanged = true
	}
	retryWaiting(b)
}

func admit(b *board.Board, asked call.Request) {
	placed, refusal := match(b, asked)
	if refusal != nil {
		refusal.Number = asked.Number
		refusal.Basis.PlanVersion = b.Plan.Version
		b.Emit(output.Reply{Reply: *refusal})
		return
	}
	span := placed.Route.Timeout
	if asked.CallerTimeout > 0 {
		span = min(span, asked.CallerTimeout)
	}
	if b.Stopping && b.Now-b.StoppingAt > StopNotice {
		reply := call.Reply{Reason: call.ReasonStopping, Status: http.StatusServiceUnavailable, RetryAfter: StoppedWait}
		reply.Number = asked.Number
		b.Emit(output.Reply{Reply: reply})
		return
	}
	request := &board.Request{RoutedRequest: placed, CameAt: b.Now, EndsAt: b.Now + span}
	b.Requests[asked.Number] = request
	b.Budget.Count(placed.Service, limits(b), b.Now)
	decide(b, request)
}

func limits(b *board.Board) budget.Limits {
	return budget.Limits{
		Ratio: b.Settings.RetryRatio, Slack: b.Settings.RetrySlack, Window: b.Settings.RetryWindow,
		Entries: b.MaxMembers,
	}
}

// match finds the route, the organisation and the service of a request.
func match(b *board.Board, asked call.Request) (call.RoutedRequest, *call.Reply) {
	if b.Plan.IsZero() {
		return call.RoutedRequest{}, &call.Reply{Reason: call.ReasonNoPlan, Status: http.StatusServiceUnavailable, RetryAfter: PlanWait}
	}
	route, found := b.Plan.Match(asked.Host, asked.Path)
	if !found {
		return call.RoutedRequest{}, &call.Reply{Reason: call.ReasonNoRoute, Status: http.StatusNotFound}
	}
	placed := call.RoutedRequest{Request: asked, Route: route, Rank: route.Rank}
	if b.Plan.HasKeys() && !route.Anonymous {
		organisation, known := b.Plan.Organisations[asked.Key]
		if !known {
			return call.RoutedRequest{}, &call.Reply{Reason: call.ReasonBadKey, Status: http.StatusUnauthorized}
		}
		placed.Organisation = organisation.Name
		if organisation.HasRank {
			placed.Rank = organisation.Rank
		}
	}
	placed.Service = route.Service(b.Random.Float64())
	return placed, nil
}

// decide sends the request, or lets it wait or refuses it.
func decide(b *board.Board, request *board.Request) {
	if b.EndsSoon(request, MinLeft) {
		timeout(b, request)
		return
	}
	if b.Now < request.NotBefore {
		return
	}
	if crash.IsConvicted(b, request.Request.Fingerprint) {
		refuse(b, request, call.ReasonCrashesEndpoints, CrashWait)
		return
	}
	service := b.Plan.Services[request.Service]
	var found choice
	if service.Engine != nil {
		found = chooseEngine(b, request, service.Engine)
	} else {
		found = chooseService(b, request)
	}
	switch {
	case found.lead != nil:
		send(b, request, found)
	case found.retryAfter > 0:
		refuse(b, request, found.reason, found.retryAfter)
	case !request.Queued:
		request.Queued = true
		b.NewsChanged = true
	}
}

// retryWaiting decides anew on requests that wait.
func retryWaiting(b *board.Board) {
	var waiting []*board.Request
	for _, request := range b.Requests {
		if request.Endpoint == "" && b.Now >= request.TryAt {
			waiting = append(waiting, request)
		}
	}
	slices.SortFunc(waiting, func(a, b *board.Request) int { return cmp.Compare(a.Request.Number, b.Request.Number) })
	for _, request := range waiting {
		decide(b, request)
		request.TryAt = b.Now + clock.Millis(request.Usable/enginesPerMilli)
	}
}
