// Package peers converts messages between entries to and from protocol buffers.
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
	hashShift  = 8
	unitsShift = 1
	inViewBit  = 1
)

type (
	// UnknownKindError reports a message of a kind that this version does not know.
	UnknownKindError struct{}
)

// Error returns the text of the error.
func (*UnknownKindError) Error() string { return "unknown kind of peer message" }

// EncodeEnvelope encodes messages of one sender.
func EncodeEnvelope(from msgs.Member, messages []msgs.Message) *peerpb.Envelope {
	envelope := &peerpb.Envelope{From: encodeMember(from)}
	for _, message := range messages {
		envelope.Messages = append(envelope.Messages, Encode(message))
	}
	return envelope
}

// DecodeEnvelope returns the sender and the messages of an envelope. It skips messages
// that can't be decoded, such as those of a kind that only newer versions know.
func DecodeEnvelope(envelope *peerpb.Envelope) (msgs.Member, []msgs.Message) {
	var messages []msgs.Message
	for _, encoded := range envelope.GetMessages() {
		if message, err := Decode(encoded); err == nil {
			messages = append(messages, message)
		}
	}
	return decodeMember(envelope.GetFrom()), messages
}

// Encode encodes one message.
func Encode(message msgs.Message) *peerpb.Message {
	switch message := message.(type) {
	case msgs.Gossip:
		return &peerpb.Message{Kind: &peerpb.Message_Gossip{Gossip: encodeGossip(message)}}
	case msgs.TicketsAsk:
		return &peerpb.Message{Kind: &peerpb.Message_TicketsAsk{TicketsAsk: encodeTicketsAsk(message)}}
	case msgs.TicketsGive:
		return &peerpb.Message{Kind: &peerpb.Message_TicketsGive{TicketsGive: encodeTicketsGive(message)}}
	case msgs.Forward:
		return &peerpb.Message{Kind: &peerpb.Message_Forward{Forward: encodeForward(message)}}
	case msgs.Forwarded:
		return &peerpb.Message{Kind: &peerpb.Message_Forwarded{Forwarded: &peerpb.Forwarded{
			Request: string(message.Request), Result: encodeResult(message.Result),
		}}}
	}
	return encodeVoteMessage(message)
}

// Decode decodes one message. It fails with an *UnknownKindError, or with strict.FileErrors
// if a ticket in the message is invalid.
func Decode(encoded *peerpb.Message) (msgs.Message, error) {
	switch kind := encoded.GetKind().(type) {
	case *peerpb.Message_Gossip:
		return decodeGossip(kind.Gossip), nil
	case *peerpb.Message_TicketsAsk:
		return decodeTicketsAsk(kind.TicketsAsk), nil
	case *peerpb.Message_TicketsGive:
		return decodeTicketsGive(kind.TicketsGive)
	case *peerpb.Message_Forward:
		return decodeForward(kind.Forward), nil
	case *peerpb.Message_Forwarded:
		return msgs.Forwarded{
			Request: ident.Request(kind.Forwarded.GetRequest()),
			Result:  decodeResult(kind.Forwarded.GetResult()),
		}, nil
	}
	return decodeVoteMessage(encoded)
}

func encodeIncarnation(incarnation ident.Incarnation) *peerpb.Incarnation {
	return &peerpb.Incarnation{Entry: string(incarnation.Entry), Epoch: incarnation.Epoch}
}

