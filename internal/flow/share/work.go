package share

import (
	"maps"
	"slices"
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

const (
	// Tokens are sent as multiples of tokenUnit, pauses as multiples of gapUnit
	// milliseconds.
	tokenUnit = 1000
	gapUnit   = 50
)

// The positions of the values of a load in a datagram.
const (
	figureLeads = iota
	figureShortPrompts
	figureDecoding
	figurePrefilling
	figureContext
	figureMemory
	figurePending
	figurePrefillMillis
	figurePrefillDoneIn
	figureMinGap
	figureCount
)

type (
	// figures are the encoded values of one load.
	figures = [figureCount]uint32

	// LoadCountError reports a datagram that has more or fewer values in a field than
	// belong to its endpoints or entries.
	LoadCountError struct {
		Field          string
		Hashes, Values int
	}
)

// Error returns a message with the field and both numbers.
func (e *LoadCountError) Error() string {
	return "datagram has " + strconv.Itoa(e.Hashes) + " hashes and " + strconv.Itoa(e.Values) + " values of " + e.Field
}

func encodeShare(contribution *tally.Share, now clock.Millis) *newspb.OwnWork {
	if contribution == nil {
		return nil
	}
	return &newspb.OwnWork{
		Life: contribution.Life, Sequence: contribution.Sequence, Whole: contribution.IsWhole, Sums: encodeSums(contribution.Sums, now),
	}
}

func encodePart(aggregate tally.Part, now clock.Millis) *newspb.Part {
	message := &newspb.Part{
		Hub: uint32(aggregate.Hub), Life: aggregate.Life, Sequence: aggregate.Sequence, Whole: aggregate.IsWhole, Sums: encodeSums(aggregate.Sums, now),
		HeldMillis: uint32(aggregate.Deferred),
	}
	if aggregate.IsWhole {
		message.First = uint32(aggregate.First)
		message.Last = uint32(aggregate.Last)
	}
	for _, entry := range slices.Sorted(maps.Keys(aggregate.Acknowledged)) {
		message.Heard = append(message.Heard, uint32(entry))
		message.HeardSequence = append(message.HeardSequence, aggregate.Acknowledged[entry])
	}
	return message
}

func encodeSums(loads tally.Sums, now clock.Millis) *newspb.Sums {
	if len(loads) == 0 {
		return nil
	}
	message := &newspb.Sums{}
	for _, endpoint := range slices.Sorted(maps.Keys(loads)) {
		encoded := encodeLoad(loads[endpoint], now)
		message.Endpoints = append(message.Endpoints, uint32(endpoint))
		message.Figures = append(message.Figures, encoded[:]...)
	}
	return message
}

// encodeLoad encodes a load. Tokens and pauses are rounded up to whole units.
func encodeLoad(load pool.Sum, now clock.Millis) figures {
	encoded := figures{
		figureLeads:         uint32(load.Leads),
		figureShortPrompts:  uint32(load.Shorts),
		figureDecoding:      uint32(load.Writers),
		figurePrefilling:    uint32(load.Readers),
		figureContext:       roundUp(load.ContextTokens, tokenUnit),
		figureMemory:        roundUp(load.MemoryTokens, tokenUnit),
		figurePending:       roundUp(load.UnreadTokens, tokenUnit),
		figurePrefillMillis: uint32(load.ReadMillis),
		figureMinGap:        roundUp(int(load.LeastGap), gapUnit),
	}
	if load.Readers > 0 {
		encoded[figurePrefillDoneIn] = uint32(protowire.EncodeZigZag(int64(load.ReadBy - now)))
	}
	return encoded
}

func decodeLoad(encoded figures, now clock.Millis) pool.Sum {
	load := pool.Sum{
		Leads:         int(encoded[figureLeads]),
		Shorts:        int(encoded[figureShortPrompts]),
		Writers:       int(encoded[figureDecoding]),
		Readers:       int(encoded[figurePrefilling]),
		ContextTokens: int(encoded[figureContext]) * tokenUnit,
		MemoryTokens:  int(encoded[figureMemory]) * tokenUnit,
		UnreadTokens:  int(encoded[figurePending]) * tokenUnit,
		ReadMillis:    int(encoded[figurePrefillMillis]),
		LeastGap:      clock.Millis(encoded[figureMinGap]) * gapUnit,
	}
	if load.Readers > 0 {
		load.ReadBy = now + clock.Millis(protowire.DecodeZigZag(uint64(encoded[figurePrefillDoneIn])))
	}
	return load
}

func roundUp(amount, unit int) uint32 { return uint32((amount + unit - 1) / unit) }

func decodeWork(batch *input.Batch, message *newspb.Batch, now clock.Millis) error {
	if encoded := message.Share; encoded != nil {
		loads, err := decodeSums(encoded.Sums, now)
		if err != nil {
			return err
		}
		batch.Share = &tally.Share{Life: encoded.Life, Sequence: encoded.Sequence, IsWhole: encoded.Whole, Sums: loads}
	}
	for _, encoded := range message.Parts {
		aggregate, err := decodePart(encoded, now)
		if err != nil {
			return err
		}
		batch.Parts = append(batch.Parts, aggregate)
	}
	return nil
}

func decodePart(encoded *newspb.Part, now clock.Millis) (tally.Part, error) {
	loads, err := decodeSums(encoded.Sums, now)
	if err != nil {
		return tally.Part{}, err
	}
	aggregate := tally.Part{
		Hub: tally.Mark(encoded.Hub), Life: encoded.Life, Sequence: encoded.Sequence, IsWhole: encoded.Whole,
		First: pool.Mark(encoded.First), Last: pool.Mark(encoded.Last), Sums: loads, Deferred: clock.Millis(encoded.HeldMillis),
	}
	if len(encoded.Heard) != len(encoded.HeardSequence) {
		return tally.Part{}, &LoadCountError{"heard", len(encoded.Heard), len(encoded.HeardSequence)}
	}
	if len(encoded.Heard) > 0 {
		aggregate.Acknowledged = map[tally.Mark]uint64{}
	}
	for i, entry := range encoded.Heard {
		aggregate.Acknowledged[tally.Mark(entry)] = encoded.HeardSequence[i]
	}
	return aggregate, nil
}

func decodeSums(encoded *newspb.Sums, now clock.Millis) (tally.Sums, error) {
	loads := tally.Sums{}
	if encoded == nil {
		return loads, nil
	}
	if len(encoded.Figures) != figureCount*len(encoded.Endpoints) {
		return nil, &LoadCountError{"figures", len(encoded.Endpoints), len(encoded.Figures)}
	}
	for i, endpoint := range encoded.Endpoints {
		loads[pool.Mark(endpoint)] = decodeLoad(figures(encoded.Figures[i*figureCount:]), now)
	}
	return loads, nil
}
