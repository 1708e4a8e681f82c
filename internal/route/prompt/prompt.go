// Package prompt implements the controller for prompts. It admits them, places their
// attempts at engines, resumes interrupted attempts at other engines and enforces the
// deadlines.
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
	// ShortPromptTokens is the length of the longest prompt that gets the highest
	// priority.
	ShortPromptTokens = 4096
	// LongPromptTokens is the length of the shortest prompt that gets the lowest
	// priority.
	LongPromptTokens = 65536
	// LeaseMargin is the time for which an engine may hold memory beyond the deadline
	// of the request.
	LeaseMargin = 5 * clock.Second
	// CancelInterval is the time between two attempts to deliver a cancellation.
	CancelInterval = 500 * clock.Millis(1)
	// MaxCancelTries limits the attempts to deliver a cancellation. After that, package
	// sweep frees the memory.
	MaxCancelTries = 10
	// PlaceInterval is the time between two attempts to place a waiting prompt.
	PlaceInterval = 100 * clock.Millis(1)

	sampleSize       = 4
	maxAttempts      = 8
	retryAfterHint   = 1 * clock.Second
	priorityShort    = 0
	priorityMiddle   = 1
	priorityLong     = 2
	exhaustedBackoff = 1 * clock.Second
	attemptSeparator = "/"
	sequenceBase     = 10
)

type (
	controller struct{}

	candidate struct {
		engine   fleet.Endpoint
		estimate score.Estimate
	}
)

// NewController returns a controller for prompts.
func NewController() loop.Controller { return controller{} }

// Step handles one event.
func (controller) Step(b *board.Board, input event.Event) {
	switch input := input.(type) {
	case event.Started:
		retry.Init(b)
	case event.CompletionAsked:
		admit(b, input)
	case event.TokenCame:
		handleFirstToken(b, input.Attempt)
	case event.AttemptEnded:
		handleAttemptEnded(b, input)
	case event.CallerGone:
		if completion := b.Completions[input.Request]; completion != nil {
			finish(b, completion, action.ReasonCallerGone)
		}
	case event.ReportRead:
		confirmCancels(b, input)
	case event.Ticked:
		expire(b)
		repeatCancels(b)
	}
}

func admit(b *board.Board, input event.CompletionAsked) {
	input = resolveAdapter(b, input)
	reason := rejectReason(b, input)
	if reason != action.ReasonNone {
		b.Emit(action.FinishCompletion{Request: input.Request, Reason: reason, RetryAfter: retryAfter(reason)})
		return
	}
	completion := &board.Completion{Input: input, DeadlineAt: b.Now + input.Deadline}
	b.Completions[input.Request] = completion
	place(b, completion)
}

// resolveAdapter allows a caller to give the name of an adapter in place of the model.
func resolveAdapter(b *board.Board, input event.CompletionAsked) event.CompletionAsked {
	if _, ok := b.State.Model(input.Model); ok || input.Adapter != "" {
		return input
	}
	if model, ok := b.Index.AdapterModels[ident.Adapter(input.Model)]; ok {
		input.Adapter = ident.Adapter(input.Model)
		input.Model = model
	}
	return input
}

func retryAfter(reason action.Reason) clock.Millis {
	if reason == action.ReasonOverloaded || reason == action.ReasonNoEndpoint || reason == action.ReasonStopping {
		return retryAfterHint
	}
	return 0
}

func rejectReason(b *board.Board, input event.CompletionAsked) action.Reason {
	undeclared := undeclaredReason(b, input)
	switch {
	case b.Stopping:
		return action.ReasonStopping
	case undeclared != action.ReasonNone:
		return undeclared
	case len(b.Completions) >= b.Settings.MaximalInFlight:
		return action.ReasonOverloaded
	case crash.IsQuarantined(b, input.Fingerprint):
		return action.ReasonQuarantined
	}
	return checkFeasibility(b, input)
}

// undeclaredReason returns the reason to reject a prompt for a model or an adapter that is
// not declared, or ReasonNone.
func undeclaredReason(b *board.Board, input event.CompletionAsked) action.Reason {
	model, ok := b.State.Model(input.Model)
	switch {
	case !ok:
		return action.ReasonUnknownModel
	case !model.HasAdapter(input.Adapter):
		return action.ReasonUnknownAdapter
	}
	return action.ReasonNone
}

