// Package prompt holds the controller of prompts: it admits them, places their
// attempts on engines, resumes broken ones elsewhere and ends each by its deadline.
package prompt

import (
	"slices"
	"strconv"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/route/crash"
	"mustardhook/internal/route/loads"
	"mustardhook/internal/route/retry"
	"mustardhook/internal/route/score"
)

const (
	// ShortTokens is the longest prompt that runs at the first priority.
	ShortTokens = 4096
	// LongTokens is the shortest prompt that runs at the last priority.
	LongTokens = 65536
	// LeaseMargin is how much longer than a request an engine may hold its memory.
	LeaseMargin = 5 * clock.Second
	// CancelSpan is the time between two tries of a cancel.
	CancelSpan = 500 * clock.Millis(1)
	// CancelTries bounds the tries of a cancel; the sweep frees what is left.
	CancelTries = 10
	// HoldSpan is how long a prompt waits before it is placed again.
	HoldSpan = 100 * clock.Millis(1)

	samples        = 4
	maxAttempts    = 8
	retryAfterSpan = 1 * clock.Second
	priorityShort  = 0
	priorityMiddle = 1
	priorityLong   = 2
	backoffAfter   = 1 * clock.Second
	nameDivider    = "/"
	nameBase       = 10
)

type (
	controller struct{}

	choice struct {
		engine   fleet.Endpoint
		estimate score.Estimate
	}
)

// NewController returns the controller of prompts.
func NewController() loop.Controller { return controller{} }

// Step handles one event.
func (controller) Step(b *board.Board, happened event.Event) {
	switch happened := happened.(type) {
	case event.Started:
		retry.Start(b)
	case event.CompletionAsked:
		admit(b, happened)
	case event.TokenCame:
		firstToken(b, happened.Attempt)
	case event.AttemptEnded:
		attemptEnded(b, happened)
	case event.CallerGone:
		if completion := b.Completions[happened.Request]; completion != nil {
			finish(b, completion, action.ReasonCallerGone)
		}
	case event.ReportRead:
		confirmCancels(b, happened)
	case event.Ticked:
		expire(b)
		repeatCancels(b)
	}
}

func admit(b *board.Board, asked event.CompletionAsked) {
	asked = resolve(b, asked)
	reason := refusal(b, asked)
	if reason != action.ReasonNone {
		b.Emit(action.FinishCompletion{Request: asked.Request, Reason: reason, RetryAfter: hint(reason)})
		return
	}
	completion := &board.Completion{Asked: asked, DeadlineAt: b.Now + asked.Deadline}
	b.Completions[asked.Request] = completion
	place(b, completion)
}

// resolve lets a caller name an adapter alone, in the place of its model.
func resolve(b *board.Board, asked event.CompletionAsked) event.CompletionAsked {
	if _, found := b.State.Model(asked.Model); found || asked.Adapter != "" {
		return asked
	}
	if model, found := b.Index.Adapters[ident.Adapter(asked.Model)]; found {
		asked.Adapter = ident.Adapter(asked.Model)
		asked.Model = model
	}
	return asked
}

func hint(reason action.Reason) clock.Millis {
	if reason == action.ReasonOverloaded || reason == action.ReasonNoEndpoint || reason == action.ReasonStopping {
		return retryAfterSpan
	}
	return 0
}

func refusal(b *board.Board, asked event.CompletionAsked) action.Reason {
	model, found := b.State.Model(asked.Model)
	switch {
	case b.Stopping:
		return action.ReasonStopping
	case !found:
		return action.ReasonUnknownModel
	case !model.HasAdapter(asked.Adapter):
		return action.ReasonUnknownAdapter
	case len(b.Completions) >= b.Settings.MaximalInFlight:
		return action.ReasonOverloaded
	case crash.IsConvicted(b, asked.Fingerprint):
		return action.ReasonQuarantined
	}
	return feasibility(b, asked)
}

// feasibility refuses at once what no engine can hold or finish in time.
func feasibility(b *board.Board, asked event.CompletionAsked) action.Reason {
	best := action.ReasonNoEndpoint
	for _, engine := range b.Index.Runners[asked.Model] {
		if !isUsable(b, engine) {
			continue
		}
		estimate := score.Predict(b, asked, engine)
		switch {
		case !estimate.Fits && best == action.ReasonNoEndpoint:
			best = action.ReasonPromptTooLong
		case estimate.Fits && estimate.FirstToken > asked.Deadline:
			best = action.ReasonOverloaded
		case estimate.Fits:
			return action.ReasonNone
		}
	}
	return best
}

