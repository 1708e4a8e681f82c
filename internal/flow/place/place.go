// Package place holds the controller of requests: it admits or refuses them,
// chooses endpoints, sends again what may be sent again, and ends each in time.
package place

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/budget"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/crash"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/job"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
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
	// NoticeSpan is how long a stopped entry takes requests: the balancer takes it out
	// after two questions, one a second, that found it not ready.
	NoticeSpan = 2500 * clock.Millis(1)
	// StoppedWait is when a caller that was refused by a stopped entry should come
	// again; another entry serves it at once.
	StoppedWait = 50 * clock.Millis(1)
	// LeaseRetry is when memory is asked for again that was not free.
	LeaseRetry = 200 * clock.Millis(1)
	// CrashWait is when a request that crashes endpoints may come again.
	CrashWait = 60 * clock.Second
)

type controller struct{}

// NewController returns the controller of requests.
func NewController() board.Controller { return controller{} }

// Step handles one input.
func (controller) Step(b *board.Board, happened input.Input) {
	switch happened := happened.(type) {
	case input.RequestCame:
		admit(b, happened.Request)
	case input.EventCame:
		began(b, happened.Number)
	case input.SendEnded:
		ended(b, happened.Result)
	case input.CallerGone:
		if request := b.Requests[happened.Number]; request != nil {
			forget(b, request)
		}
	case input.StopAsked:
		b.Stopping = true
		b.StoppingAt = b.Now
		b.WorkChanged = true
	}
	retryWaiting(b)
}

func admit(b *board.Board, asked job.Request) {
	placed, refusal := match(b, asked)
	if refusal != nil {
		refusal.Number = asked.Number
		refusal.Basis.PlanVersion = b.Plan.Version
		b.Emit(output.Reply{Reply: *refusal})
		return
	}
	span := placed.Route.Timeout
	if asked.Deadline > 0 {
		span = min(span, asked.Deadline)
	}
	if b.Stopping && b.Now-b.StoppingAt > NoticeSpan {
		reply := job.Reply{Reason: job.ReasonStopping, Status: http.StatusServiceUnavailable, RetryAfter: StoppedWait}
		reply.Number = asked.Number
		b.Emit(output.Reply{Reply: reply})
		return
	}
	request := &board.Request{Placed: placed, CameAt: b.Now, EndsAt: b.Now + span}
	b.Requests[asked.Number] = request
	b.Budget.Count(placed.Service, limits(b), b.Now)
	decide(b, request)
}

func limits(b *board.Board) budget.Limits {
	return budget.Limits{
		Ratio: b.Settings.RetryRatio, Slack: b.Settings.RetrySlack, Window: b.Settings.RetryWindow,
		Entries: b.Members,
	}
}