// checkFeasibility returns the reason to reject a prompt that no engine can hold or
// start in time, or ReasonNone if an engine can.
func checkFeasibility(b *board.Board, input event.CompletionAsked) action.Reason {
	best := action.ReasonNoEndpoint
	for _, engine := range b.Index.ModelEngines[input.Model] {
		if !isUsable(b, engine) {
			continue
		}
		estimate := score.Predict(b, input, engine)
		switch {
		case !estimate.Fits && best == action.ReasonNoEndpoint:
			best = action.ReasonPromptTooLong
		case estimate.Fits && estimate.FirstToken > input.Deadline:
			best = action.ReasonOverloaded
		case estimate.Fits:
			return action.ReasonNone
		}
	}
	return best
}

func isUsable(b *board.Board, engine fleet.Endpoint) bool {
	status := b.Endpoints[engine.Name]
	return !b.IsLeaving(engine.Name) && !loads.IsDown(status)
}

// place starts the next attempt. If no engine is available, the prompt waits for
// PlaceInterval.
func place(b *board.Board, completion *board.Completion) {
	selected, ok := choose(b, completion)
	if !ok || b.IsCatchingUp() {
		completion.RetryAt = b.Now + PlaceInterval
		return
	}
	input := completion.Input
	name := ident.Attempt(b.Self.String() + attemptSeparator + strconv.FormatUint(b.NextSequence(), sequenceBase))
	status := b.EndpointStatus(selected.engine.Name)
	status.PendingTokens[name] = selected.estimate.Uncached
	completion.Current = name
	completion.Tried = append(completion.Tried, selected.engine.Name)
	b.Attempts[name] = &board.Attempt{
		Request:        input.Request,
		Endpoint:       selected.engine.Name,
		Address:        selected.engine.Address,
		Boot:           status.Report.Boot,
		StartedAt:      b.Now,
		UncachedTokens: selected.estimate.Uncached,
	}
	b.Emit(action.StartAttempt{
		Request:     input.Request,
		Attempt:     name,
		Endpoint:    selected.engine.Name,
		Address:     selected.engine.Address,
		Owner:       b.Self,
		Model:       input.Model,
		Adapter:     input.Adapter,
		ResumeAfter: completion.Tokens,
		Priority:    priorityOf(input.PromptTokens),
		Lease:       completion.DeadlineAt - b.Now + LeaseMargin,
	})
}

func priorityOf(tokens int) int {
	switch {
	case tokens <= ShortPromptTokens:
		return priorityShort
	case tokens < LongPromptTokens:
		return priorityMiddle
	}
	return priorityLong
}

// choose returns the engine with the lowest cost among a few random candidates.
// Sampling keeps entries that decide independently on the same outdated reports from
// all choosing the same engine. One engine that is known to cache a prefix of the
// prompt is added to the candidates.
func choose(b *board.Board, completion *board.Completion) (candidate, bool) {
	input := completion.Input
	var usable []fleet.Endpoint
	for _, engine := range b.Index.ModelEngines[input.Model] {
		isUntried := !slices.Contains(completion.Tried, engine.Name)
		if isUntried && isUsable(b, engine) && crash.MayPlace(b, input.Fingerprint, engine) {
			usable = append(usable, engine)
		}
	}
	var best candidate
	hasBest := false
	for _, engine := range sample(b, input, usable) {
		estimate := score.Predict(b, input, engine)
		if estimate.Fits && (!hasBest || estimate.Cost < best.estimate.Cost) {
			best = candidate{engine, estimate}
			hasBest = true
		}
	}
	return best, hasBest
}

func sample(b *board.Board, input event.CompletionAsked, usable []fleet.Endpoint) []fleet.Endpoint {
	if len(usable) <= sampleSize {
		return usable
	}
	candidates := make([]fleet.Endpoint, 0, sampleSize+1)
	for range sampleSize {
		candidates = append(candidates, usable[b.Random.IntN(len(usable))])
	}
	for _, engine := range usable {
		if status := b.Endpoints[engine.Name]; status != nil && hasCachedPrefix(status, input) {
			candidates = append(candidates, engine)
			break
		}
	}
	return candidates
}

func hasCachedPrefix(status *board.EndpointStatus, input event.CompletionAsked) bool {
	for i := len(input.Prefixes) - 1; i >= 0; i-- {
		if _, ok := status.Prefixes[input.Prefixes[i]]; ok {
			return true
		}
	}
	return false
}

