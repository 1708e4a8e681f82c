package place

import (
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/share"
)

const (
	// contentionShare is the part of the objective of a short prompt beyond which its predicted first
	// event means contention. The rest covers sends of other entries that are not known yet.
	contentionShare = 0.6
	// minRoomShare bounds the part of the requests in flight by which one decision reduces the room,
	// fullRoomShare is that part if no engine has a free slot.
	minRoomShare  = 0.5
	fullRoomShare = 0.9
)

// judgeShare reports whether a short prompt must be refused because there is contention and its
// organisation exceeds its share. An entry that hears no others can't tell.
func judgeShare(b *board.Board, request *board.Request, decision choice) share.Verdict {
	group, isShared := b.Group(request)
	allowed := contentionShare * float64(request.Route.Objective)
	predicted := float64(decision.firstEvent)
	isContended := decision.isFull || predicted > allowed
	if !isShared || !isContended || request.Runs > 0 || b.MaxMembers > 1 && !b.Tally.HearsOthers() {
		return share.Verdict{}
	}
	part := max(allowed/max(predicted, 1), minRoomShare)
	if decision.isFull {
		part = min(part, fullRoomShare)
	}
	remote := func(hash pool.Hash) share.Use { return share.UseOf(b.Tally.RemoteLoad(hash)) }
	verdict := b.Shares.Judge(group, part*float64(decision.inFlight), decision.inFlight, b.OwnUse, remote, b.Now)
	if verdict.HasChanged {
		b.Log("Organisation exceeds its share, or no longer does.", "service", group.Service, "organisation", group.Organisation,
			"exceeds", verdict.IsOver, "share", int(verdict.Share), "use", verdict.Use, "inFlight", decision.inFlight)
	}
	return verdict
}
