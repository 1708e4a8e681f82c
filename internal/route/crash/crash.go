// Package crash holds the controller that finds prompts that crash engines. The
// prompts in flight at an engine that may have died become suspects. One entry,
// the examiner, runs a suspect, at one engine without other suspects; two
// confirmed deaths convict it, and a whole answer clears it.
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
	// ConvictAt is how many confirmed deaths convict a prompt.
	ConvictAt = 2
	// SuspicionSpan is how long a suspect is remembered after its last death.
	SuspicionSpan = 10 * clock.Minute
	// SuspectLimit bounds the suspects that are remembered.
	SuspectLimit = 4096
	// TakeoverSpan is how long an entry that becomes the examiner of a suspect
	// waits, so that it hears of another one that does so at the same time.
	TakeoverSpan = 1 * clock.Second
)

type (
	controller struct{}
)

// NewController returns the controller of suspects.
func NewController() loop.Controller { return controller{} }

// IsSuspect reports whether the prompt was in flight at an engine that may have
// died, and was not found innocent since.
func IsSuspect(b *board.Board, fingerprint uint64) bool {
	return open(b.Suspects[fingerprint]) > 0
}

// IsConvicted reports whether the prompt was in flight at two engines that died.
func IsConvicted(b *board.Board, fingerprint uint64) bool {
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
	return confirmed-suspect.Cleared >= ConvictAt
}

// open counts the deaths that the prompt was not found innocent of.
func open(suspect *board.Suspect) int {
	if suspect == nil {
		return 0
	}
	return len(suspect.Deaths) - suspect.Cleared
}

// MayPlace reports whether the prompt may run at the engine now. A suspect runs
// only at its examiner, once at a time, at an engine without other suspects, and
// not at all while two deaths wait for confirmation.
func MayPlace(b *board.Board, fingerprint uint64, engine fleet.Endpoint) bool {
	if len(b.Suspects) == 0 {
		return true
	}
	suspect := b.Suspects[fingerprint]
	if open(suspect) == 0 {
		return !runsSuspect(b, engine.Name)
	}
	if open(suspect) >= ConvictAt || !examines(b, suspect) {
		return false
	}
	for _, attempt := range b.Attempts {
		completion := b.Completions[attempt.Request]
		if completion != nil && completion.Asked.Fingerprint == fingerprint {
			return false
		}
	}
	return !runsSuspect(b, engine.Name)
}

// runsSuspect reports whether this entry runs a suspect at the engine.
func runsSuspect(b *board.Board, engine ident.Endpoint) bool {
	for _, attempt := range b.Attempts {
		completion := b.Completions[attempt.Request]
		if attempt.Endpoint == engine && completion != nil && IsSuspect(b, completion.Asked.Fingerprint) {
			return true
		}
	}
	return false
}

// examines reports whether this entry may run the suspect. When the examiner is
// gone, this entry takes its place, and runs the prompt a little later.
func examines(b *board.Board, suspect *board.Suspect) bool {
	if suspect.Examiner == b.Self {
		return b.Now >= suspect.ExaminedFrom
	}
	peer := b.Peers[suspect.Examiner.Entry]
	if peer != nil && peer.Member.Incarnation == suspect.Examiner && roster.IsLive(b, peer) {
		return false
	}
	suspect.Term++
	suspect.Examiner = b.Self
	suspect.ExaminedFrom = b.Now + TakeoverSpan
	tell(b, suspect)
	return false
}

// Step counts deaths and spreads them.
func (controller) Step(b *board.Board, happened event.Event) {
	switch happened := happened.(type) {
	case event.AttemptEnded:
		attemptEnded(b, happened)
	case event.CallerGone:
		release(b, happened.Request)
	case event.ReportRead:
		judge(b, happened)
	case event.ReportFailed:
		if happened.Refused {
			confirm(b, happened.Endpoint)
		}
	case event.MessageCame:
		if heard, is := happened.Message.(msgs.Gossip); is {
			merge(b, heard.Suspects)
		}
	case event.Ticked:
		forget(b)
	}
}

func attemptEnded(b *board.Board, ended event.AttemptEnded) {
	attempt := b.Attempts[ended.Attempt]
	if attempt == nil || b.Completions[attempt.Request] == nil {
		return
	}
	fingerprint := b.Completions[attempt.Request].Asked.Fingerprint
	switch ended.Verdict {
	case event.VerdictBroken:
		accuse(b, fingerprint, attempt)
	case event.VerdictComplete:
		acquit(b, fingerprint)
	}
}

// accuse records a broken stream as a death that waits for confirmation, and
// reads the engine's report at once.
func accuse(b *board.Board, fingerprint uint64, attempt *board.Attempt) {
	death := board.Death{Endpoint: attempt.Endpoint, Boot: attempt.Boot, At: b.Now}
	suspect := find(b, fingerprint)
	if suspect == nil || !add(b, suspect, death) {
		return
	}
	if suspect.Examiner.IsZero() {
		suspect.Examiner = b.Self
	}
	tell(b, suspect)
	load := b.EndpointStatus(attempt.Endpoint)
	load.Asking = true
	load.AskedAt = b.Now
	b.Emit(action.ReadReport{
		Endpoint: attempt.Endpoint, Address: attempt.Address, Since: load.Report.CacheSequence,
	})
}

