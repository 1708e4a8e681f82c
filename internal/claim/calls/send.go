package calls

import (
	"slices"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/fleet"
)

// sendToEndpoint sends the call to an endpoint that it was not sent to before. Without
// such an endpoint it abandons the call.
func sendToEndpoint(b *board.Board, call *board.Call) {
	endpoint, ok := chooseEndpoint(b, call)
	if !ok {
		abandon(b, call, action.ReasonNoEndpoint)
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
		Content: call.Input.Content, Timeout: max(call.DeadlineAt-b.Now, 0) + LateAnswerWindow,
	})
}

// chooseEndpoint picks a random endpoint of the service, from this entry's failure domain
// if there is one. A call that was sent and may not be repeated may only be sent again to
// an endpoint that checks keys.
func chooseEndpoint(b *board.Board, call *board.Call) (fleet.Endpoint, bool) {
	var candidates, remote []fleet.Endpoint
	for _, endpoint := range b.Index.Services[call.Input.Service] {
		isExcluded := call.Sent && !isRepeatable(b, call) && !endpoint.ChecksKeys
		if isExcluded || b.IsLeaving(endpoint.Name) || slices.Contains(call.Tried, endpoint.Name) {
			continue
		}
		if endpoint.Domain == b.Domain {
			candidates = append(candidates, endpoint)
			continue
		}
		remote = append(remote, endpoint)
	}
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return fleet.Endpoint{}, false
	}
	return candidates[b.Random.IntN(len(candidates))], true
}