func isUsable(b *board.Board, engine fleet.Endpoint) bool {
	load := b.Endpoints[engine.Name]
	return !b.IsLeaving(engine.Name) && !loads.IsDown(load)
}

// place starts the next attempt, or holds the prompt until an engine is free.
func place(b *board.Board, completion *board.Completion) {
	chosen, found := choose(b, completion)
	if !found || b.IsCatchingUp() {
		completion.RetryAt = b.Now + HoldSpan
		return
	}
	asked := completion.Asked
	name := ident.Attempt(b.Self.String() + nameDivider + strconv.FormatUint(b.NextSequence(), nameBase))
	load := b.EndpointStatus(chosen.engine.Name)
	load.Sent[name] = chosen.estimate.Uncached
	completion.Current = name
	completion.Tried = append(completion.Tried, chosen.engine.Name)
	b.Attempts[name] = &board.Attempt{
		Request:   asked.Request,
		Endpoint:  chosen.engine.Name,
		Address:   chosen.engine.Address,
		Boot:      load.Report.Boot,
		StartedAt: b.Now,
		Work:      chosen.estimate.Uncached,
	}
	b.Emit(action.StartAttempt{
		Request:     asked.Request,
		Attempt:     name,
		Endpoint:    chosen.engine.Name,
		Address:     chosen.engine.Address,
		Owner:       b.Self,
		Model:       asked.Model,
		Adapter:     asked.Adapter,
		ResumeAfter: completion.Tokens,
		Priority:    priorityOf(asked.PromptTokens),
		Lease:       completion.DeadlineAt - b.Now + LeaseMargin,
	})
}

func priorityOf(tokens int) int {
	switch {
	case tokens <= ShortTokens:
		return priorityShort
	case tokens < LongTokens:
		return priorityMiddle
	}
	return priorityLong
}

// choose takes the cheapest of a few sampled engines, so that entries that
// decide apart on the same old reports do not all pick one engine. Engines that
// are known to cache the prompt's prefix are always among the candidates.
func choose(b *board.Board, completion *board.Completion) (choice, bool) {
	asked := completion.Asked
	var usable []fleet.Endpoint
	for _, engine := range b.Index.Runners[asked.Model] {
		isFresh := !slices.Contains(completion.Tried, engine.Name)
		if isFresh && isUsable(b, engine) && crash.MayPlace(b, asked.Fingerprint, engine) {
			usable = append(usable, engine)
		}
	}
	var best choice
	found := false
	for _, engine := range sample(b, asked, usable) {
		estimate := score.Predict(b, asked, engine)
		if estimate.Fits && (!found || estimate.Cost < best.estimate.Cost) {
			best = choice{engine, estimate}
			found = true
		}
	}
	return best, found
}

func sample(b *board.Board, asked event.CompletionAsked, usable []fleet.Endpoint) []fleet.Endpoint {
	if len(usable) <= samples {
		return usable
	}
	picked := make([]fleet.Endpoint, 0, samples+1)
	for range samples {
		picked = append(picked, usable[b.Random.IntN(len(usable))])
	}
	for _, engine := range usable {
		if load := b.Endpoints[engine.Name]; load != nil && knowsPrefix(load, asked) {
			picked = append(picked, engine)
			break
		}
	}
	return picked
}

func knowsPrefix(load *board.Load, asked event.CompletionAsked) bool {
	for i := len(asked.Prefixes) - 1; i >= 0; i-- {
		if _, known := load.Prefixes[asked.Prefixes[i]]; known {
			return true
		}
	}
	return false
}

func firstToken(b *board.Board, name ident.Attempt) {
	attempt := b.Attempts[name]
	if attempt == nil {
		return
	}
	delete(b.EndpointStatus(attempt.Endpoint).Sent, name)
	if completion := b.Completions[attempt.Request]; completion != nil {
		completion.FirstToken = true
	}
}

