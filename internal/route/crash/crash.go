// Package crash implements the controller that detects prompts which crash engines.
// Every prompt in flight at an engine that may have died becomes a suspect. A suspect
// is run only by one entry, its examiner, and only at an engine without other suspects.
// Two confirmed deaths quarantine it and a complete answer clears it.
package crash

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/gossip"
	"mustardhook/internal/peer/roster"
)

const (
	// QuarantineThreshold is the number of confirmed deaths that quarantine a prompt.
	QuarantineThreshold = 2
	// SuspectTTL is how long a suspect is kept after its last death.
	SuspectTTL = 10 * clock.Minute
	// MaxSuspects limits the number of suspects that are kept.
	MaxSuspects = 4096
	// TakeoverDelay is how long an entry waits after it became the examiner of a
	// suspect, so that it learns of another entry that took over at the same time.
	TakeoverDelay = 1 * clock.Second
)

type (
	controller struct{}
)

// NewController returns a controller for suspects.
func NewController() loop.Controller { return controller{} }

// IsSuspect reports whether the prompt was in flight at an engine that may have died
// and has not been cleared since.
func IsSuspect(b *board.Board, fingerprint uint64) bool {
	return unclearedDeaths(b.Suspects[fingerprint]) > 0
}

// IsQuarantined reports whether the prompt has at least QuarantineThreshold confirmed
// deaths that it was not cleared of.
func IsQuarantined(b *board.Board, fingerprint uint64) bool {
	suspect := b.Suspects[fingerprint]
	if suspect == nil {
		return false
	}
	confirmed := 0
	for _, death := range suspect.Deaths {
		if death.Confirmed {
			confirmed++
		}
	}
	return confirmed-suspect.Cleared >= QuarantineThreshold
}

// unclearedDeaths returns the number of deaths that the prompt was not cleared of.
func unclearedDeaths(suspect *board.Suspect) int {
	if suspect == nil {
		return 0
	}
	return len(suspect.Deaths) - suspect.Cleared
}

// MayPlace reports whether the prompt may run at the engine now. A suspect runs only at
// its examiner, at most once at a time and at an engine without other suspects. While
// two of its deaths await confirmation, it does not run at all.
func MayPlace(b *board.Board, fingerprint uint64, engine fleet.Endpoint) bool {
	if len(b.Suspects) == 0 {
		return true
	}
	suspect := b.Suspects[fingerprint]
	if unclearedDeaths(suspect) == 0 {
		return !isRunningSuspect(b, engine.Name)
	}
	if unclearedDeaths(suspect) >= QuarantineThreshold || !acquireExamination(b, suspect) {
		return false
	}
	for _, attempt := range b.Attempts {
		completion := b.Completions[attempt.Request]
		if completion != nil && completion.Input.Fingerprint == fingerprint {
			return false
		}
	}
	return !isRunningSuspect(b, engine.Name)
}

// isRunningSuspect reports whether this entry runs a suspect at the engine.
func isRunningSuspect(b *board.Board, engine ident.Endpoint) bool {
	for _, attempt := range b.Attempts {
		completion := b.Completions[attempt.Request]
		if attempt.Endpoint == engine && completion != nil && IsSuspect(b, completion.Input.Fingerprint) {
			return true
		}
	}
	return false
}

// acquireExamination reports whether this entry may run the suspect now. If the examiner
// is not live, this entry takes over as the examiner and may run the prompt after
// TakeoverDelay.
func acquireExamination(b *board.Board, suspect *board.Suspect) bool {
	if suspect.Examiner == b.Self {
		return b.Now >= suspect.ExamineAfter
	}
	peer := b.Peers[suspect.Examiner.Entry]
	if peer != nil && peer.Member.Incarnation == suspect.Examiner && roster.IsLive(b, peer) {
		return false
	}
	suspect.Term++
	suspect.Examiner = b.Self
	suspect.ExamineAfter = b.Now + TakeoverDelay
	broadcast(b, suspect)
	return false
}

