// Package msgs defines the messages between entries. A message may be lost, delayed or
// repeated, and every controller has to tolerate that.
package msgs

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
)

// Outcomes of a service call, as reported to the caller.
const (
	// OutcomeDone means that the call was executed once and that the result holds its
	// answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no attempt of the call was executed.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the call may or may not have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// States of the attempt that holds the claim of a key.
const (
	// ClaimGranted means that the attempt may send the call or may have sent it.
	ClaimGranted ClaimState = "granted"
	// ClaimDone means that the attempt was answered.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that it can no longer be determined whether the attempt was
	// executed.
	ClaimUnknown ClaimState = "unknown"
)

// Votes of a witness.
const (
	// VoteGranted is a vote for the attempt.
	VoteGranted Verdict = "granted"
	// VoteTaken means that the witness voted for another attempt.
	VoteTaken Verdict = "taken"
	// VoteMismatch means that the key was already used for a different request.
	VoteMismatch Verdict = "mismatch"
	// VoteUncertain means that earlier claims of the key may have been lost.
	VoteUncertain Verdict = "doubt"
	// VoteStale means that the witness can't vote in the view of the requester.
	VoteStale Verdict = "stale"
)

const (
	// AgeUnit is the unit of Age.Units.
	AgeUnit = 100 * clock.Millis(1)
	// MaxAgeUnits is the maximum of Age.Units.
	MaxAgeUnits = 127
	// MaxEntryHash is the maximum of Age.EntryHash.
	MaxEntryHash = 1<<24 - 1
)

type (
	// ClaimState is the state of the attempt that holds the claim of a key.
	ClaimState string

	// Verdict is the answer of a witness to a vote request.
	Verdict string

	// Outcome is the outcome of a service call, as reported to the caller.
	Outcome string

	// Message is a message between entries. Its implementations are the types of this
	// package.
	Message interface{ isMessage() }

	// Member describes an entry in messages between entries.
	Member struct {
		Incarnation ident.Incarnation
		Domain      ident.Domain
		Address     string
		Leaving     bool
		// View is the number of the view of witnesses that the member was in when the
		// sender last received an update about it, or zero for none.
		View uint64
		// Heard is the time since the sender last received an update about the member.
		Heard clock.Millis
	}

	// Gossip is the digest that an entry publishes in one gossip round.
	Gossip struct {
		// Sum is the hash of the sender's tickets, Highest their highest number. Synced
		// reports whether the sender's state was confirmed.
		Sum     fleet.Digest
		Highest fleet.Number
		Synced  bool
		// Reply reports whether the receiver must not reply with a digest of its own.
		Reply bool
		// Round is the number of the sender's round. A reply repeats the number of the
		// round that it answers, so that a delayed reply confirms nothing.
		Round    uint64
		Members  []Member
		Suspects []Suspect
		Leaving  []ident.Endpoint
		// Ages holds the time since the sender last received an update about each entry
		// of its failure domain.
		Ages []Age
		// Views holds the highest view number known to the sender for each failure
		// domain.
		Views []ViewSeen
	}

	// Age is the time since an entry was last seen. It takes four bytes on the wire, so
	// that every digest can cover the whole failure domain.
	Age struct {
		// EntryHash is a hash of the entry's incarnation, at most MaxEntryHash.
		EntryHash uint32
		// Units is the elapsed time in units of AgeUnit, at most MaxAgeUnits.
		Units uint8
		// InView reports whether the entry was in the sender's view at that time.
		InView bool
	}

	// ViewSeen is the highest known view number of a failure domain.
	ViewSeen struct {
		Domain ident.Domain
		Number uint64
	}

	// Suspect is a prompt that was in flight on engines that died. The deaths reported
	// by several entries are merged as a set, so a death that two entries observed
	// counts once.
	Suspect struct {
		Fingerprint uint64
		Deaths      []Death
		// Cleared is the number of deaths that the prompt was found not to have caused.
		Cleared int
		// Examiner is the only entry that may run the prompt. The examiner with the
		// highest Term takes precedence.
		Examiner ident.Incarnation
		Term     uint64
	}

	// Death is the end of an engine process.
	Death struct {
		Endpoint ident.Endpoint
		Boot     uint64
		// Age is the time since the engine died.
		Age clock.Millis
		// Confirmed reports whether the engine is known to have died, as opposed to
		// only its stream having broken.
		Confirmed bool
	}

	// TicketsAsk requests tickets that the sender lacks. Have holds the sender's stamps
	// for numbers of at least From. Below is the hash of its tickets below From.
	TicketsAsk struct {
		From  fleet.Number
		Below fleet.Digest
		Have  []fleet.Stamp
	}

	// TicketsGive delivers tickets that are in force at the sender. More reports that
	// further tickets remain to be sent.
	TicketsGive struct {
		Tickets []fleet.Ticket
		More    bool
	}

	// Content is the complete content of a service call.
	Content struct {
		Method  string
		Path    string
		Type    string
		Body    []byte
		Headers []Header
	}

	// Header is one header line.
	Header struct {
		Name  string
		Value string
	}

	// Answer is the complete answer of a service.
	Answer struct {
		Status int
		Type   string
		Body   []byte
	}

	// Forward requests that another entry make a service call.
	Forward struct {
		Request      ident.Request
		Organisation ident.Organisation
		Service      ident.Service
		Key          string
		Content      Content
		Deadline     clock.Millis
		Hops         int
	}

	// Forwarded is the reply to Forward.
	Forwarded struct {
		Request ident.Request
		Result  Result
	}

	// Result is the result of a service call, as returned to the caller.
	Result struct {
		Outcome Outcome
		// Reason identifies why the outcome is not done. Its values are those of
		// action.Reason.
		Reason string
		// Replayed reports whether Answer was recorded from another attempt with the key.
		Replayed bool
		// NotSent reports that the current attempt sent nothing to an endpoint.
		NotSent bool
		Answer  Answer
	}

	// VoteAsk requests the vote of a witness.
	VoteAsk struct {
		View        uint64
		Scope       string
		Fingerprint uint64
		Attempt     ident.Attempt
		// Minted is the time at which an entry generated the key. Zero means that the
		// key comes from the caller.
		Minted    clock.Millis
		Retention clock.Millis
	}

	// VoteGive is the reply to VoteAsk. Holder, State and Answer describe the claim of
	// another attempt.
	VoteGive struct {
		View    uint64
		Scope   string
		Attempt ident.Attempt
		Verdict Verdict
		Holder  ident.Attempt
		State   ClaimState
		Answer  Answer
	}

	// VoteRelease promises that the attempt will never send the call.
	VoteRelease struct {
		Scope   string
		Attempt ident.Attempt
	}

	// Learn informs a witness of the outcome of an attempt.
	Learn struct {
		Scope       string
		Fingerprint uint64
		Attempt     ident.Attempt
		State       ClaimState
		Answer      Answer
		Retention   clock.Millis
	}

	// Claim is one claim stored by a witness, as transferred during a change of view.
	Claim struct {
		Scope       string
		Fingerprint uint64
		Attempt     ident.Attempt
		// Released is the last attempt whose dispatcher promised never to send it.
		Released  ident.Attempt
		State     ClaimState
		Answer    Answer
		Age       clock.Millis
		Retention clock.Millis
	}

	// Loss records that a view changed without the claims of some of its members. Kept
	// lists the members whose claims were handed over.
	Loss struct {
		Members []ident.Incarnation
		Kept    []ident.Incarnation
		Age     clock.Millis
	}

	// Ballot orders the proposals for the next view.
	Ballot struct {
		Round    uint64
		Proposer ident.Incarnation
	}

	// ViewPrepare requests that a member of the view stop voting and transfer its
	// claims.
	ViewPrepare struct {
		View   uint64
		Ballot Ballot
	}

	// ViewPromise is the reply to ViewPrepare. It carries all claims and losses that
	// the member stores.
	ViewPromise struct {
		View     uint64
		Ballot   Ballot
		Accepted Ballot
		Members  []ident.Incarnation
		Claims   []Claim
		Losses   []Loss
	}

	// ViewAccept proposes the members of the next view.
	ViewAccept struct {
		View    uint64
		Ballot  Ballot
		Members []ident.Incarnation
	}

	// ViewAccepted is the reply to ViewAccept.
	ViewAccepted struct {
		View   uint64
		Ballot Ballot
	}

	// ViewInstall starts a view at one of its members.
	ViewInstall struct {
		View    uint64
		Members []ident.Incarnation
		Claims  []Claim
		Losses  []Loss
	}

	// ViewInstalled is the reply to ViewInstall.
	ViewInstalled struct {
		View uint64
	}
)

func (VoteAsk) isMessage()       {}
func (VoteGive) isMessage()      {}
func (VoteRelease) isMessage()   {}
func (Learn) isMessage()         {}
func (ViewPrepare) isMessage()   {}
func (ViewPromise) isMessage()   {}
func (ViewAccept) isMessage()    {}
func (ViewAccepted) isMessage()  {}
func (ViewInstall) isMessage()   {}
func (ViewInstalled) isMessage() {}
func (Gossip) isMessage()        {}
func (TicketsAsk) isMessage()    {}
func (TicketsGive) isMessage()   {}
func (Forward) isMessage()       {}
func (Forwarded) isMessage()     {}

// Less reports whether b sorts before other, by round and then by proposer.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer.Less(other.Proposer)
}

// IsZero reports whether b is the zero ballot, which orders before any proposal.
func (b Ballot) IsZero() bool { return b.Round == 0 }
