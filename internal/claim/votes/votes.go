// Package votes implements the claim table of a witness. For each idempotency key, it
// holds the one attempt that the witness voted for and, once known, its outcome.
package votes

import (
	"maps"
	"slices"

	"mustardhook/internal/claim/rules"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

const (
	// WitnessCount is how many members of a view act as witnesses of one key.
	WitnessCount = 3
	// MaxClaims bounds the number of claims that a witness keeps. When it is reached,
	// the witness refuses votes on new keys.
	MaxClaims = 100_000
	// MaxClockSkew is the largest difference allowed between the clocks of two entries.
	MaxClockSkew = 1 * clock.Minute
	// DefaultRetention is how long a claim is kept if the service declares no
	// retention of its own.
	DefaultRetention = 24 * clock.Hour

	// conflicting replaces the name of the attempt when two attempts with the same
	// key have received votes.
	conflicting ident.Attempt = "conflicting"
)

type (
	// Claim is the vote of a witness on one key, with the outcome of the attempt.
	Claim struct {
		Fingerprint uint64
		Attempt     ident.Attempt
		// Released is the last attempt whose dispatcher promised never to send it.
		Released ident.Attempt
		State    msgs.ClaimState
		Answer   msgs.Answer
		// At is the time of the vote, or of the outcome once it is recorded.
		At        clock.Millis
		Retention clock.Millis
	}

	// Loss records that a view changed without the claims of some of its members.
	// A key is uncertain if too few of its witnesses are among the members in Kept.
	Loss struct {
		Members []ident.Incarnation
		Kept    []ident.Incarnation
		At      clock.Millis
	}

	// Table holds the claims of one witness and the losses that it knows of.
	Table struct {
		disabled rules.Disabled
		claims   map[string]*Claim
		losses   []Loss
	}
)

// NewTable returns an empty table.
func NewTable(disabled rules.Disabled) *Table {
	return &Table{disabled: disabled, claims: map[string]*Claim{}}
}

// Witnesses returns the members of a view that are witnesses of the key, in order of
// preference.
func Witnesses(scope string, members []ident.Incarnation) []ident.Incarnation {
	ranked := ident.RankIncarnations(scope, members)
	return ranked[:min(len(ranked), WitnessCount)]
}

// Quorum returns how many of the witnesses must vote for an attempt before it is sent.
func Quorum(witnesses int) int { return witnesses/2 + 1 }

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// Claim returns the claim of the key, and false if there is none.
func (t *Table) Claim(scope string) (Claim, bool) {
	claim := t.claims[scope]
	if claim == nil {
		return Claim{}, false
	}
	return *claim, true
}

// Vote grants the attempt the key if the key is free, and otherwise returns the reason
// for refusing it, with the claim of the attempt that holds the key.
func (t *Table) Vote(now clock.Millis, request msgs.VoteAsk) msgs.VoteGive {
	reply := msgs.VoteGive{View: request.View, Scope: request.Scope, Attempt: request.Attempt}
	claim := t.claims[request.Scope]
	isFree := claim == nil || claim.Attempt == ""
	switch {
	case isFree && t.IsUncertain(request.Scope, request.Minted) && !t.disabled.ClaimLoss:
		reply.Verdict = msgs.VoteUncertain
		return reply
	case claim == nil && len(t.claims) >= MaxClaims:
		reply.Verdict = msgs.VoteStale
		return reply
	case claim == nil:
		claim = &Claim{}
		t.claims[request.Scope] = claim
	}
	switch {
	case claim.Released == request.Attempt && request.Attempt != "":
		reply.Verdict = msgs.VoteStale
	case claim.Attempt == "" || claim.Attempt == request.Attempt || (t.disabled.OneVote && claim.State == msgs.ClaimGranted):
		claim.Fingerprint = request.Fingerprint
		claim.Attempt = request.Attempt
		claim.State = msgs.ClaimGranted
		claim.At = now
		claim.Retention = request.Retention
		reply.Verdict = msgs.VoteGranted
	case claim.Fingerprint != request.Fingerprint:
		reply.Verdict = msgs.VoteMismatch
	default:
		reply.Verdict = msgs.VoteTaken
		reply.Holder = claim.Attempt
		reply.State = claim.State
		reply.Answer = claim.Answer
	}
	return reply
}

// Release frees the key if the attempt holds it. The dispatcher has promised that it
// never sends the attempt.
func (t *Table) Release(scope string, attempt ident.Attempt) {
	claim := t.claims[scope]
	if claim == nil || claim.Attempt != attempt || claim.State != msgs.ClaimGranted {
		return
	}
	claim.Attempt = ""
	claim.Released = attempt
}

// Learn records the outcome of the attempt that holds the key. A recorded answer is
// never replaced by an unknown outcome.
func (t *Table) Learn(now clock.Millis, outcome msgs.Learn) {
	claim := t.claims[outcome.Scope]
	if claim == nil {
		claim = &Claim{Attempt: outcome.Attempt, Fingerprint: outcome.Fingerprint, Retention: outcome.Retention}
		t.claims[outcome.Scope] = claim
	}
	if claim.State == msgs.ClaimDone && outcome.State != msgs.ClaimDone {
		return
	}
	claim.Attempt = outcome.Attempt
	claim.Fingerprint = outcome.Fingerprint
	claim.State = outcome.State
	claim.Answer = outcome.Answer
	claim.At = now
}

// IsUncertain reports whether a claim of the key may have been lost. A key that was
// minted more than MaxClockSkew after a loss is not affected by it.
func (t *Table) IsUncertain(scope string, minted clock.Millis) bool {
	for _, loss := range t.losses {
		if minted > loss.At+MaxClockSkew {
			continue
		}
		if loss.affects(scope) {
			return true
		}
	}
	return false
}

// affects reports whether a claim of the key may have been lost: so few of its witnesses
// handed over their claims that the others alone could be a quorum.
func (l Loss) affects(scope string) bool {
	witnesses := Witnesses(scope, l.Members)
	kept := 0
	for _, witness := range witnesses {
		if slices.Contains(l.Kept, witness) {
			kept++
		}
	}
	needed := len(witnesses) - Quorum(len(witnesses)) + 1
	return kept < needed || len(witnesses) == 0
}

// AddLoss records a loss, unless one with equal Members and Kept is already recorded.
func (t *Table) AddLoss(loss Loss) {
	for _, recorded := range t.losses {
		if slices.Equal(recorded.Members, loss.Members) && slices.Equal(recorded.Kept, loss.Kept) {
			return
		}
	}
	t.losses = append(t.losses, loss)
}

// Losses returns a copy of the recorded losses.
func (t *Table) Losses() []Loss { return slices.Clone(t.losses) }

// Export returns all claims for the handover to another view, sorted by key. Ages are
// relative to now.
func (t *Table) Export(now clock.Millis) []msgs.Claim {
	claims := make([]msgs.Claim, 0, len(t.claims))
	for _, scope := range slices.Sorted(maps.Keys(t.claims)) {
		claim := t.claims[scope]
		claims = append(claims, msgs.Claim{
			Scope: scope, Fingerprint: claim.Fingerprint, Attempt: claim.Attempt, Released: claim.Released,
			State: claim.State, Answer: claim.Answer, Age: now - claim.At, Retention: claim.Retention,
		})
	}
	return claims
}

// Merge adds the claims of a handover. A known outcome takes precedence over a vote,
// and a promise never to send frees the key. If two attempts had votes, either may
// have had a quorum, so neither is granted the key from then on.
func (t *Table) Merge(now clock.Millis, claims []msgs.Claim) {
	for _, received := range claims {
		claim := t.claims[received.Scope]
		if claim == nil {
			claim = &Claim{At: now - received.Age, Retention: received.Retention}
			t.claims[received.Scope] = claim
		}
		claim.merge(now, received)
	}
}

func (c *Claim) merge(now clock.Millis, received msgs.Claim) {
	if received.Released != "" {
		c.Released = received.Released
		if c.Attempt == received.Released && c.State == msgs.ClaimGranted {
			c.Attempt = ""
		}
	}
	isDone := c.State == msgs.ClaimDone
	switch {
	case received.Attempt == "" || received.Attempt == c.Released || isDone:
	case c.Attempt == "" || c.Attempt == received.Attempt || received.State == msgs.ClaimDone:
		c.replace(now, received)
	default:
		c.Attempt = conflicting
		c.State = msgs.ClaimUnknown
	}
}

func (c *Claim) replace(now clock.Millis, received msgs.Claim) {
	isWeaker := c.Attempt == received.Attempt && c.State == msgs.ClaimUnknown && received.State == msgs.ClaimGranted
	if isWeaker {
		return
	}
	c.Fingerprint = received.Fingerprint
	c.Attempt = received.Attempt
	c.State = received.State
	c.Answer = received.Answer
	c.At = now - received.Age
	c.Retention = received.Retention
}

// Expire removes claims and losses that are older than their retention.
func (t *Table) Expire(now clock.Millis) {
	for scope, claim := range t.claims {
		retention := claim.Retention
		if retention == 0 {
			retention = DefaultRetention
		}
		if now-claim.At > retention {
			delete(t.claims, scope)
		}
	}
	t.losses = slices.DeleteFunc(t.losses, func(loss Loss) bool { return now-loss.At > DefaultRetention })
}
