package peers

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/peerpb"
)

// encodeClaiming maps the messages of votes and views.
func encodeClaiming(message msgs.Message) *peerpb.Message {
	switch message := message.(type) {
	case msgs.VoteAsk:
		return &peerpb.Message{Kind: &peerpb.Message_VoteAsk{VoteAsk: &peerpb.VoteAsk{
			View: message.View, Scope: message.Scope, Fingerprint: message.Fingerprint,
			Attempt: string(message.Attempt), MintedMillis: int64(message.Minted),
			RetentionMillis: int64(message.Retention),
		}}}
	case msgs.VoteGive:
		return &peerpb.Message{Kind: &peerpb.Message_VoteGive{VoteGive: &peerpb.VoteGive{
			View: message.View, Scope: message.Scope, Attempt: string(message.Attempt),
			Verdict: string(message.Verdict), Holder: string(message.Holder), State: string(message.State),
			Answer: encodeAnswer(message.Answer),
		}}}
	case msgs.VoteRelease:
		return &peerpb.Message{Kind: &peerpb.Message_VoteRelease{VoteRelease: &peerpb.VoteRelease{
			Scope: message.Scope, Attempt: string(message.Attempt),
		}}}
	case msgs.Learn:
		return &peerpb.Message{Kind: &peerpb.Message_Learn{Learn: &peerpb.Learn{
			Scope: message.Scope, Fingerprint: message.Fingerprint, Attempt: string(message.Attempt),
			State: string(message.State), Answer: encodeAnswer(message.Answer),
			RetentionMillis: int64(message.Retention),
		}}}
	}
	return encodeViewing(message)
}

func encodeViewing(message msgs.Message) *peerpb.Message {
	switch message := message.(type) {
	case msgs.ViewPrepare:
		return &peerpb.Message{Kind: &peerpb.Message_ViewPrepare{ViewPrepare: &peerpb.ViewPrepare{
			View: message.View, Ballot: encodeBallot(message.Ballot),
		}}}
	case msgs.ViewPromise:
		return &peerpb.Message{Kind: &peerpb.Message_ViewPromise{ViewPromise: &peerpb.ViewPromise{
			View: message.View, Ballot: encodeBallot(message.Ballot), Accepted: encodeBallot(message.Accepted),
			Members: encodeIncarnations(message.Members), Claims: encodeClaims(message.Claims),
			Losses: encodeLosses(message.Losses),
		}}}
	case msgs.ViewAccept:
		return &peerpb.Message{Kind: &peerpb.Message_ViewAccept{ViewAccept: &peerpb.ViewAccept{
			View: message.View, Ballot: encodeBallot(message.Ballot), Members: encodeIncarnations(message.Members),
		}}}
	case msgs.ViewAccepted:
		return &peerpb.Message{Kind: &peerpb.Message_ViewAccepted{ViewAccepted: &peerpb.ViewAccepted{
			View: message.View, Ballot: encodeBallot(message.Ballot),
		}}}
	case msgs.ViewInstall:
		return &peerpb.Message{Kind: &peerpb.Message_ViewInstall{ViewInstall: &peerpb.ViewInstall{
			View: message.View, Members: encodeIncarnations(message.Members),
			Claims: encodeClaims(message.Claims), Losses: encodeLosses(message.Losses),
		}}}
	case msgs.ViewInstalled:
		return &peerpb.Message{Kind: &peerpb.Message_ViewInstalled{ViewInstalled: &peerpb.ViewInstalled{
			View: message.View,
		}}}
	}
	return &peerpb.Message{}
}

// decodeClaiming maps the messages of votes and views back.
func decodeClaiming(coded *peerpb.Message) (msgs.Message, error) {
	switch kind := coded.GetKind().(type) {
	case *peerpb.Message_VoteAsk:
		ask := kind.VoteAsk
		return msgs.VoteAsk{
			View: ask.GetView(), Scope: ask.GetScope(), Fingerprint: ask.GetFingerprint(),
			Attempt: ident.Attempt(ask.GetAttempt()), Minted: clock.Millis(ask.GetMintedMillis()),
			Retention: clock.Millis(ask.GetRetentionMillis()),
		}, nil
	case *peerpb.Message_VoteGive:
		give := kind.VoteGive
		return msgs.VoteGive{
			View: give.GetView(), Scope: give.GetScope(), Attempt: ident.Attempt(give.GetAttempt()),
			Verdict: msgs.Verdict(give.GetVerdict()), Holder: ident.Attempt(give.GetHolder()),
			State: msgs.ClaimState(give.GetState()), Answer: decodeAnswer(give.GetAnswer()),
		}, nil
	case *peerpb.Message_VoteRelease:
		return msgs.VoteRelease{
			Scope: kind.VoteRelease.GetScope(), Attempt: ident.Attempt(kind.VoteRelease.GetAttempt()),
		}, nil
	case *peerpb.Message_Learn:
		learn := kind.Learn
		return msgs.Learn{
			Scope: learn.GetScope(), Fingerprint: learn.GetFingerprint(), Attempt: ident.Attempt(learn.GetAttempt()),
			State: msgs.ClaimState(learn.GetState()), Answer: decodeAnswer(learn.GetAnswer()),
			Retention: clock.Millis(learn.GetRetentionMillis()),
		}, nil
	}
	return decodeViewing(coded)
}

