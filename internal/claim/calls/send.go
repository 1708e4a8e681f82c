package calls

import (
	"slices"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/fleet"
)

// send sends the call to an endpoint that it was not sent to before.
func send(b *board.Board, call *board.Call) {
	endpoint, found := choose(b, call)
	if !found {
		giveUp(b, call, action.ReasonNoEndpoint)
		return
	}
	if call.Scope == "" {
		call.Attempt = nextAttempt(b)
	}
	call.SentBefore = call.Sent
	call.Sent = true
	call.Endpoint = endpoint.Name
	call.Tried = append(call.Tried, endpoint.Name)
	b.Emit(action.SendCall{
		Attempt: call.Attempt, Endpoint: endpoint.Name, Address: endpoint.Address, Key: call.Input.Key,
		Content: call.Input.Content, Timeout: max(call.DeadlineAt-b.Now, 0) + LateSpan,
	})
}

// choose picks an endpoint of the service, of the own failure domain if it can.
// A call that was sent may only go on to an endpoint that checks keys.
func choose(b *board.Board, call *board.Call) (fleet.Endpoint, bool) {
	var near, far []fleet.Endpoint
	for _, endpoint := range b.Index.Services[call.Input.Service] {
		isBarred := call.Sent && !mayRepeat(b, call) && !endpoint.ChecksKeys
		if isBarred || b.IsLeaving(endpoint.Name) || slices.Contains(call.Tried, endpoint.Name) {
			continue
		}
		if endpoint.Domain == b.Domain {
			near = append(near, endpoint)
			continue
		}
		far = append(far, endpoint)
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return fleet.Endpoint{}, false
	}
	return near[b.Random.IntN(len(near))], true
}