func handleFirstToken(b *board.Board, name ident.Attempt) {
	attempt := b.Attempts[name]
	if attempt == nil {
		return
	}
	delete(b.EndpointStatus(attempt.Endpoint).PendingTokens, name)
	if completion := b.Completions[attempt.Request]; completion != nil {
		completion.FirstTokenSent = true
	}
}

func handleAttemptEnded(b *board.Board, ended event.AttemptEnded) {
	attempt := b.Attempts[ended.Attempt]
	if attempt == nil {
		return
	}
	releaseAttempt(b, ended.Attempt)
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
	retryOrFail(b, completion)
}

// retryOrFail places a failed prompt at another engine if the retry budget allows it.
func retryOrFail(b *board.Board, completion *board.Completion) {
	switch {
	case crash.IsQuarantined(b, completion.Input.Fingerprint):
		finish(b, completion, action.ReasonQuarantined)
	case len(completion.Tried) >= maxAttempts || !retry.Spend(b):
		finish(b, completion, action.ReasonEndpointFailed)
	default:
		place(b, completion)
	}
}

func releaseAttempt(b *board.Board, name ident.Attempt) {
	attempt := b.Attempts[name]
	delete(b.EndpointStatus(attempt.Endpoint).PendingTokens, name)
	delete(b.Attempts, name)
}

func finish(b *board.Board, completion *board.Completion, reason action.Reason) {
	if completion.Current != "" {
		attempt := b.Attempts[completion.Current]
		releaseAttempt(b, completion.Current)
		cancel(b, completion.Current, attempt)
	}
	delete(b.Completions, completion.Input.Request)
	b.Emit(action.FinishCompletion{Request: completion.Input.Request, Reason: reason, RetryAfter: retryAfter(reason)})
}

func cancel(b *board.Board, name ident.Attempt, attempt *board.Attempt) {
	cancellation := action.CancelAttempt{Attempt: name, Endpoint: attempt.Endpoint, Address: attempt.Address}
	b.Cancellations[name] = &board.Cancellation{
		Action: cancellation, FirstAt: b.Now, NextAt: b.Now + CancelInterval, Tries: 1,
	}
	b.Emit(cancellation)
}

// confirmCancels removes the cancellations confirmed by a report that was taken after
// the cancellation was first sent and no longer lists the attempt.
func confirmCancels(b *board.Board, read event.ReportRead) {
	listed := make(map[ident.Attempt]bool, len(read.Report.Allocations))
	for _, allocation := range read.Report.Allocations {
		listed[ident.Attempt(allocation.Name)] = true
	}
	for _, name := range board.Sorted(b.Cancellations) {
		pending := b.Cancellations[name]
		isNewer := read.TakenAt() > pending.FirstAt
		if pending.Action.Endpoint == read.Endpoint && isNewer && !listed[name] {
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
		if pending.Tries >= MaxCancelTries {
			delete(b.Cancellations, name)
			continue
		}
		pending.Tries++
		pending.NextAt = b.Now + CancelInterval
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
		if b.IsStopOverdue() {
			finish(b, completion, action.ReasonStopping)
			continue
		}
		if completion.Current == "" && b.Now >= completion.RetryAt {
			retryWaiting(b, completion)
		}
	}
}

// retryWaiting tries to place a waiting prompt. Once every engine was tried, it starts
// over with all engines after a pause, as long as the retry budget lasts.
func retryWaiting(b *board.Board, completion *board.Completion) {
	if crash.IsQuarantined(b, completion.Input.Fingerprint) {
		finish(b, completion, action.ReasonQuarantined)
		return
	}
	if reason := undeclaredReason(b, completion.Input); reason != action.ReasonNone {
		finish(b, completion, reason)
		return
	}
	// The memory sizes of the engines may have been unknown when the prompt was
	// admitted.
	if checkFeasibility(b, completion.Input) == action.ReasonPromptTooLong {
		finish(b, completion, action.ReasonPromptTooLong)
		return
	}
	place(b, completion)
	if completion.Current == "" && len(completion.Tried) > 0 && !crash.IsSuspect(b, completion.Input.Fingerprint) {
		completion.Tried = nil
		completion.RetryAt = b.Now + exhaustedBackoff
	}
}
