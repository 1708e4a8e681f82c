// Package quorum implements the dispatcher's side of a claim on an idempotency key. The
// dispatcher is the entry that sends the call to an endpoint. It collects the votes of
// the key's witnesses and decides whether the attempt may be sent.
package quorum

import (
	"slices"

	"mustardhook/internal/claim/rules"
	"mustardhook/internal/claim/votes"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

const (
	// RoundTimeout is how long a round waits for votes and how long after its start
	// the attempt may still be sent.
	RoundTimeout = 1 * clock.Second
)

// Statuses of a round.
const (
	// Pending means that more votes are needed to decide.
	Pending Status = iota
	// Granted means that a quorum voted for the attempt, which may now be sent.
	Granted
	// Completed means that another attempt with the key was answered.
	Completed
	// Held means that another attempt holds the key.
	Held
	// Unknown means that another attempt may have run and that its outcome can no
	// longer be determined.
	Unknown
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Uncertain means that earlier claims of the key may have been lost.
	Uncertain
	// NoQuorum means that the round ended without a quorum.
	NoQuorum
)

type (
	// Status is the status of a round of votes.
	Status int

	// Round collects the votes of a key's witnesses for one attempt.
	Round struct {
		disabled  rules.Disabled
		request   msgs.VoteAsk
		witnesses []ident.Incarnation
		startedAt clock.Millis
		replies   map[ident.Incarnation]msgs.VoteGive
	}
)

// NewRound returns a round that starts now, for the votes of the witnesses on the
// request. The caller sends the request to them.
func NewRound(now clock.Millis, request msgs.VoteAsk, witnesses []ident.Incarnation, disabled rules.Disabled) *Round {
	return &Round{
		disabled: disabled, request: request, witnesses: witnesses, startedAt: now, replies: map[ident.Incarnation]msgs.VoteGive{},
	}
}

// Request returns the vote request to send to each witness.
func (r *Round) Request() msgs.VoteAsk { return r.request }

// Witnesses returns the witnesses whose votes count in this round.
func (r *Round) Witnesses() []ident.Incarnation { return r.witnesses }

// AddVote records the reply of a witness. It ignores replies to other rounds and
// those of entries that are not witnesses of the key.
func (r *Round) AddVote(from ident.Incarnation, reply msgs.VoteGive) {
	if reply.Attempt == r.request.Attempt && reply.Scope == r.request.Scope && slices.Contains(r.witnesses, from) {
		r.replies[from] = reply
	}
}

// Answer returns the answer of a completed attempt with the key, or the zero Answer if no
// witness reported one.
func (r *Round) Answer() msgs.Answer {
	for _, witness := range r.witnesses {
		if reply := r.replies[witness]; reply.Verdict == msgs.VoteTaken && reply.State == msgs.ClaimDone {
			return reply.Answer
		}
	}
	return msgs.Answer{}
}

// Holder returns the other attempt that most witnesses voted for, or an empty name
// if there is none.
func (r *Round) Holder() ident.Attempt {
	counts := map[ident.Attempt]int{}
	var holder ident.Attempt
	for _, witness := range r.witnesses {
		reply := r.replies[witness]
		if reply.Verdict != msgs.VoteTaken {
			continue
		}
		counts[reply.Holder]++
		if holder == "" || counts[reply.Holder] > counts[holder] {
			holder = reply.Holder
		}
	}
	return holder
}

// Status returns the status of the round at the time now.
func (r *Round) Status(now clock.Millis) Status {
	quorum := votes.Quorum(len(r.witnesses))
	if r.disabled.Quorum {
		quorum = 1
	}
	counts := map[msgs.Verdict]int{}
	holders := map[ident.Attempt]int{}
	for _, witness := range r.witnesses {
		reply := r.replies[witness]
		counts[reply.Verdict]++
		if reply.Verdict != msgs.VoteTaken {
			continue
		}
		if reply.State == msgs.ClaimDone {
			return Completed
		}
		if reply.State == msgs.ClaimUnknown {
			return Unknown
		}
		holders[reply.Holder]++
	}
	isLate := now-r.startedAt > RoundTimeout
	switch {
	case counts[msgs.VoteMismatch] > 0:
		return Mismatch
	case counts[msgs.VoteGranted] >= quorum && !isLate:
		return Granted
	case hasQuorum(holders, quorum):
		return Held
	case counts[msgs.VoteUncertain] > len(r.witnesses)-quorum:
		return Uncertain
	case isLate || len(r.replies) == len(r.witnesses):
		return NoQuorum
	}
	return Pending
}

// ProvesNotRun reports whether the votes prove that no other attempt with the key has
// run. This is the case if a quorum voted for this attempt.
func (r *Round) ProvesNotRun() bool {
	granted := 0
	for _, reply := range r.replies {
		if reply.Verdict == msgs.VoteGranted {
			granted++
		}
	}
	return granted >= votes.Quorum(len(r.witnesses)) || r.disabled.NotRun
}

// hasQuorum reports whether one of the holders has at least quorum votes.
func hasQuorum(holders map[ident.Attempt]int, quorum int) bool {
	for _, count := range holders {
		if count >= quorum {
			return true
		}
	}
	return false
}
