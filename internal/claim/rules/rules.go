// Package rules names the safety rules of the claim protocol. Tests disable one rule
// at a time to show that the exploration of schedules finds the resulting violation. In
// production, all rules are enforced.
package rules

type (
	// Disabled selects the safety rules that are not enforced. The zero value enforces
	// all of them.
	Disabled struct {
		// OneVote lets a witness vote for several attempts with the same key.
		OneVote bool
		// ViewAgreement lets a witness vote for a dispatcher that has another view.
		ViewAgreement bool
		// Seal lets a witness continue to vote after it promised a ballot that
		// changes its view.
		Seal bool
		// Contact lets a witness vote without recent messages from a majority of
		// its view.
		Contact bool
		// Handover lets a new view start without the claims of the previous one.
		Handover bool
		// Majority lets any single member of a view decide on the next view.
		Majority bool
		// ClaimLoss lets a witness vote for keys whose claims may have been lost.
		ClaimLoss bool
		// Quorum lets a dispatcher send its attempt with a single vote.
		Quorum bool
		// NotRun lets a dispatcher report a call as not run without a quorum that
		// proves it.
		NotRun bool
	}
)
