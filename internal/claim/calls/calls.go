// Package calls holds the controller of service calls: which endpoint a call
// goes to, whether it may be sent again, and what its caller is told.
//
// A call that may be repeated, or that has no idempotency key, is sent by the
// entry that its caller asked. A call that may not be repeated and has a key is
// claimed first, by an entry of the key's home failure domain.
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
	// LateSpan is how long after its deadline a call that was sent may still
	// bring an answer, for the witnesses to learn.
	LateSpan = 10 * clock.Second

	maxAttempts  = 4
	nameBase     = 10
	nameDivider  = "/"
	fieldDivider = "\x00"
)

type (
	controller struct{}
)

// NewController returns the controller of service calls.
func NewController() loop.Controller { return controller{} }

// Step handles one event.
func (controller) Step(b *board.Board, happened event.Event) {
	switch happened := happened.(type) {
	case event.CallAsked:
		admit(b, &board.Call{Input: happened})
	case event.CallAnswered:
		answered(b, happened)
	case event.CallFailed:
		failed(b, happened)
	case event.MessageCame:
		take(b, happened)
	case event.MessageLost:
		if forward, is := happened.Message.(msgs.Forward); is {
			forwardLost(b, forward)
		}
	case event.Ticked:
		tick(b)
	}
}

func take(b *board.Board, came event.MessageCame) {
	switch message := came.Message.(type) {
	case msgs.Forward:
		admitForward(b, came.From, message)
	case msgs.Forwarded:
		forwarded(b, came.From, message)
	case msgs.VoteGive:
		vote(b, came.From.Incarnation, message)
	}
}

func admit(b *board.Board, call *board.Call) {
	call.DeadlineAt = b.Now + call.Input.Deadline
	service, found := b.State.Service(call.Input.Service)
	isClaimed := call.Input.Key != "" && !mayRepeat(b, call)
	if isClaimed {
		prepareClaim(b, call, service.Retention)
	}
	b.Calls[call.Input.Request] = call
	switch {
	case !found:
		finish(b, call, notSent(call, action.ReasonUnknownService))
	case b.Stopping && call.ForwardedBy == "":
		finish(b, call, notSent(call, action.ReasonStopping))
	case isClaimed:
		claim(b, call)
	default:
		send(b, call)
	}
}

func prepareClaim(b *board.Board, call *board.Call, retention clock.Millis) {
	asked := call.Input
	call.Scope = keys.Scope(asked.Organisation, asked.Service, asked.Key)
	call.Fingerprint = fingerprint(asked.Content)
	call.Retention = retention
	call.Home, _ = keys.Home(call.Scope, asked.Key, b.Index.Services[asked.Service])
	if minted, is := keys.Parse(asked.Key); is {
		call.Minted = minted.At
	}
}

// fingerprint is a hash of what a call asks for.
func fingerprint(content msgs.Content) uint64 {
	digest := xxhash.New()
	for _, field := range []string{content.Method, content.Path, content.Type} {
		_, _ = digest.WriteString(field + fieldDivider)
	}
	_, _ = digest.Write(content.Body)
	return digest.Sum64()
}

// mayRepeat reports whether the call may run more than once.
func mayRepeat(b *board.Board, call *board.Call) bool {
	service, _ := b.State.Service(call.Input.Service)
	return service.MayRepeat(call.Input.Content.Method, call.Input.Content.Path)
}

func nextAttempt(b *board.Board) ident.Attempt {
	return ident.Attempt(b.Self.String() + nameDivider + strconv.FormatUint(b.NextSequence(), nameBase))
}

func byAttempt(b *board.Board, name ident.Attempt) *board.Call {
	for _, call := range b.Calls {
		if call.Attempt == name && name != "" {
			return call
		}
	}
	return nil
}

func answered(b *board.Board, answer event.CallAnswered) {
	call := byAttempt(b, answer.Attempt)
	if call == nil {
		return
	}
	retry.Earn(b)
	learn(b, call, msgs.ClaimDone, answer.Answer)
	finish(b, call, msgs.Result{Outcome: msgs.OutcomeDone, Answer: answer.Answer})
	delete(b.Calls, call.Input.Request)
}

func failed(b *board.Board, failure event.CallFailed) {
	call := byAttempt(b, failure.Attempt)
	if call == nil {
		return
	}
	call.Sent = call.Sent && !onlyTry(call, failure)
	if call.CallerAnswered {
		learn(b, call, msgs.ClaimUnknown, msgs.Answer{})
		delete(b.Calls, call.Input.Request)
		return
	}
	mayRetry := !call.Sent || mayRepeat(b, call) || checksKeys(b, call)
	if mayRetry && len(call.Tried) < maxAttempts && retry.Spend(b) {
		send(b, call)
		return
	}
	giveUp(b, call, action.ReasonEndpointFailed)
}

// onlyTry reports whether the call reached no endpoint: this try sent nothing,
// and no try before it sent anything.
func onlyTry(call *board.Call, failure event.CallFailed) bool {
	return failure.NotSent && !call.SentBefore
}

func checksKeys(b *board.Board, call *board.Call) bool {
	endpoint, found := b.State.Endpoint(call.Endpoint)
	return found && endpoint.ChecksKeys && call.Input.Key != ""
}

// giveUp ends a call that no endpoint answered.
func giveUp(b *board.Board, call *board.Call, reason action.Reason) {
	if call.Sent {
		learn(b, call, msgs.ClaimUnknown, msgs.Answer{})
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(reason)})
		delete(b.Calls, call.Input.Request)
		return
	}
	isFree := call.Scope == "" || (call.Round != nil && call.Round.IsProvenFree())
	release(b, call)
	if isFree {
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeNotRun, Reason: string(reason), NotSent: true})
		return
	}
	finish(b, call, notSent(call, reason))
}

// notSent is the result of a call that sent nothing. A call with a key may have
// run by an earlier attempt that this entry knows nothing of, so it says that
// nothing ran only for calls without one.
func notSent(call *board.Call, reason action.Reason) msgs.Result {
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
			if b.Now >= call.DeadlineAt+LateSpan {
				learn(b, call, msgs.ClaimUnknown, msgs.Answer{})
				delete(b.Calls, request)
			}
		case b.Now >= call.DeadlineAt:
			expire(b, call)
		case call.Sent || call.Scope == "":
		default:
			goOn(b, call)
		}
	}
}

// expire answers a call whose time is over. A call that was sent is kept, so
// that its late answer can still be learned.
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
		giveUp(b, call, reason)
	}
}

// finish tells the result to the caller, or to the entry that forwarded the call.
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
