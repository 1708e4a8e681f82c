// Package peers maps messages between entries to their protocol buffers.
package peers

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/peerpb"
	"mustardhook/internal/wire/ticket"
)

const (
	markShift = 8
	unitShift = 1
	inViewBit = 1
)

type (
	// KindError says that a message is of no kind that this version knows.
	KindError struct{}
)

// Error returns the text of the fault.
func (*KindError) Error() string { return "message of an unknown kind" }

// EncodeEnvelope maps messages of one sender.
func EncodeEnvelope(from msgs.Member, messages []msgs.Message) *peerpb.Envelope {
	envelope := &peerpb.Envelope{From: encodeMember(from)}
	for _, message := range messages {
		envelope.Messages = append(envelope.Messages, Encode(message))
	}
	return envelope
}

// DecodeEnvelope maps an envelope back. A message of an unknown kind, from a
// newer version, is passed over.
func DecodeEnvelope(envelope *peerpb.Envelope) (msgs.Member, []msgs.Message) {
	var messages []msgs.Message
	for _, coded := range envelope.GetMessages() {
		if message, err := Decode(coded); err == nil {
			messages = append(messages, message)
		}
	}
	return DecodeMember(envelope.GetFrom()), messages
}

// Encode maps one message.
func Encode(message msgs.Message) *peerpb.Message {
	switch message := message.(type) {
	case msgs.Gossip:
		return &peerpb.Message{Kind: &peerpb.Message_Gossip{Gossip: encodeGossip(message)}}
	case msgs.TicketsAsk:
		return &peerpb.Message{Kind: &peerpb.Message_TicketsAsk{TicketsAsk: encodeAsk(message)}}
	case msgs.TicketsGive:
		return &peerpb.Message{Kind: &peerpb.Message_TicketsGive{TicketsGive: encodeGive(message)}}
	case msgs.Forward:
		return &peerpb.Message{Kind: &peerpb.Message_Forward{Forward: encodeForward(message)}}
	case msgs.Forwarded:
		return &peerpb.Message{Kind: &peerpb.Message_Forwarded{Forwarded: &peerpb.Forwarded{
			Request: string(message.Request), Result: encodeResult(message.Result),
		}}}
	}
	return encodeClaiming(message)
}

// Decode maps one message back.
func Decode(coded *peerpb.Message) (msgs.Message, error) {
	switch kind := coded.GetKind().(type) {
	case *peerpb.Message_Gossip:
		return decodeGossip(kind.Gossip), nil
	case *peerpb.Message_TicketsAsk:
		return decodeAsk(kind.TicketsAsk), nil
	case *peerpb.Message_TicketsGive:
		return decodeGive(kind.TicketsGive)
	case *peerpb.Message_Forward:
		return decodeForward(kind.Forward), nil
	case *peerpb.Message_Forwarded:
		return msgs.Forwarded{
			Request: ident.Request(kind.Forwarded.GetRequest()),
			Result:  decodeResult(kind.Forwarded.GetResult()),
		}, nil
	}
	return decodeClaiming(coded)
}

func encodeIncarnation(incarnation ident.Incarnation) *peerpb.Incarnation {
	return &peerpb.Incarnation{Entry: string(incarnation.Entry), Epoch: incarnation.Epoch}
}

func decodeIncarnation(coded *peerpb.Incarnation) ident.Incarnation {
	return ident.Incarnation{Entry: ident.Entry(coded.GetEntry()), Epoch: coded.GetEpoch()}
}

func encodeMember(member msgs.Member) *peerpb.Member {
	return &peerpb.Member{
		Incarnation: encodeIncarnation(member.Incarnation),
		Domain:      string(member.Domain),
		Address:     member.Address,
		Leaving:     member.Leaving,
		HeardMillis: int64(member.Heard),
		View:        member.View,
	}
}

// DecodeMember maps what is told about an entry back.
func DecodeMember(coded *peerpb.Member) msgs.Member {
	return msgs.Member{
		Incarnation: decodeIncarnation(coded.GetIncarnation()),
		Domain:      ident.Domain(coded.GetDomain()),
		Address:     coded.GetAddress(),
		Leaving:     coded.GetLeaving(),
		Heard:       clock.Millis(coded.GetHeardMillis()),
		View:        coded.GetView(),
	}
}

