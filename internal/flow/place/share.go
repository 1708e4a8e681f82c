package place

import (
	"maps"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/share"
)

const (
	// shareTolerance is how far the work of a group may exceed its share before its prompts yield, since
	// entries see slightly different sums.
	shareTolerance = 1.25
	// refusalRange is the reduction of the room from which all requests over a share are refused. With less,
	// a part of them is, so that entries that decide at the same time don't admit all or none.
	refusalRange = 0.2
	// retrySpread is the part by which the time after which callers should return varies.
	retrySpread = 0.3
	// fingerprintFactor spreads fingerprints that differ little, drawShift leaves the bits of a draw.
	fingerprintFactor = 0x9e3779b97f4a7c15
	drawShift         = 32
	// minRoomShare bounds the part of the requests in flight by which one decision reduces the room,
	// fullRoomShare is that part if no engine has a free slot.
	minRoomShare  = 0.7
	fullRoomShare = 0.9
)

// limits are the limits beyond which there is contention: of the predicted first event, as a part of the
// objective, and of the occupied part of the slots that short prompts may take, beyond which requests that
// are not known yet may find none free.
type limits struct{ predicted, occupied float64 }

var (
	firstLimits = limits{predicted: 0.8, occupied: 0.8}
	// returnLimits are those for callers that return after a refusal. They are late in any case and take
	// the slots that the others leave.
	returnLimits = limits{predicted: 1, occupied: 0.9}
)

// judgeShare reports whether there is contention and the organisation of a short prompt exceeds its share,
// and whether the prompt must be refused for it. An entry that hears no others can't tell.
func judgeShare(b *board.Board, request *board.Request, decision choice) (verdict share.Verdict, mustWait bool) {
	group, isShared := b.GroupOf(request)
	if !isShared || b.MaxMembers > 1 && !b.Tally.HearsOthers() {
		return share.Verdict{}, false
	}
	part := firstLimits.room(request, decision)
	if part >= 1 {
		return share.Verdict{}, false
	}
	room := max(part, minRoomShare) * float64(decision.inFlight)
	if b.Shares.IsOutdated(group.Service, b.Now) {
		remote := func(hash pool.Hash) share.Use { return share.UseOf(b.Tally.RemoteLoad(hash)) }
		b.Shares.Refresh(group.Service, b.OwnUse(), remote, b.Now)
	}
	verdict = b.Shares.Judge(group, room, decision.inFlight, b.Now)
	if verdict.HasChanged {
		b.Log("Organisation exceeds its share, or no longer does.", "service", group.Service, "organisation", group.Organisation,
			"exceeds", verdict.IsOver, "share", int(verdict.Share), "use", verdict.Use, "inFlight", decision.inFlight, "room", int(room))
	}
	if request.IsCallerRetry() {
		part = returnLimits.room(request, decision)
	}
	return verdict, verdict.IsOver && request.Runs == 0 && drawRefusal(request)*refusalRange < 1-part
}

// drawRefusal returns the number below 1 that decides whether a request over its share is refused. It is the same
// for each attempt at all entries, so that repeating a request at once gains nothing.
func drawRefusal(request *board.Request) float64 {
	return float64(request.Request.Fingerprint*fingerprintFactor>>drawShift) / (1 << (64 - drawShift))
}

// shareRetryAfter returns when the requests by which the organisation exceeds its share will have ended. It is
// no shorter than for other refusals, and spread, so that callers don't return together.
func shareRetryAfter(b *board.Board, request *board.Request) clock.Millis {
	over := max(float64(request.Share.Use)-request.Share.Share, 0)
	ends := clock.Millis(over / max(request.Share.Share, 1) * float64(cost.ShortRequestDuration))
	earliest := b.RetryAfter(request)
	return max(ends, earliest+clock.Millis(retrySpread*b.Random.Float64()*float64(earliest)))
}

// room returns the part of the requests in flight for which there is room: 1 without contention.
func (l limits) room(request *board.Request, decision choice) float64 {
	part := 1.0
	if decision.isFull {
		part = fullRoomShare
	}
	objective := float64(max(request.Route.Objective, 1))
	part = min(part, l.predicted/max(float64(decision.firstEvent)/objective, l.predicted))
	occupied := float64(decision.inFlight) / float64(max(decision.slots, 1))
	return min(part, l.occupied/max(occupied, l.occupied))
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
	limit := shareTolerance * share.Limit(room, asks)
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
