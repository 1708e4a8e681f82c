// Package calls implements the controller for service calls. It chooses the endpoint of
// a call and decides whether the call may be sent again and which result its caller gets.
//
// A call that may be repeated, or that has no idempotency key, is sent by the entry that
// received it from the caller. A call that may not be repeated and has a key is first
// claimed, by an entry of the key's home failure domain.
package calls

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/claim/keys"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/route/retry"
)

const (
	// LateAnswerWindow is how long after its deadline the answer of a call that was
	// sent is still accepted. The witnesses record such an answer.
	LateAnswerWindow = 10 * clock.Second

	maxAttempts    = 4
	sequenceBase   = 10
	nameSeparator  = "/"
	fieldSeparator = "\x00"
)

type (
	controller struct{}
)

// NewController returns a controller for service calls.
func NewController() loop.Controller { return controller{} }

// Step handles one event.
func (controller) Step(b *board.Board, input event.Event) {
	switch input := input.(type) {
	case event.CallAsked:
		admit(b, &board.Call{Input: input})
	case event.CallAnswered:
		handleAnswer(b, input)
	case event.CallFailed:
		handleFailure(b, input)
	case event.MessageCame:
		handleMessage(b, input)
	case event.MessageLost:
		if forward, ok := input.Message.(msgs.Forward); ok {
			handleLostForward(b, forward)
		}
	case event.Ticked:
		tick(b)
	}
}

func handleMessage(b *board.Board, received event.MessageCame) {
	switch message := received.Message.(type) {
	case msgs.Forward:
		admitForward(b, received.From, message)
	case msgs.Forwarded:
		handleForwardResult(b, received.From, message)
	case msgs.VoteGive:
		handleVote(b, received.From.Incarnation, message)
	}
}

func admit(b *board.Board, call *board.Call) {
	call.DeadlineAt = b.Now + call.Input.Deadline
	service, declared := b.State.Service(call.Input.Service)
	isClaimed := call.Input.Key != "" && !isRepeatable(b, call)
	if isClaimed {
		prepareClaim(b, call, service.Retention)
	}
	b.Calls[call.Input.Request] = call
	switch {
	case !declared:
		finish(b, call, notSentResult(call, action.ReasonUnknownService))
	case b.Exited || b.IsStopOverdue() || b.Stopping && call.ForwardedBy == "":
		finish(b, call, notSentResult(call, action.ReasonStopping))
	case isClaimed:
		claim(b, call)
	default:
		sendToEndpoint(b, call)
	}
}

func prepareClaim(b *board.Board, call *board.Call, retention clock.Millis) {
	request := call.Input
	call.Scope = keys.Scope(request.Organisation, request.Service, request.Key)
	call.Fingerprint = fingerprint(request.Content)
	call.Retention = retention
	call.Home, _ = keys.Home(call.Scope, request.Key, b.Index.Services[request.Service])
	if minted, ok := keys.Parse(request.Key); ok {
		call.Minted = minted.At
	}
}

// fingerprint returns a hash of the method, path, content type and body of a call.
func fingerprint(content msgs.Content) uint64 {
	digest := xxhash.New()
	for _, field := range []string{content.Method, content.Path, content.Type} {
		_, _ = digest.WriteString(field + fieldSeparator)
	}
	_, _ = digest.Write(content.Body)
	return digest.Sum64()
}

// isRepeatable reports whether the service declares that the call may run more than
// once.
func isRepeatable(b *board.Board, call *board.Call) bool {
	service, _ := b.State.Service(call.Input.Service)
	return service.MayRepeat(call.Input.Content.Method, call.Input.Content.Path)
}

func nextAttempt(b *board.Board) ident.Attempt {
	return ident.Attempt(b.Self.String() + nameSeparator + strconv.FormatUint(b.NextSequence(), sequenceBase))
}

func findByAttempt(b *board.Board, name ident.Attempt) *board.Call {
	for _, call := range b.Calls {
		if call.Attempt == name && name != "" {
			return call
		}
	}
	return nil
}

func handleAnswer(b *board.Board, answer event.CallAnswered) {
	call := findByAttempt(b, answer.Attempt)
	if call == nil {
		return
	}
	retry.Earn(b)
	reportOutcome(b, call, msgs.ClaimDone, answer.Answer)
	finish(b, call, msgs.Result{Outcome: msgs.OutcomeDone, Answer: answer.Answer})
	delete(b.Calls, call.Input.Request)
}