func encodeGossip(gossip msgs.Gossip) *peerpb.Gossip {
	coded := &peerpb.Gossip{
		Sum: uint64(gossip.Sum), Highest: uint64(gossip.Highest), Synced: gossip.Synced, Reply: gossip.Reply,
		Round: gossip.Round, Ages: encodeAges(gossip.Ages),
	}
	for _, member := range gossip.Members {
		coded.Members = append(coded.Members, encodeMember(member))
	}
	for _, suspect := range gossip.Suspects {
		coded.Suspects = append(coded.Suspects, encodeSuspect(suspect))
	}
	for _, endpoint := range gossip.Leaving {
		coded.Leaving = append(coded.Leaving, string(endpoint))
	}
	for _, seen := range gossip.Views {
		coded.Views = append(coded.Views, &peerpb.ViewSeen{Domain: string(seen.Domain), Number: seen.Number})
	}
	return coded
}

func decodeGossip(coded *peerpb.Gossip) msgs.Gossip {
	gossip := msgs.Gossip{
		Sum: fleet.Digest(coded.GetSum()), Highest: fleet.Number(coded.GetHighest()),
		Synced: coded.GetSynced(), Reply: coded.GetReply(), Round: coded.GetRound(), Ages: decodeAges(coded.GetAges()),
	}
	for _, member := range coded.GetMembers() {
		gossip.Members = append(gossip.Members, DecodeMember(member))
	}
	for _, suspect := range coded.GetSuspects() {
		gossip.Suspects = append(gossip.Suspects, decodeSuspect(suspect))
	}
	for _, endpoint := range coded.GetLeaving() {
		gossip.Leaving = append(gossip.Leaving, ident.Endpoint(endpoint))
	}
	for _, seen := range coded.GetViews() {
		gossip.Views = append(gossip.Views, msgs.ViewSeen{
			Domain: ident.Domain(seen.GetDomain()), Number: seen.GetNumber(),
		})
	}
	return gossip
}

// encodeAges packs each age into 32 bits: mark, units and the view's bit.
func encodeAges(ages []msgs.Age) []uint32 {
	var coded []uint32
	for _, age := range ages {
		packed := age.EntryHash<<markShift | uint32(age.Units)<<unitShift
		if age.InView {
			packed |= inViewBit
		}
		coded = append(coded, packed)
	}
	return coded
}

func decodeAges(coded []uint32) []msgs.Age {
	var ages []msgs.Age
	for _, packed := range coded {
		ages = append(ages, msgs.Age{
			EntryHash: packed >> markShift, Units: uint8(packed >> unitShift & msgs.MaxAgeUnits), InView: packed&inViewBit != 0,
		})
	}
	return ages
}

func encodeSuspect(suspect msgs.Suspect) *peerpb.Suspect {
	coded := &peerpb.Suspect{
		Fingerprint: suspect.Fingerprint, Cleared: uint32(suspect.Cleared),
		Examiner: encodeIncarnation(suspect.Examiner), Term: suspect.Term,
	}
	for _, death := range suspect.Deaths {
		coded.Deaths = append(coded.Deaths, &peerpb.Death{
			Endpoint: string(death.Endpoint), Boot: death.Boot, AgoMillis: int64(death.Age),
			Confirmed: death.Confirmed,
		})
	}
	return coded
}

func decodeSuspect(coded *peerpb.Suspect) msgs.Suspect {
	suspect := msgs.Suspect{
		Fingerprint: coded.GetFingerprint(), Cleared: int(coded.GetCleared()),
		Examiner: decodeIncarnation(coded.GetExaminer()), Term: coded.GetTerm(),
	}
	for _, death := range coded.GetDeaths() {
		suspect.Deaths = append(suspect.Deaths, msgs.Death{
			Endpoint: ident.Endpoint(death.GetEndpoint()), Boot: death.GetBoot(),
			Age: clock.Millis(death.GetAgoMillis()), Confirmed: death.GetConfirmed(),
		})
	}
	return suspect
}

