package place

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/share"
)

const (
	// shareTolerance is how far the work of a group may exceed its share before its prompts yield, since
	// entries see slightly different sums.
	shareTolerance = 1.25
	// maxPredicted and maxLateness are the parts of the objective of short prompts beyond which the
	// predicted first event, or the mean of those lately measured, means contention.
	maxPredicted = 0.6
	maxLateness  = 0.8
	// maxReturnLateness is the latter for a caller that returns after a refusal, as it was told to.
	maxReturnLateness = 1.1
	// minRoomShare bounds the part of the requests in flight by which one decision reduces the room,
	// fullRoomShare is that part if no engine has a free slot.
	minRoomShare = 0.7
	// queueRoomShare is that part if long prompts are late for lack of engines.
	// Only organisations with more than queueLeastParts equal parts then yield, since other short prompts
	// are not the cause.
	queueRoomShare  = 0.85
	queueLeastParts = 3
	fullRoomShare   = 0.9
)

// judgeShare reports whether a short prompt must be refused because there is contention and its
// organisation exceeds its share. An entry that hears no others can't tell.
func judgeShare(b *board.Board, engine *plan.Engine, request *board.Request, decision choice) share.Verdict {
	group, isShared := b.GroupOf(request)
	if !isShared || request.Runs > 0 || b.MaxMembers > 1 && !b.Tally.HearsOthers() {
		return share.Verdict{}
	}
	part, leastParts := roomShare(b, engine, request, decision)
	if part >= 1 {
		return share.Verdict{}
	}
	remote := func(hash pool.Hash) share.Use { return share.UseOf(b.Tally.RemoteLoad(hash)) }
	verdict := b.Shares.Judge(group, part*float64(decision.inFlight), leastParts, decision.inFlight, b.OwnUse, remote, b.Now)
	if verdict.HasChanged {
		b.Log("Organisation exceeds its share, or no longer does.", "service", group.Service, "organisation", group.Organisation,
			"exceeds", verdict.IsOver, "share", int(verdict.Share), "use", verdict.Use, "inFlight", decision.inFlight, "room", part)
	}
	return verdict
}

// roomShare returns the part of the requests in flight for which there is room, 1 without contention, and
// how many equal parts of them each organisation may have in any case.
func roomShare(b *board.Board, engine *plan.Engine, request *board.Request, decision choice) (part, leastParts float64) {
	part = 1
	if decision.isFull {
		part = fullRoomShare
	}
	predicted := float64(decision.firstEvent) / float64(max(request.Route.Objective, 1))
	part = min(part, maxPredicted/max(predicted, maxPredicted))
	allowed := maxLateness
	if request.IsCallerRetry() {
		allowed = maxReturnLateness
	}
	part = min(part, allowed/max(b.Shares.Lateness(request.Service, b.Now), allowed))
	if part < 1 {
		return max(part, minRoomShare), 0
	}
	isQueueContended := b.Shares.IsQueueContended(request.Service, func() bool {
		waiting := collectQueue(b, engine, request.Service, nil, decision.longClass)
		return waiting.schedule(b.Now).isContended(b.Now)
	}, b.Now)
	if isQueueContended && !request.IsCallerRetry() {
		return queueRoomShare, queueLeastParts
	}
	return 1, 0
}

// isContended reports whether a prompt that could be on time can't because of others.
func (q queue) isContended(now clock.Millis) bool {
	return slices.ContainsFunc(q, func(p queuedPrompt) bool {
		return !p.isOnTime && !p.wasSent && now+p.prefill <= p.DueAt
	})
}

// markShares marks the prompts whose group already has its share of the engine time with its work in
// flight and ahead of them, and reports whether there are any. The room is the time of all work in
// flight and of the scheduled prompts that are on time. The first prompt of a group is never marked.
func (q queue) markShares(b *board.Board, scheduled queue, engines float64) bool {
	used := map[pool.Hash]float64{}
	own := map[pool.Hash]share.Use{}
	for group, use := range b.OwnUse() {
		own[group.Hash()] = use
	}
	room := 0.0
	for _, prompt := range q {
		if _, isKnown := used[prompt.Group]; !isKnown && prompt.Group != 0 {
			use := own[prompt.Group].Add(share.UseOf(b.Tally.RemoteLoad(prompt.Group)))
			used[prompt.Group] = float64(use.PrefillMillis) / engines
			room += used[prompt.Group]
		}
	}
	asked := maps.Clone(used)
	for _, prompt := range scheduled {
		if prompt.isOnTime || prompt.wasSent {
			room += prompt.shareMillis
		}
		asked[prompt.Group] += prompt.shareMillis
	}
	asks := make([]share.Ask, 0, len(asked))
	for _, hash := range slices.Sorted(maps.Keys(asked)) {
		asks = append(asks, share.Ask{Amount: asked[hash], Weight: 1})
	}
	limit := shareTolerance * share.Level(room, asks)
	isAnyMarked := false
	for i, prompt := range q {
		if before := used[prompt.Group]; prompt.Group != 0 && !prompt.wasSent && before > 0 && before >= limit {
			q[i].exceedsShare = true
			isAnyMarked = true
		}
		used[prompt.Group] += prompt.shareMillis
	}
	return isAnyMarked
}
