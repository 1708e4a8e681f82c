package place

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
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
	// minRoomShare bounds the part of the requests in flight by which one decision reduces the room,
	// fullRoomShare is that part if no engine has a free slot.
	minRoomShare = 0.7
	// shortKindShare is the part of the engines up to which short prompts need not make room for long
	// ones that wait for engines: an equal share of both kinds.
	shortKindShare = 0.5
	fullRoomShare  = 0.9
)

// classes are the engines of both size classes.
type classes struct {
	short, long []*candidate
	// isQueueContended reports whether long prompts are late for lack of engines while short ones
	// exceed their shares of kindRoom, in requests.
	isQueueContended bool
	kindRoom         float64
}

// judgeShare reports whether there is contention and the organisation of a short prompt exceeds its share.
// mustWait reports whether the prompt must be refused; otherwise it only yields to others at its engine. An
// entry that hears no others can't tell.
func judgeShare(b *board.Board, request *board.Request, decision choice) (verdict share.Verdict, mustWait bool) {
	group, isShared := b.GroupOf(request)
	if !isShared || b.MaxMembers > 1 && !b.Tally.HearsOthers() {
		return share.Verdict{}, false
	}
	part := roomShare(b, request, decision)
	room := part * float64(decision.inFlight)
	if decision.isQueueContended {
		room = min(room, decision.kindRoom)
	}
	if room >= float64(decision.inFlight) {
		return share.Verdict{}, false
	}
	verdict = b.Shares.Judge(group, room, decision.inFlight, b.OwnUse, remoteUse(b), b.Now)
	if verdict.HasChanged {
		b.Log("Organisation exceeds its share, or no longer does.", "service", group.Service, "organisation", group.Organisation,
			"exceeds", verdict.IsOver, "share", int(verdict.Share), "use", verdict.Use, "inFlight", decision.inFlight, "room", int(room))
	}
	// A caller that returns after a refusal was told to come back now.
	isExempt := request.Runs > 0 || request.IsCallerRetry() && !decision.isFull
	return verdict, verdict.IsOver && part < 1 && !isExempt
}

func remoteUse(b *board.Board) func(pool.Hash) share.Use {
	return func(hash pool.Hash) share.Use { return share.UseOf(b.Tally.RemoteLoad(hash)) }
}

// splitByShares divides the engines like splitSizeClasses. While long prompts are late for lack of engines, the
// short prompts of organisations over their share don't enlarge the short size class, but use the slots
// that the others leave there.
func splitByShares(b *board.Board, service ident.Service, engine *plan.Engine, candidates []*candidate) classes {
	short, long := splitSizeClasses(engine, candidates, 0)
	split := classes{short: short, long: long}
	if !b.Plan.HasShares {
		return split
	}
	split.kindRoom = shortKindShare * float64(len(candidates)) * float64(engine.Slots) * shortSlotShare
	isContended := func() bool {
		waiting := collectQueue(b, engine, service, nil, max(len(long), 1))
		return waiting.schedule(b.Now).isContended(b.Now)
	}
	excess := b.Shares.ExcessInQueue(service, isContended, func() float64 {
		inFlight := 0
		for _, c := range candidates {
			inFlight += c.load.Leads
		}
		return b.Shares.Excess(service, split.kindRoom, inFlight, b.OwnUse, remoteUse(b), b.Now) / float64(max(inFlight, 1))
	}, b.Now)
	if excess > 0 {
		split.short, split.long = splitSizeClasses(engine, candidates, excess)
		split.isQueueContended = true
	}
	return split
}

// roomShare returns the part of the requests in flight for which there is room: 1 without contention.
func roomShare(b *board.Board, request *board.Request, decision choice) float64 {
	part := 1.0
	if decision.isFull {
		part = min(part, fullRoomShare)
	}
	predicted := float64(decision.firstEvent) / float64(max(request.Route.Objective, 1))
	part = min(part, maxPredicted/max(predicted, maxPredicted))
	part = min(part, maxLateness/max(b.Shares.Lateness(request.Service, b.Now), maxLateness))
	return max(part, minRoomShare)
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
