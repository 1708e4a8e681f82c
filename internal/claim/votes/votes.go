// Package votes holds what a witness remembers: for each key, the one attempt
// that it voted for, and the outcome once it is known.
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
	// WitnessCount is how many members of a view witness one key.
	WitnessCount = 3
	// ClaimLimit bounds the claims that a witness remembers.
	ClaimLimit = 100_000
	// ClockSkew is how far the clocks of two entries may differ.
	ClockSkew = 1 * clock.Minute
	// DefaultRetention is how long a claim is remembered without a declaration.
	DefaultRetention = 24 * clock.Hour

	// conflicting stands in the place of an attempt when two had votes.
	conflicting ident.Attempt = "conflicting"
)

type (
	// Claim is one vote.
	Claim struct {
		Fingerprint uint64
		Attempt     ident.Attempt
		// Released is the last attempt that promised never to send.
		Released  ident.Attempt
		State     msgs.ClaimState
		Answer    msgs.Answer
		At        clock.Millis
		Retention clock.Millis
	}

	// Loss says that a view changed without the claims of some members. Keys
	// whose witnesses were too few among the kept ones are in doubt.
	Loss struct {
		Members []ident.Incarnation
		Kept    []ident.Incarnation
		At      clock.Millis
	}

	// Table is the memory of one witness.
	Table struct {
		waived rules.Waived
		claims map[string]*Claim
		losses []Loss
	}
)

// NewTable returns an empty memory.
func NewTable(waived rules.Waived) *Table {
	return &Table{waived: waived, claims: map[string]*Claim{}}
}

// Witnesses returns the members of a view that witness the key.
func Witnesses(scope string, members []ident.Incarnation) []ident.Incarnation {
	ranked := ident.RankIncarnations(scope, members)
	return ranked[:min(len(ranked), WitnessCount)]
}

// Quorum returns how many of the witnesses must vote for an attempt.
func Quorum(witnesses int) int { return witnesses/2 + 1 }

// Len returns the count of claims.
func (t *Table) Len() int { return len(t.claims) }

// Claim returns the claim of the key.
func (t *Table) Claim(scope string) (Claim, bool) {
	claim := t.claims[scope]
	if claim == nil {
		return Claim{}, false
	}
	return *claim, true
}

// Ask votes for the attempt when the key is free, and tells the claim otherwise.
func (t *Table) Ask(now clock.Millis, ask msgs.VoteAsk) msgs.VoteGive {
	give := msgs.VoteGive{View: ask.View, Scope: ask.Scope, Attempt: ask.Attempt}
	claim := t.claims[ask.Scope]
	isFree := claim == nil || claim.Attempt == ""
	switch {
	case isFree && t.IsDoubtful(ask.Scope, ask.Minted) && !t.waived.Doubt:
		give.Verdict = msgs.VoteUncertain
		return give
	case claim == nil && len(t.claims) >= ClaimLimit:
		give.Verdict = msgs.VoteStale
		return give
	case claim == nil:
		claim = &Claim{}
		t.claims[ask.Scope] = claim
	}
	switch {
	case claim.Released == ask.Attempt && ask.Attempt != "":
		give.Verdict = msgs.VoteStale
	case claim.Attempt == "" || claim.Attempt == ask.Attempt || (t.waived.OneVote && claim.State == msgs.ClaimGranted):
		claim.Fingerprint = ask.Fingerprint
		claim.Attempt = ask.Attempt
		claim.State = msgs.ClaimGranted
		claim.At = now
		claim.Retention = ask.Retention
		give.Verdict = msgs.VoteGranted
	case claim.Fingerprint != ask.Fingerprint:
		give.Verdict = msgs.VoteMismatch
	default:
		give.Verdict = msgs.VoteTaken
		give.Holder = claim.Attempt
		give.State = claim.State
		give.Answer = claim.Answer
	}
	return give
}

// Release frees the key when the attempt holds it. The attempt has promised that
// it never sends.
func (t *Table) Release(scope string, attempt ident.Attempt) {
	claim := t.claims[scope]
	if claim == nil || claim.Attempt != attempt || claim.State != msgs.ClaimGranted {
		return
	}
	claim.Attempt = ""
	claim.Released = attempt
}

// Learn records the outcome of the attempt that holds the key.
func (t *Table) Learn(now clock.Millis, learn msgs.Learn) {
	claim := t.claims[learn.Scope]
	if claim == nil {
		claim = &Claim{Attempt: learn.Attempt, Fingerprint: learn.Fingerprint, Retention: learn.Retention}
		t.claims[learn.Scope] = claim
	}
	if claim.State == msgs.ClaimDone && learn.State != msgs.ClaimDone {
		return
	}
	claim.Attempt = learn.Attempt
	claim.Fingerprint = learn.Fingerprint
	claim.State = learn.State
	claim.Answer = learn.Answer
	claim.At = now
}

// IsDoubtful reports whether a claim of the key may have been lost. A key that
// was minted after the loss, by more than the clocks may differ, is not.
func (t *Table) IsDoubtful(scope string, minted clock.Millis) bool {
	for _, loss := range t.losses {
		if minted > loss.At+ClockSkew {
			continue
		}
		if loss.covers(scope) {
			return true
		}
	}
	return false
}

// covers reports whether too few of the key's witnesses were kept to meet every
// quorum.
func (l Loss) covers(scope string) bool {
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

// AddLoss records a change of the view without some members' claims.
func (t *Table) AddLoss(loss Loss) {
	for _, known := range t.losses {
		if slices.Equal(known.Members, loss.Members) && slices.Equal(known.Kept, loss.Kept) {
			return
		}
	}
	t.losses = append(t.losses, loss)
}

// Losses returns the recorded losses.
func (t *Table) Losses() []Loss { return slices.Clone(t.losses) }

// Collect returns all claims for a hand-over, in order of their keys.
func (t *Table) Collect(now clock.Millis) []msgs.Claim {
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

// Merge takes claims of a hand-over. A known outcome goes before a vote, and a
// promise never to send frees the key. Of two different votes either may be a
// majority's, so neither attempt is ever granted the key again.
func (t *Table) Merge(now clock.Millis, claims []msgs.Claim) {
	for _, heard := range claims {
		claim := t.claims[heard.Scope]
		if claim == nil {
			claim = &Claim{At: now - heard.Age, Retention: heard.Retention}
			t.claims[heard.Scope] = claim
		}
		claim.merge(now, heard)
	}
}

func (c *Claim) merge(now clock.Millis, heard msgs.Claim) {
	if heard.Released != "" {
		c.Released = heard.Released
		if c.Attempt == heard.Released && c.State == msgs.ClaimGranted {
			c.Attempt = ""
		}
	}
	isDone := c.State == msgs.ClaimDone
	switch {
	case heard.Attempt == "" || heard.Attempt == c.Released || isDone:
	case c.Attempt == "" || c.Attempt == heard.Attempt || heard.State == msgs.ClaimDone:
		c.take(now, heard)
	default:
		c.Attempt = conflicting
		c.State = msgs.ClaimUnknown
	}
}

func (c *Claim) take(now clock.Millis, heard msgs.Claim) {
	isWeaker := c.Attempt == heard.Attempt && c.State == msgs.ClaimUnknown && heard.State == msgs.ClaimGranted
	if isWeaker {
		return
	}
	c.Fingerprint = heard.Fingerprint
	c.Attempt = heard.Attempt
	c.State = heard.State
	c.Answer = heard.Answer
	c.At = now - heard.Age
	c.Retention = heard.Retention
}

// Expire forgets claims and losses that are older than their retention.
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
