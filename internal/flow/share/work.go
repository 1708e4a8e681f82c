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

func encodeShare(contribution *tally.Contribution, now clock.Millis) *newspb.OwnWork {
	if contribution == nil {
		return nil
	}
	return &newspb.OwnWork{
		Life: contribution.Epoch, Sequence: contribution.Sequence, Whole: contribution.IsSnapshot, Sums: encodeSums(contribution.Loads, now),
	}
}

func encodePart(aggregate tally.Aggregate, now clock.Millis) *newspb.Part {
	message := &newspb.Part{
		Hub: uint32(aggregate.Hub), Life: aggregate.Epoch, Sequence: aggregate.Sequence, Whole: aggregate.IsSnapshot, Sums: encodeSums(aggregate.Loads, now),
		HeldMillis: uint32(aggregate.Deferred),
	}
	if aggregate.IsSnapshot {
		message.First = uint32(aggregate.First)
		message.Last = uint32(aggregate.Last)
	}
	for _, entry := range slices.Sorted(maps.Keys(aggregate.Acknowledged)) {
		message.Heard = append(message.Heard, uint32(entry))
		message.HeardSequence = append(message.HeardSequence, aggregate.Acknowledged[entry])
	}
	return message
}

func encodeSums(loads tally.Loads, now clock.Millis) *newspb.Sums {
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
func encodeLoad(load pool.Load, now clock.Millis) figures {
	encoded := figures{
		figureLeads:         uint32(load.Leads),
		figureShortPrompts:  uint32(load.ShortPrompts),
		figureDecoding:      uint32(load.Decoding),
		figurePrefilling:    uint32(load.Prefilling),
		figureContext:       roundUp(load.ContextTokens, tokenUnit),
		figureMemory:        roundUp(load.MemoryTokens, tokenUnit),
		figurePending:       roundUp(load.PendingTokens, tokenUnit),
		figurePrefillMillis: uint32(load.PrefillMillis),
		figureMinGap:        roundUp(int(load.MinGap), gapUnit),
	}
	if load.Prefilling > 0 {
		encoded[figurePrefillDoneIn] = uint32(protowire.EncodeZigZag(int64(load.PrefillDoneAt - now)))
	}
	return encoded
}

func decodeLoad(encoded figures, now clock.Millis) pool.Load {
	load := pool.Load{
		Leads:         int(encoded[figureLeads]),
		ShortPrompts:  int(encoded[figureShortPrompts]),
		Decoding:      int(encoded[figureDecoding]),
		Prefilling:    int(encoded[figurePrefilling]),
		ContextTokens: int(encoded[figureContext]) * tokenUnit,
		MemoryTokens:  int(encoded[figureMemory]) * tokenUnit,
		PendingTokens: int(encoded[figurePending]) * tokenUnit,
		PrefillMillis: int(encoded[figurePrefillMillis]),
		MinGap:        clock.Millis(encoded[figureMinGap]) * gapUnit,
	}
	if load.Prefilling > 0 {
		load.PrefillDoneAt = now + clock.Millis(protowire.DecodeZigZag(uint64(encoded[figurePrefillDoneIn])))
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
		batch.Contribution = &tally.Contribution{Epoch: encoded.Life, Sequence: encoded.Sequence, IsSnapshot: encoded.Whole, Loads: loads}
	}
	for _, encoded := range message.Parts {
		aggregate, err := decodePart(encoded, now)
		if err != nil {
			return err
		}
		batch.Aggregates = append(batch.Aggregates, aggregate)
	}
	return nil
}

func decodePart(encoded *newspb.Part, now clock.Millis) (tally.Aggregate, error) {
	loads, err := decodeSums(encoded.Sums, now)
	if err != nil {
		return tally.Aggregate{}, err
	}
	aggregate := tally.Aggregate{
		Hub: tally.EntryHash(encoded.Hub), Epoch: encoded.Life, Sequence: encoded.Sequence, IsSnapshot: encoded.Whole,
		First: pool.Hash(encoded.First), Last: pool.Hash(encoded.Last), Loads: loads, Deferred: clock.Millis(encoded.HeldMillis),
	}
	if len(encoded.Heard) != len(encoded.HeardSequence) {
		return tally.Aggregate{}, &LoadCountError{"heard", len(encoded.Heard), len(encoded.HeardSequence)}
	}
	if len(encoded.Heard) > 0 {
		aggregate.Acknowledged = map[tally.EntryHash]uint64{}
	}
	for i, entry := range encoded.Heard {
		aggregate.Acknowledged[tally.EntryHash(entry)] = encoded.HeardSequence[i]
	}
	return aggregate, nil
}

func decodeSums(encoded *newspb.Sums, now clock.Millis) (tally.Loads, error) {
	loads := tally.Loads{}
	if encoded == nil {
		return loads, nil
	}
	if len(encoded.Figures) != figureCount*len(encoded.Endpoints) {
		return nil, &LoadCountError{"figures", len(encoded.Endpoints), len(encoded.Figures)}
	}
	for i, endpoint := range encoded.Endpoints {
		loads[pool.Hash(endpoint)] = decodeLoad(figures(encoded.Figures[i*figureCount:]), now)
	}
	return loads, nil
}