func handleFailure(b *board.Board, failure event.CallFailed) {
	call := findByAttempt(b, failure.Attempt)
	if call == nil {
		return
	}
	call.Sent = call.Sent && !isUnsent(call, failure)
	if call.CallerAnswered {
		reportOutcome(b, call, msgs.ClaimUnknown, msgs.Answer{})
		delete(b.Calls, call.Input.Request)
		return
	}
	mayRetry := !call.Sent || isRepeatable(b, call) || checksKeys(b, call)
	if mayRetry && len(call.Tried) < maxAttempts && retry.Spend(b) {
		sendToEndpoint(b, call)
		return
	}
	abandon(b, call, action.ReasonEndpointFailed)
}

// isUnsent reports whether no endpoint can have received the call: neither the failed
// attempt nor any attempt before it sent anything.
func isUnsent(call *board.Call, failure event.CallFailed) bool {
	return failure.NotSent && !call.SentBefore
}

func checksKeys(b *board.Board, call *board.Call) bool {
	endpoint, declared := b.State.Endpoint(call.Endpoint)
	return declared && endpoint.ChecksKeys && call.Input.Key != ""
}

// abandon finishes a call that no endpoint answered. The outcome is unknown unless it is
// certain that the call was not executed.
func abandon(b *board.Board, call *board.Call, reason action.Reason) {
	if call.Sent {
		reportOutcome(b, call, msgs.ClaimUnknown, msgs.Answer{})
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(reason)})
		delete(b.Calls, call.Input.Request)
		return
	}
	isNotRun := call.Scope == "" || (call.Round != nil && call.Round.ProvesNotRun())
	releaseVotes(b, call)
	if isNotRun {
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeNotRun, Reason: string(reason), NotSent: true})
		return
	}
	finish(b, call, notSentResult(call, reason))
}

// notSentResult returns the result of a call that was not sent. The outcome is
// OutcomeNotRun only for a call without a claim: a call with a claimed key may have been
// executed by an earlier attempt that this entry has no record of.
func notSentResult(call *board.Call, reason action.Reason) msgs.Result {
	result := msgs.Result{Outcome: msgs.OutcomeNotRun, Reason: string(reason), NotSent: true}
	if call.Scope != "" {
		result.Outcome = msgs.OutcomeUnknown
	}
	return result
}

func tick(b *board.Board) {
	for _, request := range board.Sorted(b.Calls) {
		call := b.Calls[request]
		switch {
		case call.CallerAnswered:
			if b.Now >= call.DeadlineAt+LateAnswerWindow || b.IsStopOverdue() {
				reportOutcome(b, call, msgs.ClaimUnknown, msgs.Answer{})
				delete(b.Calls, request)
			}
		case b.Now >= call.DeadlineAt:
			expire(b, call)
		case b.IsStopOverdue():
			interrupt(b, call)
		case call.Sent || call.Scope == "":
		default:
			advance(b, call)
		}
	}
}

// expire finishes a call whose deadline has passed. A call that was sent stays in
// b.Calls, so that a late answer still reaches the witnesses.
func expire(b *board.Board, call *board.Call) {
	switch {
	case call.Sent:
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(action.ReasonDeadline)})
		call.CallerAnswered = true
		b.Calls[call.Input.Request] = call
	case len(call.Forwards) > 0:
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(action.ReasonDeadline)})
	default:
		reason := call.Reason
		if reason == action.ReasonNone {
			reason = action.ReasonDeadline
		}
		abandon(b, call, reason)
	}
}

// interrupt finishes a call that the stop of the entry does not wait for. An answer that
// comes later reaches nobody.
func interrupt(b *board.Board, call *board.Call) {
	switch {
	case call.Sent:
		abandon(b, call, action.ReasonAnswerLost)
	case len(call.Forwards) > 0:
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(action.ReasonAnswerLost)})
	default:
		abandon(b, call, action.ReasonStopping)
	}
}

// finish removes the call and sends the result to the caller or to the entry that
// forwarded the call, unless the caller already has a result.
func finish(b *board.Board, call *board.Call, result msgs.Result) {
	delete(b.Calls, call.Input.Request)
	if call.CallerAnswered {
		return
	}
	if call.ForwardedBy != "" {
		b.Emit(action.SendMessage{
			Address: call.ForwardedBy, Message: msgs.Forwarded{Request: call.OriginRequest, Result: result},
		})
		return
	}
	b.Emit(action.FinishCall{Request: call.Input.Request, Result: result})
}