// Step records deaths and publishes them to the live peers.
func (controller) Step(b *board.Board, input event.Event) {
	switch input := input.(type) {
	case event.AttemptEnded:
		handleAttemptEnded(b, input)
	case event.CallerGone:
		releaseExaminer(b, input.Request)
	case event.ReportRead:
		evaluateReport(b, input)
	case event.ReportFailed:
		if input.Refused {
			confirmDeaths(b, input)
		}
	case event.MessageCame:
		if message, ok := input.Message.(msgs.Gossip); ok {
			mergeSuspects(b, message.Suspects)
		}
	case event.Ticked:
		expire(b)
	}
}

func handleAttemptEnded(b *board.Board, ended event.AttemptEnded) {
	attempt := b.Attempts[ended.Attempt]
	if attempt == nil || b.Completions[attempt.Request] == nil {
		return
	}
	fingerprint := b.Completions[attempt.Request].Input.Fingerprint
	switch ended.Verdict {
	case event.VerdictBroken:
		recordBrokenStream(b, fingerprint, attempt)
	case event.VerdictComplete:
		clearSuspect(b, fingerprint)
	}
}

// recordBrokenStream records a broken stream as an unconfirmed death and requests the
// engine's report at once.
func recordBrokenStream(b *board.Board, fingerprint uint64, attempt *board.Attempt) {
	death := board.Death{Endpoint: attempt.Endpoint, Boot: attempt.Boot, At: b.Now}
	suspect := findOrCreate(b, fingerprint)
	if suspect == nil || !addDeath(b, suspect, death) {
		return
	}
	b.Audit(action.AuditSuspect, string(attempt.Endpoint), "Stream broke, the endpoint may have died.")
	if suspect.Examiner.IsZero() {
		suspect.Examiner = b.Self
	}
	broadcast(b, suspect)
	status := b.EndpointStatus(attempt.Endpoint)
	status.ReadInFlight = true
	status.RequestedAt = b.Now
	b.Emit(action.ReadReport{
		Endpoint: attempt.Endpoint, Address: attempt.Address, Since: status.Report.CacheSequence,
		RequestedAt: b.Now,
	})
}

// clearSuspect clears the prompt of all deaths after a complete answer.
func clearSuspect(b *board.Board, fingerprint uint64) {
	suspect := b.Suspects[fingerprint]
	if unclearedDeaths(suspect) <= 0 {
		return
	}
	suspect.Cleared = len(suspect.Deaths)
	broadcast(b, suspect)
}

// releaseExaminer releases the role of examiner for a prompt whose caller disconnected.
func releaseExaminer(b *board.Board, request ident.Request) {
	completion := b.Completions[request]
	if completion == nil {
		return
	}
	suspect := b.Suspects[completion.Input.Fingerprint]
	if unclearedDeaths(suspect) <= 0 || suspect.Examiner != b.Self {
		return
	}
	suspect.Term++
	suspect.Examiner = ident.Incarnation{}
	broadcast(b, suspect)
}

func broadcast(b *board.Board, suspect *board.Suspect) {
	digest := gossip.ShortDigest(b)
	digest.Suspects = []msgs.Suspect{suspect.ToMessage(b.Now)}
	for _, peer := range roster.Live(b) {
		b.Emit(action.SendMessage{Address: peer.Member.Address, Message: digest})
	}
}

func findOrCreate(b *board.Board, fingerprint uint64) *board.Suspect {
	suspect := b.Suspects[fingerprint]
	if suspect == nil && len(b.Suspects) < MaxSuspects {
		suspect = &board.Suspect{Fingerprint: fingerprint}
		b.Suspects[fingerprint] = suspect
	}
	return suspect
}

// addDeath records a death and reports whether it is new.
func addDeath(b *board.Board, suspect *board.Suspect, death board.Death) bool {
	for i, other := range suspect.Deaths {
		if other.Endpoint == death.Endpoint && other.Boot == death.Boot {
			suspect.Deaths[i].Confirmed = other.Confirmed || death.Confirmed
			return false
		}
	}
	suspect.Deaths = append(suspect.Deaths, death)
	slices.SortFunc(suspect.Deaths, func(x, y board.Death) int {
		return cmp.Or(cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.Boot, y.Boot))
	})
	suspect.LastDeathAt = b.Now
	return true
}