func attemptEnded(b *board.Board, ended event.AttemptEnded) {
	attempt := b.Attempts[ended.Attempt]
	if attempt == nil {
		return
	}
	release(b, ended.Attempt)
	completion := b.Completions[attempt.Request]
	if completion == nil || completion.Current != ended.Attempt {
		return
	}
	completion.Current = ""
	completion.Tokens = max(completion.Tokens, ended.Tokens)
	if ended.Verdict == event.VerdictComplete {
		retry.Earn(b)
		finish(b, completion, action.ReasonNone)
		return
	}
	if ended.Verdict != event.VerdictRefused {
		cancel(b, ended.Attempt, attempt)
	}
	again(b, completion)
}

// again places a failed prompt elsewhere, within the budget of retries.
func again(b *board.Board, completion *board.Completion) {
	switch {
	case crash.IsConvicted(b, completion.Asked.Fingerprint):
		finish(b, completion, action.ReasonQuarantined)
	case len(completion.Tried) >= maxAttempts || !retry.Spend(b):
		finish(b, completion, action.ReasonEndpointFailed)
	default:
		place(b, completion)
	}
}

func release(b *board.Board, name ident.Attempt) {
	attempt := b.Attempts[name]
	delete(b.EndpointStatus(attempt.Endpoint).Sent, name)
	delete(b.Attempts, name)
}

func finish(b *board.Board, completion *board.Completion, reason action.Reason) {
	if completion.Current != "" {
		attempt := b.Attempts[completion.Current]
		release(b, completion.Current)
		cancel(b, completion.Current, attempt)
	}
	delete(b.Completions, completion.Asked.Request)
	b.Emit(action.FinishCompletion{Request: completion.Asked.Request, Reason: reason, RetryAfter: hint(reason)})
}

func cancel(b *board.Board, name ident.Attempt, attempt *board.Attempt) {
	wanted := action.CancelAttempt{Attempt: name, Endpoint: attempt.Endpoint, Address: attempt.Address}
	b.Cancellations[name] = &board.Cancel{Action: wanted, NextAt: b.Now + CancelSpan, Tries: 1}
	b.Emit(wanted)
}

// confirmCancels drops cancels that a report younger than the cancel confirms.
func confirmCancels(b *board.Board, read event.ReportRead) {
	held := make(map[ident.Attempt]bool, len(read.Report.Allocations))
	for _, allocation := range read.Report.Allocations {
		held[ident.Attempt(allocation.Name)] = true
	}
	for _, name := range board.Sorted(b.Cancellations) {
		pending := b.Cancellations[name]
		takenAt := b.Now - read.Report.Age
		isYounger := takenAt > pending.NextAt-CancelSpan
		if pending.Action.Endpoint == read.Endpoint && isYounger && !held[name] {
			delete(b.Cancellations, name)
		}
	}
}

func repeatCancels(b *board.Board) {
	for _, name := range board.Sorted(b.Cancellations) {
		pending := b.Cancellations[name]
		if b.Now < pending.NextAt {
			continue
		}
		if pending.Tries >= CancelTries {
			delete(b.Cancellations, name)
			continue
		}
		pending.Tries++
		pending.NextAt = b.Now + CancelSpan
		b.Emit(pending.Action)
	}
}

func expire(b *board.Board) {
	for _, name := range board.Sorted(b.Completions) {
		completion := b.Completions[name]
		if b.Now >= completion.DeadlineAt {
			finish(b, completion, action.ReasonDeadline)
			continue
		}
		if completion.Current == "" && b.Now >= completion.RetryAt {
			hold(b, completion)
		}
	}
}

// hold tries a waiting prompt again; with every engine tried it starts over
// after a pause, as long as the budget lasts.
func hold(b *board.Board, completion *board.Completion) {
	if crash.IsConvicted(b, completion.Asked.Fingerprint) {
		finish(b, completion, action.ReasonQuarantined)
		return
	}
	// The engines' memory may not have been known when the prompt came.
	if feasibility(b, completion.Asked) == action.ReasonPromptTooLong {
		finish(b, completion, action.ReasonPromptTooLong)
		return
	}
	place(b, completion)
	if completion.Current == "" && len(completion.Tried) > 0 && !crash.IsSuspect(b, completion.Asked.Fingerprint) {
		completion.Tried = nil
		completion.RetryAt = b.Now + backoffAfter
	}
}