func decodeIncarnation(encoded *peerpb.Incarnation) ident.Incarnation {
	return ident.Incarnation{Entry: ident.Entry(encoded.GetEntry()), Epoch: encoded.GetEpoch()}
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

func decodeMember(encoded *peerpb.Member) msgs.Member {
	return msgs.Member{
		Incarnation: decodeIncarnation(encoded.GetIncarnation()),
		Domain:      ident.Domain(encoded.GetDomain()),
		Address:     encoded.GetAddress(),
		Leaving:     encoded.GetLeaving(),
		Heard:       clock.Millis(encoded.GetHeardMillis()),
		View:        encoded.GetView(),
	}
}

func encodeGossip(gossip msgs.Gossip) *peerpb.Gossip {
	encoded := &peerpb.Gossip{
		Sum: uint64(gossip.Sum), Highest: uint64(gossip.Highest), Synced: gossip.Synced, Reply: gossip.Reply,
		Round: gossip.Round, Ages: encodeAges(gossip.Ages),
	}
	for _, member := range gossip.Members {
		encoded.Members = append(encoded.Members, encodeMember(member))
	}
	for _, suspect := range gossip.Suspects {
		encoded.Suspects = append(encoded.Suspects, encodeSuspect(suspect))
	}
	for _, endpoint := range gossip.Leaving {
		encoded.Leaving = append(encoded.Leaving, string(endpoint))
	}
	for _, viewSeen := range gossip.Views {
		encoded.Views = append(encoded.Views, &peerpb.ViewSeen{
			Domain: string(viewSeen.Domain), Number: viewSeen.Number,
		})
	}
	return encoded
}

func decodeGossip(encoded *peerpb.Gossip) msgs.Gossip {
	gossip := msgs.Gossip{
		Sum: fleet.Digest(encoded.GetSum()), Highest: fleet.Number(encoded.GetHighest()),
		Synced: encoded.GetSynced(), Reply: encoded.GetReply(), Round: encoded.GetRound(),
		Ages: decodeAges(encoded.GetAges()),
	}
	for _, member := range encoded.GetMembers() {
		gossip.Members = append(gossip.Members, decodeMember(member))
	}
	for _, suspect := range encoded.GetSuspects() {
		gossip.Suspects = append(gossip.Suspects, decodeSuspect(suspect))
	}
	for _, endpoint := range encoded.GetLeaving() {
		gossip.Leaving = append(gossip.Leaving, ident.Endpoint(endpoint))
	}
	for _, viewSeen := range encoded.GetViews() {
		gossip.Views = append(gossip.Views, msgs.ViewSeen{
			Domain: ident.Domain(viewSeen.GetDomain()), Number: viewSeen.GetNumber(),
		})
	}
	return gossip
}

// encodeAges packs each age into 32 bits: the hash of the entry in the upper 24, the age
// in the next 7, and whether the entry is in the view in the lowest bit.
func encodeAges(ages []msgs.Age) []uint32 {
	var encoded []uint32
	for _, age := range ages {
		packed := age.EntryHash<<hashShift | uint32(age.Units)<<unitsShift
		if age.InView {
			packed |= inViewBit
		}
		encoded = append(encoded, packed)
	}
	return encoded
}

func decodeAges(encoded []uint32) []msgs.Age {
	var ages []msgs.Age
	for _, packed := range encoded {
		ages = append(ages, msgs.Age{
			EntryHash: packed >> hashShift, Units: uint8(packed >> unitsShift & msgs.MaxAgeUnits), InView: packed&inViewBit != 0,
		})
	}
	return ages
}

func encodeSuspect(suspect msgs.Suspect) *peerpb.Suspect {
	encoded := &peerpb.Suspect{
		Fingerprint: suspect.Fingerprint, Cleared: uint32(suspect.Cleared),
		Examiner: encodeIncarnation(suspect.Examiner), Term: suspect.Term,
	}
	for _, death := range suspect.Deaths {
		encoded.Deaths = append(encoded.Deaths, &peerpb.Death{
			Endpoint: string(death.Endpoint), Boot: death.Boot, AgoMillis: int64(death.Age),
			Confirmed: death.Confirmed,
		})
	}
	return encoded
}

func decodeSuspect(encoded *peerpb.Suspect) msgs.Suspect {
	suspect := msgs.Suspect{
		Fingerprint: encoded.GetFingerprint(), Cleared: int(encoded.GetCleared()),
		Examiner: decodeIncarnation(encoded.GetExaminer()), Term: encoded.GetTerm(),
	}
	for _, death := range encoded.GetDeaths() {
		suspect.Deaths = append(suspect.Deaths, msgs.Death{
			Endpoint: ident.Endpoint(death.GetEndpoint()), Boot: death.GetBoot(),
			Age: clock.Millis(death.GetAgoMillis()), Confirmed: death.GetConfirmed(),
		})
	}
	return suspect
}

func encodeTicketsAsk(ask msgs.TicketsAsk) *peerpb.TicketsAsk {
	encoded := &peerpb.TicketsAsk{From: uint64(ask.From), Below: uint64(ask.Below)}
	for _, stamp := range ask.Have {
		encoded.Have = append(encoded.Have, &peerpb.Stamp{Number: uint64(stamp.Number), Digest: uint64(stamp.Digest)})
	}
	return encoded
}

func decodeTicketsAsk(encoded *peerpb.TicketsAsk) msgs.TicketsAsk {
	ask := msgs.TicketsAsk{From: fleet.Number(encoded.GetFrom()), Below: fleet.Digest(encoded.GetBelow())}
	for _, stamp := range encoded.GetHave() {
		ask.Have = append(ask.Have, fleet.Stamp{
			Number: fleet.Number(stamp.GetNumber()), Digest: fleet.Digest(stamp.GetDigest()),
		})
	}
	return ask
}

func encodeTicketsGive(give msgs.TicketsGive) *peerpb.TicketsGive {
	encoded := &peerpb.TicketsGive{More: give.More}
	for _, ticket := range give.Tickets {
		encoded.Texts = append(encoded.Texts, ticket.Text)
	}
	return encoded
}

// decodeTicketsGive parses the received tickets, so that a corrupted one is never merged
// into the state.
func decodeTicketsGive(encoded *peerpb.TicketsGive) (msgs.Message, error) {
	give := msgs.TicketsGive{More: encoded.GetMore()}
	for _, text := range encoded.GetTexts() {
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

func decodeForward(encoded *peerpb.Forward) msgs.Forward {
	return msgs.Forward{
		Request:      ident.Request(encoded.GetRequest()),
		Organisation: ident.Organisation(encoded.GetOrganisation()),
		Service:      ident.Service(encoded.GetService()),
		Key:          encoded.GetKey(),
		Content:      decodeContent(encoded.GetContent()),
		Deadline:     clock.Millis(encoded.GetDeadlineMillis()),
		Hops:         int(encoded.GetHops()),
	}
}

func encodeContent(content msgs.Content) *peerpb.Content {
	encoded := &peerpb.Content{Method: content.Method, Path: content.Path, Type: content.Type, Body: content.Body}
	for _, header := range content.Headers {
		encoded.Headers = append(encoded.Headers, &peerpb.Header{Name: header.Name, Value: header.Value})
	}
	return encoded
}

func decodeContent(encoded *peerpb.Content) msgs.Content {
	content := msgs.Content{
		Method: encoded.GetMethod(), Path: encoded.GetPath(), Type: encoded.GetType(), Body: encoded.GetBody(),
	}
	for _, header := range encoded.GetHeaders() {
		content.Headers = append(content.Headers, msgs.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return content
}

func encodeAnswer(answer msgs.Answer) *peerpb.Answer {
	return &peerpb.Answer{Status: int32(answer.Status), Type: answer.Type, Body: answer.Body}
}

func decodeAnswer(encoded *peerpb.Answer) msgs.Answer {
	return msgs.Answer{Status: int(encoded.GetStatus()), Type: encoded.GetType(), Body: encoded.GetBody()}
}

func encodeResult(result msgs.Result) *peerpb.Result {
	return &peerpb.Result{
		Outcome: string(result.Outcome), Reason: result.Reason, Replayed: result.Replayed,
		NotSent: result.NotSent, Answer: encodeAnswer(result.Answer),
	}
}

func decodeResult(encoded *peerpb.Result) msgs.Result {
	return msgs.Result{
		Outcome: msgs.Outcome(encoded.GetOutcome()), Reason: encoded.GetReason(), Replayed: encoded.GetReplayed(),
		NotSent: encoded.GetNotSent(), Answer: decodeAnswer(encoded.GetAnswer()),
	}
}