// confirmDeaths confirms the deaths of an engine that refused a connection: its process
// has ended.
func confirmDeaths(b *board.Board, failed event.ReportFailed) {
	endpoint := failed.Endpoint
	for _, fingerprint := range board.Sorted(b.Suspects) {
		suspect := b.Suspects[fingerprint]
		for i, death := range suspect.Deaths {
			precedesRead := death.Endpoint == endpoint && death.At <= failed.RequestedAt
			if precedesRead && !death.Confirmed {
				suspect.Deaths[i].Confirmed = true
				auditDeath(b, fingerprint, endpoint)
			}
		}
	}
}

func auditDeath(b *board.Board, fingerprint uint64, endpoint ident.Endpoint) {
	text := "Endpoint died with a prompt in flight."
	if IsQuarantined(b, fingerprint) {
		text = "Prompt convicted after two engine deaths."
	}
	b.Audit(action.AuditSuspect, string(endpoint), text)
}

// evaluateReport removes the deaths refuted by a report of the same engine process that
// was taken after them: the stream broke, but the engine did not die. A report of
// another process confirms them.
func evaluateReport(b *board.Board, read event.ReportRead) {
	for _, fingerprint := range board.Sorted(b.Suspects) {
		suspect := b.Suspects[fingerprint]
		isRefutedByReport := func(death board.Death) bool {
			isSameBoot := death.Boot == read.Report.Boot || death.Boot == 0
			return death.Endpoint == read.Endpoint && isSameBoot && read.TakenAt() > death.At
		}
		count := len(suspect.Deaths)
		suspect.Deaths = slices.DeleteFunc(suspect.Deaths, isRefutedByReport)
		if len(suspect.Deaths) < count {
			b.Audit(action.AuditSuspect, string(read.Endpoint), "Endpoint outlived a broken stream.")
		}
		for i, death := range suspect.Deaths {
			isOtherBoot := death.Endpoint == read.Endpoint && death.Boot != read.Report.Boot
			if isOtherBoot && death.At <= read.RequestedAt && !death.Confirmed {
				suspect.Deaths[i].Confirmed = true
				auditDeath(b, fingerprint, read.Endpoint)
			}
		}
		suspect.Cleared = min(suspect.Cleared, len(suspect.Deaths))
		if len(suspect.Deaths) == 0 {
			delete(b.Suspects, fingerprint)
		}
	}
}

func mergeSuspects(b *board.Board, received []msgs.Suspect) {
	for _, incoming := range received {
		suspect := findOrCreate(b, incoming.Fingerprint)
		if suspect == nil {
			continue
		}
		for _, reported := range incoming.Deaths {
			death := board.Death{
				Endpoint: reported.Endpoint, Boot: reported.Boot,
				At: b.Now - reported.Age, Confirmed: reported.Confirmed,
			}
			if !isRefuted(b, death) {
				addDeath(b, suspect, death)
			}
		}
		suspect.Cleared = min(max(suspect.Cleared, incoming.Cleared), len(suspect.Deaths))
		mergeExaminer(suspect, incoming)
		if len(suspect.Deaths) == 0 {
			delete(b.Suspects, incoming.Fingerprint)
		}
	}
}

// mergeExaminer keeps the examiner with the higher term. For equal terms it keeps the
// first one by name.
func mergeExaminer(suspect *board.Suspect, incoming msgs.Suspect) {
	isSameTerm := incoming.Term == suspect.Term
	isFirstByName := suspect.Examiner.IsZero() || (!incoming.Examiner.IsZero() && incoming.Examiner.Less(suspect.Examiner))
	if incoming.Term > suspect.Term || (isSameTerm && isFirstByName) {
		suspect.Term = incoming.Term
		suspect.Examiner = incoming.Examiner
	}
}

// isRefuted reports whether a later report shows that the engine process outlived the
// death.
func isRefuted(b *board.Board, death board.Death) bool {
	status := b.Endpoints[death.Endpoint]
	return status != nil && status.Report.Boot == death.Boot && status.TakenAt > death.At
}

func expire(b *board.Board) {
	for _, fingerprint := range board.Sorted(b.Suspects) {
		if b.Now-b.Suspects[fingerprint].LastDeathAt > SuspectTTL {
			delete(b.Suspects, fingerprint)
		}
	}
}
