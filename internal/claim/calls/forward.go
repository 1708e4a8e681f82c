package calls

import (
	"slices"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/roster"
)

const (
	forwardPrefix = "forward:"
)

// forwardHome forwards a call to an entry of its home failure domain. All entries prefer
// the same one for a given key.
func forwardHome(b *board.Board, call *board.Call) {
	forwardToAny(b, call, roster.LiveIn(b, call.Home), action.ReasonHomeUnreachable)
}

// forwardToMember forwards a call to an entry of the same failure domain that has a view
// of witnesses, because this entry may not vote itself.
func forwardToMember(b *board.Board, call *board.Call) {
	var members []*board.Peer
	for _, peer := range roster.LiveIn(b, b.Domain) {
		if peer.Member.View > 0 {
			members = append(members, peer)
		}
	}
	forwardToAny(b, call, members, action.ReasonClaimRefused)
}

// forwardToAny forwards a call to the first of the peers that it was not yet forwarded to
// in this pass. Without such a peer the call waits, for the reason, and starts a new pass.
func forwardToAny(b *board.Board, call *board.Call, peers []*board.Peer, reason action.Reason) {
	var names []ident.Entry
	for _, peer := range peers {
		names = append(names, peer.Member.Incarnation.Entry)
	}
	if call.Hops < MaxHops {
		for _, name := range ident.Rank(call.Scope, names) {
			incarnation := b.Peers[name].Member.Incarnation
			if !wasForwarded(call, incarnation) {
				forward(b, call, incarnation)
				return
			}
		}
	}
	call.PassForwards = nil
	scheduleRetry(b, call, reason, PollInterval)
}

func wasForwarded(call *board.Call, to ident.Incarnation) bool {
	return slices.Contains(call.PassForwards, to)
}

func forward(b *board.Board, call *board.Call, to ident.Incarnation) {
	call.Target = to
	call.PassForwards = append(call.PassForwards, to)
	call.Forwards = append(call.Forwards, to)
	request := call.Input
	b.Emit(action.SendMessage{Address: b.Peers[to.Entry].Member.Address, Message: msgs.Forward{
		Request: request.Request, Organisation: request.Organisation, Service: request.Service, Key: request.Key,
		Content: request.Content, Deadline: call.DeadlineAt - b.Now, Hops: call.Hops + 1,
	}})
}

// admitForward admits a call that another entry forwarded. It ignores a duplicate of a
// call that is still in flight here.
func admitForward(b *board.Board, from msgs.Member, message msgs.Forward) {
	name := ident.Request(forwardPrefix + from.Incarnation.String() + nameSeparator + string(message.Request))
	if b.Calls[name] != nil {
		return
	}
	admit(b, &board.Call{
		Input: event.CallAsked{
			Request: name, Organisation: message.Organisation, Service: message.Service, Key: message.Key,
			Content: message.Content, Deadline: message.Deadline,
		},
		ForwardedBy: from.Address, OriginRequest: message.Request, Hops: message.Hops,
	})
}

// handleForwardResult processes the result of a call that was forwarded to another
// entry.
func handleForwardResult(b *board.Board, from msgs.Member, message msgs.Forwarded) {
	call := b.Calls[message.Request]
	if call == nil || call.CallerAnswered || call.Sent {
		return
	}
	result := message.Result
	if result.Outcome == msgs.OutcomeDone {
		finish(b, call, result)
		return
	}
	if from.Incarnation != call.Target {
		return
	}
	call.Target = ident.Incarnation{}
	if isRetryable(result) && b.Now < call.DeadlineAt {
		call.Reason = action.Reason(result.Reason)
		call.RetryAt = b.Now
		return
	}
	// Another entry to which the call was forwarded may still run it.
	if result.Outcome == msgs.OutcomeNotRun && len(call.Forwards) > 1 {
		result.Outcome = msgs.OutcomeUnknown
	}
	finish(b, call, result)
}

// isRetryable reports whether another entry may succeed: the target did not send the
// call, because it was stopping or had no quorum.
func isRetryable(result msgs.Result) bool {
	reason := action.Reason(result.Reason)
	return result.NotSent && (reason == action.ReasonStopping || reason == action.ReasonClaimRefused)
}

// handleLostForward makes the call try another entry after the delivery of a forward
// failed. If the message arrived nevertheless, the claim prevents a second execution.
func handleLostForward(b *board.Board, message msgs.Forward) {
	call := b.Calls[message.Request]
	if call == nil || call.Target.IsZero() || call.CallerAnswered {
		return
	}
	call.Target = ident.Incarnation{}
	call.RetryAt = b.Now
}

// checkTarget makes the call try another entry if the one that it was forwarded to is no
// longer reachable.
func checkTarget(b *board.Board, call *board.Call) {
	if _, reachable := roster.Find(b, call.Target); !reachable {
		call.Target = ident.Incarnation{}
		call.RetryAt = b.Now
	}
}