// match finds the route, the organisation and the service of a request.
func match(b *board.Board, asked job.Request) (job.Placed, *job.Reply) {
	if b.Plan.IsZero() {
		return job.Placed{}, &job.Reply{Reason: job.ReasonNoPlan, Status: http.StatusServiceUnavailable, RetryAfter: PlanWait}
	}
	route, found := b.Plan.Match(asked.Host, asked.Path)
	if !found {
		return job.Placed{}, &job.Reply{Reason: job.ReasonNoRoute, Status: http.StatusNotFound}
	}
	placed := job.Placed{Request: asked, Route: route, Rank: route.Rank}
	if b.Plan.HasKeys() && !route.Anonymous {
		organisation, known := b.Plan.Organisations[asked.Key]
		if !known {
			return job.Placed{}, &job.Reply{Reason: job.ReasonBadKey, Status: http.StatusUnauthorized}
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
		refuse(b, request, job.ReasonCrashes, CrashWait)
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
		b.WorkChanged = true
	}
}

func send(b *board.Board, request *board.Request, found choice) {
	left := request.EndsAt - b.Now
	wanted := job.Send{
		Number: request.Request.Number, Endpoint: found.lead.Name, Address: found.lead.Address,
		Organisation: request.Organisation, Left: left, Urgency: found.urgency, Stream: request.Route.IsStream(),
		FirstWithin: left, NextWithin: left, Predicted: found.first,
		Basis: basisOf(b, request),
	}
	if _, is := request.Route.Repeat.(plan.Idempotent); is && request.Runs+1 < request.Route.Attempts {
		// There is time to ask another endpoint when the first stays silent.
		wanted.FirstWithin = min(left, SilenceFactor*request.Route.Objective)
	}
	var gap clock.Millis
	if stream, is := request.Route.Repeat.(plan.Stream); is {
		wanted.FirstWithin, wanted.NextWithin = silences(b, found, stream)
		gap = stream.GapObjective
	}
	request.Endpoint = found.lead.Name
	request.SentAt = b.Now
	request.PredictedFirst = found.first
	request.Helpers = nil
	request.Queued = false
	work := pool.Work{
		PromptTokens: request.Request.PromptTokens, OutputTokens: outputTokens(request.Request),
		Parts: 1 + len(found.helpers), Since: b.Now, ReadAt: b.Now + found.first, Gap: gap,
	}
	work.MemoryTokens = work.PromptTokens + work.OutputTokens
	id := b.Own(request.Request.Number)
	for _, helper := range found.helpers {
		leased := found.leases[helper]
		work.MemoryTokens -= leased
		part := work
		part.Helping = true
		part.MemoryTokens = leased
		helper.Work[id] = part
		request.Helpers = append(request.Helpers, helper.Name)
		wanted.Helpers = append(wanted.Helpers, helperOf(b, helper, leased))
	}
	found.lead.Work[id] = work
	changed(b, request)
	b.Emit(output.Send{Send: wanted})
}

func basisOf(b *board.Board, request *board.Request) job.Basis {
	basis := job.Basis{
		Route: request.Route.Name, PlanVersion: b.Plan.Version, Usable: request.Usable, Entries: len(b.Peers),
	}
	if b.SourceLostAt != 0 {
		basis.ListAge = b.Now - b.SourceLostAt
	}
	return basis
}

func helperOf(b *board.Board, helper *pool.Endpoint, leased int) job.Helper {
	named := job.Helper{Endpoint: helper.Name, Address: helper.Address}
	if leased > 0 {
		b.Leases++
		named.Lease = fmt.Sprintf("%s-%x-%d", b.Self, b.Life, b.Leases)
		named.LeaseTokens = leased
	}
	return named
}

// outputTokens estimates the length of an answer.
func outputTokens(asked job.Request) int {
	if asked.OutputGuess > 0 {
		return min(asked.OutputGuess, max(asked.OutputTokens, 1))
	}
	return asked.OutputTokens
}

func began(b *board.Board, number uint64) {
	request := b.Requests[number]
	if request == nil {
		return
	}
	request.Begun = true
	endReading(b, request)
	if lead := b.Pool.Find(request.Endpoint); lead != nil {
		id := b.Own(number)
		if work, found := lead.Work[id]; found {
			work.Writing = true
			lead.Work[id] = work
		}
		lead.Succeeded()
		b.Pool.Reached(lead.Domain)
	}
	changed(b, request)
}

// endReading frees the helpers that only read; those that keep memory go on until
// the end of the answer.
func endReading(b *board.Board, request *board.Request) {
	id := b.Own(request.Request.Number)
	request.Helpers = slices.DeleteFunc(request.Helpers, func(name ident.Endpoint) bool {
		helper := b.Pool.Find(name)
		if helper == nil {
			return true
		}
		work := helper.Work[id]
		if work.MemoryTokens == 0 {
			delete(helper.Work, id)
			return true
		}
		work.Writing = true
		helper.Work[id] = work
		return false
	})
}

func endHelp(b *board.Board, request *board.Request) {
	for _, name := range request.Helpers {
		if helper := b.Pool.Find(name); helper != nil {
			delete(helper.Work, b.Own(request.Request.Number))
		}
	}
	request.Helpers = nil
}

// release takes the request's work off its endpoints.
func release(b *board.Board, request *board.Request) {
	endHelp(b, request)
	if lead := b.Pool.Find(request.Endpoint); lead != nil {
		delete(lead.Work, b.Own(request.Request.Number))
	}
	request.Endpoint = ""
	request.Begun = false
	changed(b, request)
}

// changed notes that other entries should hear of the request: of a long prompt
// at once, since it moves lanes and turns, of others when there is more to tell.
func changed(b *board.Board, request *board.Request) {
	engine := b.Plan.Services[request.Service].Engine
	switch {
	case engine == nil:
	case cost.ReadMillis(engine, request.Request.PromptTokens, 1) > longRead:
		b.WorkChanged = true
	default:
		b.ShortChanged = true
	}
}

func forget(b *board.Board, request *board.Request) {
	if request.Endpoint != "" {
		release(b, request)
	}
	delete(b.Requests, request.Request.Number)
}

func ended(b *board.Board, result job.Result) {
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
	case job.EndCallerGone:
		forget(b, request)
	case job.EndWhole:
		request.Runs++
		answered(b, request, result)
	case job.EndNotRun:
		if result.Unreserved {
			request.Tried = nil
			request.Queued = true
			request.NotBefore = b.Now + LeaseRetry
			return
		}
		request.Refusals++
		notRun(b, request)
	case job.EndBroken:
		request.Runs++
		broken(b, request)
	case job.EndTimeout:
		timeout(b, request)
	}
}