func decodeViewing(coded *peerpb.Message) (msgs.Message, error) {
	switch kind := coded.GetKind().(type) {
	case *peerpb.Message_ViewPrepare:
		return msgs.ViewPrepare{
			View: kind.ViewPrepare.GetView(), Ballot: decodeBallot(kind.ViewPrepare.GetBallot()),
		}, nil
	case *peerpb.Message_ViewPromise:
		promise := kind.ViewPromise
		return msgs.ViewPromise{
			View: promise.GetView(), Ballot: decodeBallot(promise.GetBallot()),
			Accepted: decodeBallot(promise.GetAccepted()), Members: decodeIncarnations(promise.GetMembers()),
			Claims: decodeClaims(promise.GetClaims()), Losses: decodeLosses(promise.GetLosses()),
		}, nil
	case *peerpb.Message_ViewAccept:
		return msgs.ViewAccept{
			View: kind.ViewAccept.GetView(), Ballot: decodeBallot(kind.ViewAccept.GetBallot()),
			Members: decodeIncarnations(kind.ViewAccept.GetMembers()),
		}, nil
	case *peerpb.Message_ViewAccepted:
		return msgs.ViewAccepted{
			View: kind.ViewAccepted.GetView(), Ballot: decodeBallot(kind.ViewAccepted.GetBallot()),
		}, nil
	case *peerpb.Message_ViewInstall:
		install := kind.ViewInstall
		return msgs.ViewInstall{
			View: install.GetView(), Members: decodeIncarnations(install.GetMembers()),
			Claims: decodeClaims(install.GetClaims()), Losses: decodeLosses(install.GetLosses()),
		}, nil
	case *peerpb.Message_ViewInstalled:
		return msgs.ViewInstalled{View: kind.ViewInstalled.GetView()}, nil
	}
	return nil, &KindError{}
}

func encodeBallot(ballot msgs.Ballot) *peerpb.Ballot {
	return &peerpb.Ballot{Round: ballot.Round, Proposer: encodeIncarnation(ballot.Proposer)}
}

func decodeBallot(coded *peerpb.Ballot) msgs.Ballot {
	return msgs.Ballot{Round: coded.GetRound(), Proposer: decodeIncarnation(coded.GetProposer())}
}

func encodeIncarnations(members []ident.Incarnation) []*peerpb.Incarnation {
	var coded []*peerpb.Incarnation
	for _, member := range members {
		coded = append(coded, encodeIncarnation(member))
	}
	return coded
}

func decodeIncarnations(coded []*peerpb.Incarnation) []ident.Incarnation {
	var members []ident.Incarnation
	for _, member := range coded {
		members = append(members, decodeIncarnation(member))
	}
	return members
}

func encodeClaims(claims []msgs.Claim) []*peerpb.Claim {
	var coded []*peerpb.Claim
	for _, claim := range claims {
		coded = append(coded, &peerpb.Claim{
			Scope: claim.Scope, Fingerprint: claim.Fingerprint, Attempt: string(claim.Attempt),
			Released: string(claim.Released), State: string(claim.State), Answer: encodeAnswer(claim.Answer),
			AgeMillis: int64(claim.Age), RetentionMillis: int64(claim.Retention),
		})
	}
	return coded
}

func decodeClaims(coded []*peerpb.Claim) []msgs.Claim {
	var claims []msgs.Claim
	for _, claim := range coded {
		claims = append(claims, msgs.Claim{
			Scope: claim.GetScope(), Fingerprint: claim.GetFingerprint(), Attempt: ident.Attempt(claim.GetAttempt()),
			Released: ident.Attempt(claim.GetReleased()), State: msgs.ClaimState(claim.GetState()),
			Answer: decodeAnswer(claim.GetAnswer()), Age: clock.Millis(claim.GetAgeMillis()),
			Retention: clock.Millis(claim.GetRetentionMillis()),
		})
	}
	return claims
}

func encodeLosses(losses []msgs.Loss) []*peerpb.Loss {
	var coded []*peerpb.Loss
	for _, loss := range losses {
		coded = append(coded, &peerpb.Loss{
			Members: encodeIncarnations(loss.Members), Kept: encodeIncarnations(loss.Kept), AgoMillis: int64(loss.Age),
		})
	}
	return coded
}

func decodeLosses(coded []*peerpb.Loss) []msgs.Loss {
	var losses []msgs.Loss
	for _, loss := range coded {
		losses = append(losses, msgs.Loss{
			Members: decodeIncarnations(loss.GetMembers()), Kept: decodeIncarnations(loss.GetKept()),
			Age: clock.Millis(loss.GetAgoMillis()),
		})
	}
	return losses
}
