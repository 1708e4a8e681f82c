package shell

import (
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

const (
	actionBufferSize = 64
)

// SubmitCompletion passes a prompt to the core and returns a channel with the actions
// for it. The last action is a FinishCompletion; the caller must then call
// RemoveCompletion.
func (s *Shell) SubmitCompletion(in event.CompletionAsked) <-chan action.Action {
	ch := make(chan action.Action, actionBufferSize)
	s.pendingMutex.Lock()
	s.pendingPrompts[in.Request] = ch
	s.pendingMutex.Unlock()
	s.metrics.Prompts.Inc(1)
	s.Step(in)
	return ch
}

// RemoveCompletion removes the action channel of a prompt whose last action has been
// handled.
func (s *Shell) RemoveCompletion(request ident.Request) {
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	delete(s.pendingPrompts, request)
}

// SubmitCall passes a service call to the core and waits for its result. The core
// answers every call by its deadline. If the shell stops first, the outcome is unknown.
func (s *Shell) SubmitCall(in event.CallAsked) msgs.Result {
	ch := make(chan msgs.Result, 1)
	s.pendingMutex.Lock()
	s.pendingCalls[in.Request] = ch
	s.pendingMutex.Unlock()
	s.metrics.Calls.Inc(1)
	s.Step(in)
	select {
	case result := <-ch:
		return result
	case <-s.lifetime.Done():
		return msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(action.ReasonStopping)}
	}
}

// deliverAction passes an action to the goroutine that serves the prompt. The channel
// buffer is larger than the number of attempts that a prompt may have. If it is full all
// the same, the action is dropped and a warning is logged.
func (s *Shell) deliverAction(request ident.Request, act action.Action) {
	s.pendingMutex.Lock()
	ch := s.pendingPrompts[request]
	s.pendingMutex.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- act:
	default:
		s.logger.Part("shell").Warn("Action of prompt dropped, its channel is full.", "request", request)
	}
}

func (s *Shell) finishCall(act action.FinishCall) {
	s.pendingMutex.Lock()
	ch := s.pendingCalls[act.Request]
	delete(s.pendingCalls, act.Request)
	s.pendingMutex.Unlock()
	if act.Result.Outcome == msgs.OutcomeUnknown {
		s.metrics.UnknownCalls.Inc(1)
	}
	if ch != nil {
		ch <- act.Result
	}
}
