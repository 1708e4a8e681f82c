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

// forwardHome forwards a call to an entry of its home failure domain. All
// entries prefer the same one.
func forwardHome(b *board.Board, call *board.Call) {
	forwardTo(b, call, roster.LiveIn(b, call.Home), action.ReasonHomeUnreachable)
}

// forwardMember forwards a call to an entry of the own failure domain that has a
// view of witnesses, when this entry has none.
func forwardMember(b *board.Board, call *board.Call) {
	var members []*board.Peer
	for _, peer := range roster.LiveIn(b, b.Domain) {
		if peer.Member.View > 0 {
			members = append(members, peer)
		}
	}
	forwardTo(b, call, members, action.ReasonClaimRefused)
}

func forwardTo(b *board.Board, call *board.Call, peers []*board.Peer, reason action.Reason) {
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
	wait(b, call, reason, PollSpan)
}

func wasForwarded(call *board.Call, to ident.Incarnation) bool {
	return slices.Contains(call.PassForwards, to)
}

func forward(b *board.Board, call *board.Call, to ident.Incarnation) {
	call.Target = to
	call.PassForwards = append(call.PassForwards, to)
	call.Forwards = append(call.Forwards, to)
	asked := call.Input
	b.Emit(action.SendMessage{Address: b.Peers[to.Entry].Member.Address, Message: msgs.Forward{
		Request: asked.Request, Organisation: asked.Organisation, Service: asked.Service, Key: asked.Key,
		Content: asked.Content, Deadline: call.DeadlineAt - b.Now, Hops: call.Hops + 1,
	}})
}

// admitForward takes a call that another entry forwarded. A call that is here
// already is not taken twice.
func admitForward(b *board.Board, from msgs.Member, message msgs.Forward) {
	name := ident.Request(forwardPrefix + from.Incarnation.String() + nameDivider + string(message.Request))
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

// forwarded takes the result of a call from the entry that it was forwarded to.
func forwarded(b *board.Board, from msgs.Member, message msgs.Forwarded) {
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
	if isPassing(result) && b.Now < call.DeadlineAt {
		call.Reason = action.Reason(result.Reason)
		call.RetryAt = b.Now
		return
	}
	// Another entry that the call was forwarded to may still run it.
	if result.Outcome == msgs.OutcomeNotRun && len(call.Forwards) > 1 {
		result.Outcome = msgs.OutcomeUnknown
	}
	finish(b, call, result)
}

// isPassing reports whether another entry may do better: the target sent nothing
// and was stopping, or had no quorum.
func isPassing(result msgs.Result) bool {
	reason := action.Reason(result.Reason)
	return result.NotSent && (reason == action.ReasonStopping || reason == action.ReasonClaimRefused)
}

// forwardLost tries another entry after a message was not delivered. It may have
// been all the same; the claim keeps the call from running twice.
func forwardLost(b *board.Board, message msgs.Forward) {
	call := b.Calls[message.Request]
	if call == nil || call.Target.IsZero() || call.CallerAnswered {
		return
	}
	call.Target = ident.Incarnation{}
	call.RetryAt = b.Now
}

// checkTarget tries another entry when the one that has the call is gone.
func checkTarget(b *board.Board, call *board.Call) {
	if _, reachable := roster.Find(b, call.Target); !reachable {
		call.Target = ident.Incarnation{}
		call.RetryAt = b.Now
	}
}
