// Package msgs lists the messages that entries send one another. A message may
// be lost, late or repeated; every controller allows for that.
package msgs

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
)

// What a caller is told about a service call.
const (
	// OutcomeDone means that the call ran once; the answer is its answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the operation has not run, under any attempt.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the operation may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// What a witness knows of the attempt that holds a key.
const (
	// ClaimGranted means that the attempt may send, or may have sent.
	ClaimGranted ClaimState = "granted"
	// ClaimDone means that the attempt was answered.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that nobody will ever know whether the attempt ran.
	ClaimUnknown ClaimState = "unknown"
)

// What a witness answers.
const (
	// VoteGranted is a vote for the attempt.
	VoteGranted Verdict = "granted"
	// VoteTaken means that the witness voted for another attempt.
	VoteTaken Verdict = "taken"
	// VoteMismatch means that the key was used for another request.
	VoteMismatch Verdict = "mismatch"
	// VoteUncertain means that claims of the key may have been lost.
	VoteUncertain Verdict = "doubt"
	// VoteStale means that the witness can't vote in the asker's view.
	VoteStale Verdict = "stale"
)

const (
	// AgeUnit is the unit of Age.Units.
	AgeUnit = 100 * clock.Millis(1)
	// MaxAgeUnits bounds Age.Units.
	MaxAgeUnits = 127
	// MaxEntryHash bounds Age.Mark.
	MaxEntryHash = 1<<24 - 1
)

type (
	// ClaimState is what a witness knows of the attempt that holds a key.
	ClaimState string

	// Verdict is what a witness answers.
	Verdict string

	// Outcome is what a caller is told about a service call.
	Outcome string

	// Message is one message: one of the types of this package.
	Message interface{ isMessage() }

	// Member is what entries tell one another about an entry.
	Member struct {
		Incarnation ident.Incarnation
		Domain      ident.Domain
		Address     string
		Leaving     bool
		// View is the number of the member's view of witnesses when it was heard of.
		View uint64
		// Heard is how long ago the sender heard of the member.
		Heard clock.Millis
	}

	// Gossip is one round's digest.
	Gossip struct {
		Sum     fleet.Digest
		Highest fleet.Number
		Synced  bool
		Reply   bool
		// Round names the sender's round; a reply repeats the number that it
		// answers, so that a late message confirms nothing.
		Round    uint64
		Members  []Member
		Suspects []Suspect
		Leaving  []ident.Endpoint
		// Ages tells how long ago the entries of the sender's failure domain were
		// heard.
		Ages []Age
		// Views are the highest view numbers that the sender ever heard of.
		Views []ViewSeen
	}

	// Age tells how long ago an entry was heard, in four bytes on the wire, so that
	// every digest can carry the whole failure domain.
	Age struct {
		// EntryHash is a hash of the entry's incarnation, up to MaxMark.
		EntryHash uint32
		// Units is the time since, in units of AgeUnit, up to MaxAge.
		Units uint8
		// InView says that the entry was in the sender's view then.
		InView bool
	}

	// ViewSeen is the highest view number of a failure domain.
	ViewSeen struct {
		Domain ident.Domain
		Number uint64
	}

	// Suspect is a prompt that ran on engines that died. Deaths of several
	// entries are merged as a set, so a death that two entries saw counts once.
	Suspect struct {
		Fingerprint uint64
		Deaths      []Death
		// Cleared is how many deaths the prompt was found innocent of.
		Cleared int
		// Examiner is the only entry that may run the prompt; a higher Term wins.
		Examiner ident.Incarnation
		Term     uint64
	}

	// Death is the end of one life of an engine.
	Death struct {
		Endpoint ident.Endpoint
		Boot     uint64
		// Age is how long ago the engine died.
		Age clock.Millis
		// Confirmed says that the engine was found dead, not just its stream broken.
		Confirmed bool
	}

	// TicketsAsk asks for tickets that the sender lacks. Have lists the sender's
	// stamps from number From on; Below is the hash of its tickets before From.
	TicketsAsk struct {
		From  fleet.Number
		Below fleet.Digest
		Have  []fleet.Stamp
	}

	// TicketsGive brings tickets that are in force at the sender.
	TicketsGive struct {
		Tickets []fleet.Ticket
		More    bool
	}

	// Content is the whole of a service call.
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

	// Answer is the whole answer of a service.
	Answer struct {
		Status int
		Type   string
		Body   []byte
	}

	// Forward asks another entry to make a service call.
	Forward struct {
		Request      ident.Request
		Organisation ident.Organisation
		Service      ident.Service
		Key          string
		Content      Content
		Deadline     clock.Millis
		Hops         int
	}

	// Forwarded answers Forward.
	Forwarded struct {
		Request ident.Request
		Result  Result
	}

	// Result is what a caller is told about a service call.
	Result struct {
		Outcome Outcome
		// Reason names why the outcome is not done; see package failure.
		Reason string
		// Replayed says that Answer comes from an earlier attempt.
		Replayed bool
		// NotSent says that the attempt at hand sent nothing to an endpoint.
		NotSent bool
		Answer  Answer
	}

	// VoteAsk asks a witness for its vote.
	VoteAsk struct {
		View        uint64
		Scope       string
		Fingerprint uint64
		Attempt     ident.Attempt
		// Minted is when an entry minted the key; zero means that none did.
		Minted    clock.Millis
		Retention clock.Millis
	}

	// VoteGive answers VoteAsk. Holder, State and Answer tell the claim of
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

	// VoteRelease promises that the attempt never sends.
	VoteRelease struct {
		Scope   string
		Attempt ident.Attempt
	}

	// Learn tells a witness the outcome of an attempt.
	Learn struct {
		Scope       string
		Fingerprint uint64
		Attempt     ident.Attempt
		State       ClaimState
		Answer      Answer
		Retention   clock.Millis
	}

	// Claim is one row of a witness's memory in a hand-over.
	Claim struct {
		Scope       string
		Fingerprint uint64
		Attempt     ident.Attempt
		Released    ident.Attempt
		State       ClaimState
		Answer      Answer
		Age         clock.Millis
		Retention   clock.Millis
	}

	// Loss is a change of view without some members' claims, in a hand-over.
	Loss struct {
		Members []ident.Incarnation
		Kept    []ident.Incarnation
		Age     clock.Millis
	}

	// Ballot orders the proposals for one next view.
	Ballot struct {
		Round    uint64
		Proposer ident.Incarnation
	}

	// ViewPrepare asks a member of the view to stop voting and to hand over.
	ViewPrepare struct {
		View   uint64
		Ballot Ballot
	}

	// ViewPromise answers ViewPrepare with all that the member remembers.
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

	// ViewAccepted answers ViewAccept.
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

	// ViewInstalled answers ViewInstall.
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

// Less orders ballots by round, then proposer.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer.Less(other.Proposer)
}

// IsZero reports whether b is no ballot.
func (b Ballot) IsZero() bool { return b.Round == 0 }