// blame notes what the end of a send says of its endpoint.
func blame(b *board.Board, endpoint *pool.Endpoint, result job.Result) {
	if result.Blamed != "" {
		if blamed := b.Pool.FindAddress(result.Blamed); blamed != nil {
			endpoint = blamed
		}
	}
	if endpoint == nil {
		return
	}
	switch {
	case result.Moved, result.Unreached, result.Blamed != "":
		endpoint.Unreachable(b.Now)
		suspectDomain(b, endpoint)
	case result.End == job.EndBroken:
		endpoint.Failed(b.Now)
		suspectDomain(b, endpoint)
	case result.End == job.EndWhole:
		b.Pool.Reached(endpoint.Domain)
		if result.Status < http.StatusInternalServerError {
			endpoint.Succeeded()
		}
	}
}

// suspectDomain takes a failed endpoint of another failure domain for a sign that
// the domain can't be reached when its entries are silent too.
func suspectDomain(b *board.Board, endpoint *pool.Endpoint) {
	if endpoint.Domain == b.Domain || !b.IsSilent(endpoint.Domain, SilentDomain) {
		return
	}
	if !b.Pool.IsCut(endpoint.Domain, b.Now) {
		b.Note("Failure domain can't be reached.", "failureDomain", endpoint.Domain, "endpoint", endpoint.Name)
	}
	b.Pool.Cut(endpoint.Domain, b.Now)
}

func answered(b *board.Board, request *board.Request, result job.Result) {
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
	refuse(b, request, job.ReasonOverload, b.RetryAfter(request))
}

func broken(b *board.Board, request *board.Request) {
	if again(b, request) {
		return
	}
	fail(b, request, job.ReasonBroken, http.StatusBadGateway)
}

func timeout(b *board.Board, request *board.Request) {
	fail(b, request, job.ReasonTimeout, http.StatusGatewayTimeout)
}

// refuse promises that the request has not run. One that may have run fails
// without a promise.
func refuse(b *board.Board, request *board.Request, reason job.Reason, after clock.Millis) {
	if request.Runs > 0 {
		fail(b, request, reason, http.StatusBadGateway)
		return
	}
	end(b, request, job.Reply{Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: after})
}

func fail(b *board.Board, request *board.Request, reason job.Reason, status int) {
	end(b, request, job.Reply{Reason: reason, Status: status})
}

func end(b *board.Board, request *board.Request, reply job.Reply) {
	reply.Number = request.Request.Number
	reply.Basis = basisOf(b, request)
	forget(b, request)
	if request.Delivered {
		b.Emit(output.Abort{Number: reply.Number, Reason: reply.Reason})
		return
	}
	b.Emit(output.Reply{Reply: reply})
}

// retryWaiting decides anew on requests that wait.
func retryWaiting(b *board.Board) {
	var waiting []*board.Request
	for _, request := range b.Requests {
		if request.Endpoint == "" {
			waiting = append(waiting, request)
		}
	}
	slices.SortFunc(waiting, func(a, b *board.Request) int { return cmp.Compare(a.Request.Number, b.Request.Number) })
	for _, request := range waiting {
		decide(b, request)
	}
}