// acquit finds a suspect innocent after a whole answer.
func acquit(b *board.Board, fingerprint uint64) {
	suspect := b.Suspects[fingerprint]
	if open(suspect) <= 0 {
		return
	}
	suspect.Cleared = len(suspect.Deaths)
	tell(b, suspect)
}

// release gives up the examination of a prompt whose caller is gone.
func release(b *board.Board, request ident.Request) {
	completion := b.Completions[request]
	if completion == nil {
		return
	}
	suspect := b.Suspects[completion.Asked.Fingerprint]
	if open(suspect) <= 0 || suspect.Examiner != b.Self {
		return
	}
	suspect.Term++
	suspect.Examiner = ident.Incarnation{}
	tell(b, suspect)
}

func tell(b *board.Board, suspect *board.Suspect) {
	told := gossip.ShortDigest(b)
	told.Suspects = []msgs.Suspect{suspect.ToMessage(b.Now)}
	for _, peer := range roster.Live(b) {
		b.Emit(action.SendMessage{Address: peer.Member.Address, Message: told})
	}
}

func find(b *board.Board, fingerprint uint64) *board.Suspect {
	suspect := b.Suspects[fingerprint]
	if suspect == nil && len(b.Suspects) < SuspectLimit {
		suspect = &board.Suspect{Fingerprint: fingerprint}
		b.Suspects[fingerprint] = suspect
	}
	return suspect
}

// add records a death and reports whether it is new.
func add(b *board.Board, suspect *board.Suspect, death board.Death) bool {
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

// confirm marks the deaths of an engine that was found dead.
func confirm(b *board.Board, endpoint ident.Endpoint) {
	load := b.EndpointStatus(endpoint)
	for _, fingerprint := range board.Sorted(b.Suspects) {
		suspect := b.Suspects[fingerprint]
		for i, death := range suspect.Deaths {
			isThisLife := death.Endpoint == endpoint && death.At <= load.AskedAt
			if isThisLife && !death.Confirmed {
				suspect.Deaths[i].Confirmed = true
				auditDeath(b, fingerprint, endpoint)
			}
		}
	}
}

func auditDeath(b *board.Board, fingerprint uint64, endpoint ident.Endpoint) {
	text := "Endpoint died with a prompt in flight."
	if IsConvicted(b, fingerprint) {
		text = "Prompt convicted after two engine deaths."
	}
	b.Audit(action.AuditSuspect, string(endpoint), text)
}

// judge drops deaths of an engine that reports the same life afterwards: its
// stream broke, but the engine did not die. Another life confirms them.
func judge(b *board.Board, read event.ReportRead) {
	takenAt := b.Now - read.Report.Age
	for _, fingerprint := range board.Sorted(b.Suspects) {
		suspect := b.Suspects[fingerprint]
		isWrong := func(death board.Death) bool {
			isSame := death.Boot == read.Report.Boot || death.Boot == 0
			return death.Endpoint == read.Endpoint && isSame && takenAt > death.At
		}
		suspect.Deaths = slices.DeleteFunc(suspect.Deaths, isWrong)
		for i, death := range suspect.Deaths {
			isOther := death.Endpoint == read.Endpoint && death.Boot != read.Report.Boot
			if isOther && !death.Confirmed {
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

func merge(b *board.Board, told []msgs.Suspect) {
	for _, heard := range told {
		suspect := find(b, heard.Fingerprint)
		if suspect == nil {
			continue
		}
		for _, heardDeath := range heard.Deaths {
			death := board.Death{
				Endpoint: heardDeath.Endpoint, Boot: heardDeath.Boot,
				At: b.Now - heardDeath.Age, Confirmed: heardDeath.Confirmed,
			}
			if !outlived(b, death) {
				add(b, suspect, death)
			}
		}
		suspect.Cleared = min(max(suspect.Cleared, heard.Cleared), len(suspect.Deaths))
		mergeExaminer(suspect, heard)
		if len(suspect.Deaths) == 0 {
			delete(b.Suspects, heard.Fingerprint)
		}
	}
}

// mergeExaminer keeps the examiner of the higher term, or the first by name.
func mergeExaminer(suspect *board.Suspect, heard msgs.Suspect) {
	isEqual := heard.Term == suspect.Term
	isFirst := suspect.Examiner.IsZero() || (!heard.Examiner.IsZero() && heard.Examiner.Less(suspect.Examiner))
	if heard.Term > suspect.Term || (isEqual && isFirst) {
		suspect.Term = heard.Term
		suspect.Examiner = heard.Examiner
	}
}

// outlived reports whether the engine reported the same life after the death.
func outlived(b *board.Board, death board.Death) bool {
	load := b.Endpoints[death.Endpoint]
	return load != nil && load.Report.Boot == death.Boot && load.ReadAt-load.Report.Age > death.At
}

func forget(b *board.Board) {
	for _, fingerprint := range board.Sorted(b.Suspects) {
		if b.Now-b.Suspects[fingerprint].LastDeathAt > SuspicionSpan {
			delete(b.Suspects, fingerprint)
		}
	}
}
