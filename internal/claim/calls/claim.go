package calls

import (
	"strings"

	"mustardhook/internal/claim/quorum"
	"mustardhook/internal/claim/rules"
	"mustardhook/internal/claim/voter"
	"mustardhook/internal/claim/votes"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/roster"
)

const (
	// PollInterval is the time between two rounds of votes on a key that another
	// attempt holds.
	PollInterval = 200 * clock.Millis(1)
	// ContentionBackoff is the mean time before a new round after one without a quorum.
	ContentionBackoff = 100 * clock.Millis(1)
	// MaxHops is how many times a call may be forwarded.
	MaxHops = 2
)

// claim continues a call that needs a claim. It forwards the call to its home failure
// domain, to a member of the view there or to the key's first reachable witness, or
// starts a round of votes at this entry.
func claim(b *board.Board, call *board.Call) {
	switch {
	case isKeyExpired(b, call):
		finish(b, call, notSentResult(call, action.ReasonKeyExpired))
	case call.Home == "":
		finish(b, call, notSentResult(call, action.ReasonNoEndpoint))
	case call.Home != b.Domain:
		forwardHome(b, call)
	case !b.Membership.MayVote(b.Membership.Number(), voter.EntriesInView(b)):
		forwardToMember(b, call)
	default:
		dispatch(b, call)
	}
}

// isKeyExpired reports whether a minted key is so old that witnesses may have removed
// its claim, with allowance for the largest difference between clocks.
func isKeyExpired(b *board.Board, call *board.Call) bool {
	retention := call.Retention
	if retention == 0 {
		retention = votes.DefaultRetention
	}
	return call.Minted > 0 && b.Now-call.Minted > retention-votes.MaxClockSkew
}

// dispatch forwards the call to the key's first reachable witness, so that two entries
// rarely compete for one key. It starts a round of votes at this entry if it is that
// witness or if the call can't be forwarded.
func dispatch(b *board.Board, call *board.Call) {
	witnesses := votes.Witnesses(call.Scope, b.Membership.Members())
	for _, witness := range witnesses {
		if witness == b.Self || call.Hops >= MaxHops {
			break
		}
		if _, reachable := roster.Find(b, witness); reachable && !wasForwarded(call, witness) {
			forward(b, call, witness)
			return
		}
	}
	startRound(b, call, witnesses)
}

// startRound starts a round of votes for a new attempt.
func startRound(b *board.Board, call *board.Call, witnesses []ident.Incarnation) {
	call.Attempt = nextAttempt(b)
	request := msgs.VoteAsk{
		View: b.Membership.Number(), Scope: call.Scope, Fingerprint: call.Fingerprint, Attempt: call.Attempt,
		Minted: call.Minted, Retention: call.Retention,
	}
	call.Round = quorum.NewRound(b.Now, request, witnesses, rules.Disabled{})
	for _, witness := range witnesses {
		sendToWitness(b, witness, request)
	}
	evaluate(b, call)
}

// sendToWitness sends a message to a witness. If that is this entry, it handles the
// message immediately.
func sendToWitness(b *board.Board, witness ident.Incarnation, message msgs.Message) {
	if witness != b.Self {
		if peer := b.Peers[witness.Entry]; peer != nil {
			b.Emit(action.SendMessage{Address: peer.Member.Address, Message: message})
		}
		return
	}
	switch message := message.(type) {
	case msgs.VoteAsk:
		reply := b.Membership.Vote(b.Now, message, voter.EntriesInView(b))
		if call := findByAttempt(b, message.Attempt); call != nil {
			call.Round.AddVote(b.Self, reply)
		}
	case msgs.VoteRelease:
		b.Membership.Table().Release(message.Scope, message.Attempt)
	case msgs.Learn:
		b.Membership.Table().Learn(b.Now, message)
	}
}

