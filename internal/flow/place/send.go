package place

import (
	"fmt"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

// send sends the request to the chosen endpoints and adds its work to them.
func send(b *board.Board, request *board.Request, decision choice) {
	timeLeft := request.DeadlineAt - b.Now
	request.MoveAfter = 0
	attempt := call.Send{
		Number: request.Request.Number, Endpoint: decision.lead.Name, Epoch: decision.lead.Epoch, Address: decision.lead.Address,
		Organisation: request.Organisation, TimeLeft: timeLeft, Urgency: decision.urgency, Stream: request.Route.IsStream(),
		FirstEventTimeout: timeLeft, NextEventTimeout: timeLeft, Predicted: decision.firstEvent,
		IsCold: decision.lead.IsCold(b.Now),
		Basis:  basisOf(b, request),
	}
	canRetry := request.Route.IsRepeatable() && request.Runs+1 < request.Route.Attempts
	if canRetry && !request.Route.IsStream() {
		// This leaves time to send the request to another endpoint if the first one
		// doesn't answer.
		attempt.FirstEventTimeout = min(timeLeft, EventTimeoutFactor*request.Route.Objective)
	}
	var gap clock.Millis
	if stream, isStream := request.Route.Repeat.(plan.Stream); isStream {
		gap = stream.GapObjective
		if canRetry {
			attempt.FirstEventTimeout, attempt.NextEventTimeout = eventTimeouts(decision, stream, b.Settings.StallTimeout)
			request.MoveAfter = b.Now + max(attempt.FirstEventTimeout, (request.WaitsUntil()-b.Now)/patienceDivisor)
		}
	}
	decision.lead.MarkSent(b.Now)
	request.Endpoint = decision.lead.Name
	request.SentAt = b.Now
	request.HasRetry = false
	request.Helpers = nil
	b.NewsChanged = b.NewsChanged || request.Queued
	request.Queued = false
	work := pool.Work{
		PromptTokens: request.Request.PromptTokens, OutputTokens: estimateOutput(request.Request),
		Shards: 1 + len(decision.helpers), StartedAt: b.Now, PrefillEndsAt: b.Now + decision.firstEvent, MaxGap: gap,
	}
	work.MemoryTokens = work.PromptTokens + work.OutputTokens
	id := request.Request.Number
	for _, helper := range decision.helpers {
		leased := decision.leases[helper]
		work.MemoryTokens -= leased
		shard := work
		shard.IsHelper = true
		shard.MemoryTokens = leased
		helper.Work[id] = shard
		request.Helpers = append(request.Helpers, helper.Name)
		attempt.Helpers = append(attempt.Helpers, newHelper(b, helper, leased))
	}
	if b.Plan.Services[request.Service].Engine == nil {
		attempt.Predicted = clock.Millis(request.Price.Millis())
		if request.IsPriced {
			work.Cost = clock.Millis(max(request.Price.Cost+request.Price.Deviation, 1))
		}
	}
	decision.lead.Work[id] = work
	markWorkChanged(b, request, work)
	b.Emit(output.Send{Send: attempt})
}

func basisOf(b *board.Board, request *board.Request) call.Basis {
	basis := call.Basis{
		Route: request.Route.Name, Organisation: request.Organisation, PlanVersion: b.Plan.Version, Usable: request.Usable, Entries: len(b.Peers),
		ReadTo: b.ReadTo, ListAt: b.ListAt,
		Wait: request.Wait, IsCallerRetry: request.IsCallerRetry(), TimeLeft: max(request.DeadlineAt-b.Now, 0),
		StartsIn: max(request.PlannedStart-b.Now, 0), Share: int(request.Share.Share), Use: request.Share.Use,
		LoadsDeferred: b.Tally.MaxDeferral(),
	}
	if b.SourceLostAt != 0 {
		basis.ListAge = b.Now - b.SourceLostAt
	}
	return basis
}

// newHelper returns the helper with a new lease of the given number of tokens, or
// without a lease if that is zero.
func newHelper(b *board.Board, endpoint *pool.Endpoint, leased int) call.Helper {
	helper := call.Helper{Endpoint: endpoint.Name, Address: endpoint.Address}
	if leased > 0 {
		b.LeaseCount++
		helper.Lease = fmt.Sprintf("%s-%x-%d", b.Self, b.Epoch, b.LeaseCount)
		helper.LeaseTokens = leased
	}
	return helper
}

// estimateOutput estimates the length of the answer in tokens.
func estimateOutput(request call.Request) int {
	if request.OutputEstimate > 0 {
		return min(request.OutputEstimate, max(request.OutputTokens, 1))
	}
	return request.OutputTokens
}

// handleFirstEvent records that the prefill of a request has ended.
func handleFirstEvent(b *board.Board, number uint64) {
	request := b.Requests[number]
	if request == nil {
		return
	}
	request.FirstEventSent = true
	request.FirstEventAt = b.Now
	endPrefill(b, request)
	if lead := b.Pool.Find(request.Endpoint); lead != nil {
		if work, isRunning := lead.Work[number]; isRunning {
			work.IsDecoding = true
			lead.Work[number] = work
		}
		lead.RecordSuccess()
		b.Pool.MarkReachable(lead.Domain)
	}
	markWorkChanged(b, request, pool.Work{})
}

// endPrefill releases the helpers that only prefilled. Helpers with a lease keep their
// memory until the end of the answer.
func endPrefill(b *board.Board, request *board.Request) {
	id := request.Request.Number
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
		work.IsDecoding = true
		helper.Work[id] = work
		return false
	})
}

func releaseHelpers(b *board.Board, request *board.Request) {
	for _, name := range request.Helpers {
		if helper := b.Pool.Find(name); helper != nil {
			delete(helper.Work, request.Request.Number)
		}
	}
	request.Helpers = nil
}

// release removes the work of the request from its endpoints.
func release(b *board.Board, request *board.Request) {
	releaseHelpers(b, request)
	var work pool.Work
	if lead := b.Pool.Find(request.Endpoint); lead != nil {
		work = lead.Work[request.Request.Number]
		delete(lead.Work, request.Request.Number)
	}
	request.Endpoint = ""
	request.FirstEventSent = false
	request.IsAcquitted = false
	markWorkChanged(b, request, work)
}

// markWorkChanged marks the load of this entry for publication. That of plain services is
// published only if the work takes long enough.
func markWorkChanged(b *board.Board, request *board.Request, work pool.Work) {
	if b.Plan.Services[request.Service].Engine != nil || cost.PlainLoad(work, b.Now).Leads > 0 {
		b.WorkChanged = true
	}
}
