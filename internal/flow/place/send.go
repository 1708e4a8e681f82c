package place

import (
	"fmt"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

func send(b *board.Board, request *board.Request, found choice) {
	left := request.EndsAt - b.Now
	wanted := call.Send{
		Number: request.Request.Number, Endpoint: found.lead.Name, Address: found.lead.Address,
		Organisation: request.Organisation, TimeLeft: left, Urgency: found.urgency, Stream: request.Route.IsStream(),
		FirstEventTimeout: left, NextEventTimeout: left, Predicted: found.first,
		Basis: basisOf(b, request),
	}
	mayGoElsewhere := request.Route.MayRepeat() && request.Runs+1 < request.Route.Attempts
	if mayGoElsewhere && !request.Route.IsStream() {
		// There is time to ask another endpoint when the first stays silent.
		wanted.FirstEventTimeout = min(left, SilenceFactor*request.Route.Objective)
	}
	var gap clock.Millis
	if stream, is := request.Route.Repeat.(plan.Stream); is {
		gap = stream.GapObjective
		if mayGoElsewhere {
			wanted.FirstEventTimeout, wanted.NextEventTimeout = silences(found, stream)
		}
	}
	request.Endpoint = found.lead.Name
	request.Helpers = nil
	b.NewsChanged = b.NewsChanged || request.Queued
	request.Queued = false
	work := pool.Work{
		PromptTokens: request.Request.PromptTokens, OutputTokens: outputTokens(request.Request),
		Shards: 1 + len(found.helpers), StartedAt: b.Now, PrefillEndsAt: b.Now + found.first, MaxGap: gap,
	}
	work.MemoryTokens = work.PromptTokens + work.OutputTokens
	id := request.Request.Number
	for _, helper := range found.helpers {
		leased := found.leases[helper]
		work.MemoryTokens -= leased
		part := work
		part.IsHelper = true
		part.MemoryTokens = leased
		helper.Work[id] = part
		request.Helpers = append(request.Helpers, helper.Name)
		wanted.Helpers = append(wanted.Helpers, helperOf(b, helper, leased))
	}
	found.lead.Work[id] = work
	changed(b, request)
	b.Emit(output.Send{Send: wanted})
}

func basisOf(b *board.Board, request *board.Request) call.Basis {
	basis := call.Basis{
		Route: request.Route.Name, PlanVersion: b.Plan.Version, Usable: request.Usable, Entries: len(b.Peers),
	}
	if b.SourceLostAt != 0 {
		basis.ListAge = b.Now - b.SourceLostAt
	}
	return basis
}

func helperOf(b *board.Board, helper *pool.Endpoint, leased int) call.Helper {
	named := call.Helper{Endpoint: helper.Name, Address: helper.Address}
	if leased > 0 {
		b.Leases++
		named.Lease = fmt.Sprintf("%s-%x-%d", b.Self, b.Epoch, b.Leases)
		named.LeaseTokens = leased
	}
	return named
}

// outputTokens estimates the length of an answer.
func outputTokens(asked call.Request) int {
	if asked.OutputEstimate > 0 {
		return min(asked.OutputEstimate, max(asked.OutputTokens, 1))
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
		if work, found := lead.Work[number]; found {
			work.IsDecoding = true
			lead.Work[number] = work
		}
		lead.RecordSuccess()
		b.Pool.MarkReachable(lead.Domain)
	}
	changed(b, request)
}

// endReading frees the helpers that only read; those that keep memory go on until
// the end of the answer.
func endReading(b *board.Board, request *board.Request) {
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

func endHelp(b *board.Board, request *board.Request) {
	for _, name := range request.Helpers {
		if helper := b.Pool.Find(name); helper != nil {
			delete(helper.Work, request.Request.Number)
		}
	}
	request.Helpers = nil
}

// release takes the request's work off its endpoints.
func release(b *board.Board, request *board.Request) {
	endHelp(b, request)
	if lead := b.Pool.Find(request.Endpoint); lead != nil {
		delete(lead.Work, request.Request.Number)
	}
	request.Endpoint = ""
	request.Begun = false
	changed(b, request)
}

// changed notes that other entries should hear of the request.
func changed(b *board.Board, request *board.Request) {
	if b.Plan.Services[request.Service].Engine != nil {
		b.WorkChanged = true
	}
}