func encodeAsk(ask msgs.TicketsAsk) *peerpb.TicketsAsk {
	coded := &peerpb.TicketsAsk{From: uint64(ask.From), Below: uint64(ask.Below)}
	for _, stamp := range ask.Have {
		coded.Have = append(coded.Have, &peerpb.Stamp{Number: uint64(stamp.Number), Digest: uint64(stamp.Digest)})
	}
	return coded
}

func decodeAsk(coded *peerpb.TicketsAsk) msgs.TicketsAsk {
	ask := msgs.TicketsAsk{From: fleet.Number(coded.GetFrom()), Below: fleet.Digest(coded.GetBelow())}
	for _, stamp := range coded.GetHave() {
		ask.Have = append(ask.Have, fleet.Stamp{
			Number: fleet.Number(stamp.GetNumber()), Digest: fleet.Digest(stamp.GetDigest()),
		})
	}
	return ask
}

func encodeGive(give msgs.TicketsGive) *peerpb.TicketsGive {
	coded := &peerpb.TicketsGive{More: give.More}
	for _, ticket := range give.Tickets {
		coded.Texts = append(coded.Texts, ticket.Text)
	}
	return coded
}

// decodeGive parses the tickets again, so that a damaged one is never merged.
func decodeGive(coded *peerpb.TicketsGive) (msgs.Message, error) {
	give := msgs.TicketsGive{More: coded.GetMore()}
	for _, text := range coded.GetTexts() {
		parsed, err := ticket.Parse("peer", text)
		if err != nil {
			return nil, err
		}
		give.Tickets = append(give.Tickets, parsed)
	}
	return give, nil
}

func encodeForward(forward msgs.Forward) *peerpb.Forward {
	return &peerpb.Forward{
		Request:        string(forward.Request),
		Organisation:   string(forward.Organisation),
		Service:        string(forward.Service),
		Key:            forward.Key,
		Content:        encodeContent(forward.Content),
		DeadlineMillis: int64(forward.Deadline),
		Hops:           int32(forward.Hops),
	}
}

func decodeForward(coded *peerpb.Forward) msgs.Forward {
	return msgs.Forward{
		Request:      ident.Request(coded.GetRequest()),
		Organisation: ident.Organisation(coded.GetOrganisation()),
		Service:      ident.Service(coded.GetService()),
		Key:          coded.GetKey(),
		Content:      decodeContent(coded.GetContent()),
		Deadline:     clock.Millis(coded.GetDeadlineMillis()),
		Hops:         int(coded.GetHops()),
	}
}

func encodeContent(content msgs.Content) *peerpb.Content {
	coded := &peerpb.Content{Method: content.Method, Path: content.Path, Type: content.Type, Body: content.Body}
	for _, header := range content.Headers {
		coded.Headers = append(coded.Headers, &peerpb.Header{Name: header.Name, Value: header.Value})
	}
	return coded
}

func decodeContent(coded *peerpb.Content) msgs.Content {
	content := msgs.Content{
		Method: coded.GetMethod(), Path: coded.GetPath(), Type: coded.GetType(), Body: coded.GetBody(),
	}
	for _, header := range coded.GetHeaders() {
		content.Headers = append(content.Headers, msgs.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return content
}

func encodeAnswer(answer msgs.Answer) *peerpb.Answer {
	return &peerpb.Answer{Status: int32(answer.Status), Type: answer.Type, Body: answer.Body}
}

func decodeAnswer(coded *peerpb.Answer) msgs.Answer {
	return msgs.Answer{Status: int(coded.GetStatus()), Type: coded.GetType(), Body: coded.GetBody()}
}

func encodeResult(result msgs.Result) *peerpb.Result {
	return &peerpb.Result{
		Outcome: string(result.Outcome), Reason: result.Reason, Replayed: result.Replayed,
		NotSent: result.NotSent, Answer: encodeAnswer(result.Answer),
	}
}

func decodeResult(coded *peerpb.Result) msgs.Result {
	return msgs.Result{
		Outcome: msgs.Outcome(coded.GetOutcome()), Reason: coded.GetReason(), Replayed: coded.GetReplayed(),
		NotSent: coded.GetNotSent(), Answer: decodeAnswer(coded.GetAnswer()),
	}
}