func handleVote(b *board.Board, from ident.Incarnation, reply msgs.VoteGive) {
	call := findByAttempt(b, reply.Attempt)
	if call == nil || call.Round == nil || call.Sent {
		return
	}
	call.Round.AddVote(from, reply)
	evaluate(b, call)
}

// evaluate acts on the status of the call's round.
func evaluate(b *board.Board, call *board.Call) {
	switch call.Round.Status(b.Now) {
	case quorum.Granted:
		sendToEndpoint(b, call)
	case quorum.Completed:
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeDone, Replayed: true, Answer: call.Round.Answer()})
	case quorum.Unknown:
		releaseVotes(b, call)
		finish(b, call, msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(action.ReasonAnswerLost), NotSent: true})
	case quorum.Mismatch:
		releaseVotes(b, call)
		finish(b, call, notSentResult(call, action.ReasonKeyMismatch))
	case quorum.Uncertain:
		releaseVotes(b, call)
		finish(b, call, notSentResult(call, action.ReasonClaimDoubtful))
	case quorum.Held:
		awaitHolder(b, call)
	case quorum.NoQuorum:
		scheduleRetry(b, call, action.ReasonClaimRefused, ContentionBackoff/2+clock.Millis(b.Random.Int64N(int64(ContentionBackoff))))
	}
}

// awaitHolder schedules another round while the dispatcher of the attempt that holds the
// key is reachable. If it is not, the outcome of that attempt can no longer be
// determined, and the call finishes with an unknown outcome.
func awaitHolder(b *board.Board, call *board.Call) {
	holder := call.Round.Holder()
	name, _, _ := strings.Cut(string(holder), nameSeparator)
	dispatcher := ident.ParseIncarnation(name)
	_, reachable := roster.Find(b, dispatcher)
	if dispatcher == b.Self || reachable {
		scheduleRetry(b, call, action.ReasonKeyBusy, PollInterval)
		return
	}
	releaseVotes(b, call)
	finish(b, call, msgs.Result{Outcome: msgs.OutcomeUnknown, Reason: string(action.ReasonAnswerLost), NotSent: true})
}

// scheduleRetry releases the attempt and makes the call start a new one after the delay.
func scheduleRetry(b *board.Board, call *board.Call, reason action.Reason, delay clock.Millis) {
	releaseVotes(b, call)
	call.Attempt = ""
	call.Round = nil
	call.Reason = reason
	call.RetryAt = b.Now + delay
}

// advance continues a call that waits for votes, for the entry that it was forwarded to
// or for its next retry.
func advance(b *board.Board, call *board.Call) {
	switch {
	case call.Round != nil:
		evaluate(b, call)
	case !call.Target.IsZero():
		checkTarget(b, call)
	case b.Now >= call.RetryAt:
		claim(b, call)
	}
}

// releaseVotes promises the witnesses that the attempt will never be sent.
func releaseVotes(b *board.Board, call *board.Call) {
	if call.Round == nil || call.Sent {
		return
	}
	for _, witness := range call.Round.Witnesses() {
		sendToWitness(b, witness, msgs.VoteRelease{Scope: call.Scope, Attempt: call.Attempt})
	}
}

// reportOutcome sends the outcome of the call to the witnesses that were asked to vote
// and to the key's witnesses in the current view.
func reportOutcome(b *board.Board, call *board.Call, state msgs.ClaimState, answer msgs.Answer) {
	if call.Round == nil {
		return
	}
	outcome := msgs.Learn{
		Scope: call.Scope, Fingerprint: call.Fingerprint, Attempt: call.Attempt, State: state, Answer: answer,
		Retention: call.Retention,
	}
	notified := map[ident.Incarnation]bool{}
	current := votes.Witnesses(call.Scope, b.Membership.Members())
	for _, witness := range append(current, call.Round.Witnesses()...) {
		if !notified[witness] {
			notified[witness] = true
			sendToWitness(b, witness, outcome)
		}
	}
}
