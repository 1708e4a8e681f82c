package codec

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
	valueLeads = iota
	valueShortPrompts
	valueDecoding
	valuePrefilling
	valueContext
	valueMemory
	valuePending
	valuePrefillMillis
	valueLastPrefillEndsIn
	valueMinGap
	valueCount
)

type (
	// loadValues are the encoded values of one load.
	loadValues = [valueCount]uint32

	// ValueCountError reports a datagram with a field that has more or fewer values than
	// belong to the number of endpoints or entries in it.
	ValueCountError struct {
		Field          string
		Hashes, Values int
	}
)

// Error returns a message with the field and both numbers.
func (e *ValueCountError) Error() string {
	return "datagram has " + strconv.Itoa(e.Hashes) + " hashes and " + strconv.Itoa(e.Values) + " values of " + e.Field
}

func encodeContribution(contribution *tally.Contribution, now clock.Millis) *newspb.OwnWork {
	if contribution == nil {
		return nil
	}
	return &newspb.OwnWork{
		Life: contribution.Epoch, Sequence: contribution.Sequence, Whole: contribution.IsSnapshot, Sums: encodeLoads(contribution.Loads, now),
	}
}

func encodeAggregate(aggregate tally.Aggregate, now clock.Millis) *newspb.Part {
	message := &newspb.Part{
		Hub: uint32(aggregate.Hub), Life: aggregate.Epoch, Sequence: aggregate.Sequence, Whole: aggregate.IsSnapshot, Sums: encodeLoads(aggregate.Loads, now),
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

func encodeLoads(loads tally.Loads, now clock.Millis) *newspb.Sums {
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
func encodeLoad(load pool.Load, now clock.Millis) loadValues {
	encoded := loadValues{
		valueLeads:         uint32(load.Leads),
		valueShortPrompts:  uint32(load.ShortPrompts),
		valueDecoding:      uint32(load.Decoding),
		valuePrefilling:    uint32(load.Prefilling),
		valueContext:       roundUp(load.ContextTokens, tokenUnit),
		valueMemory:        roundUp(load.MemoryTokens, tokenUnit),
		valuePending:       roundUp(load.PendingTokens, tokenUnit),
		valuePrefillMillis: uint32(load.PrefillMillis),
		valueMinGap:        roundUp(int(load.MinGap), gapUnit),
	}
	if load.Prefilling > 0 {
		encoded[valueLastPrefillEndsIn] = uint32(protowire.EncodeZigZag(int64(load.LastPrefillEndsAt - now)))
	}
	return encoded
}

func decodeLoad(encoded loadValues, now clock.Millis) pool.Load {
	load := pool.Load{
		Leads:         int(encoded[valueLeads]),
		ShortPrompts:  int(encoded[valueShortPrompts]),
		Decoding:      int(encoded[valueDecoding]),
		Prefilling:    int(encoded[valuePrefilling]),
		ContextTokens: int(encoded[valueContext]) * tokenUnit,
		MemoryTokens:  int(encoded[valueMemory]) * tokenUnit,
		PendingTokens: int(encoded[valuePending]) * tokenUnit,
		PrefillMillis: int(encoded[valuePrefillMillis]),
		MinGap:        clock.Millis(encoded[valueMinGap]) * gapUnit,
	}
	if load.Prefilling > 0 {
		load.LastPrefillEndsAt = now + clock.Millis(protowire.DecodeZigZag(uint64(encoded[valueLastPrefillEndsIn])))
	}
	return load
}

func roundUp(amount, unit int) uint32 { return uint32((amount + unit - 1) / unit) }

func decodeWork(batch *input.Batch, message *newspb.Batch, now clock.Millis) error {
	if encoded := message.Share; encoded != nil {
		loads, err := decodeLoads(encoded.Sums, now)
		if err != nil {
			return err
		}
		batch.Contribution = &tally.Contribution{Epoch: encoded.Life, Sequence: encoded.Sequence, IsSnapshot: encoded.Whole, Loads: loads}
	}
	for _, encoded := range message.Parts {
		aggregate, err := decodeAggregate(encoded, now)
		if err != nil {
			return err
		}
		batch.Aggregates = append(batch.Aggregates, aggregate)
	}
	return nil
}

func decodeAggregate(encoded *newspb.Part, now clock.Millis) (tally.Aggregate, error) {
	loads, err := decodeLoads(encoded.Sums, now)
	if err != nil {
		return tally.Aggregate{}, err
	}
	aggregate := tally.Aggregate{
		Hub: tally.EntryHash(encoded.Hub), Epoch: encoded.Life, Sequence: encoded.Sequence, IsSnapshot: encoded.Whole,
		First: pool.Hash(encoded.First), Last: pool.Hash(encoded.Last), Loads: loads, Deferred: clock.Millis(encoded.HeldMillis),
	}
	if len(encoded.Heard) != len(encoded.HeardSequence) {
		return tally.Aggregate{}, &ValueCountError{"heard", len(encoded.Heard), len(encoded.HeardSequence)}
	}
	if len(encoded.Heard) > 0 {
		aggregate.Acknowledged = map[tally.EntryHash]uint64{}
	}
	for i, entry := range encoded.Heard {
		aggregate.Acknowledged[tally.EntryHash(entry)] = encoded.HeardSequence[i]
	}
	return aggregate, nil
}

func decodeLoads(encoded *newspb.Sums, now clock.Millis) (tally.Loads, error) {
	loads := tally.Loads{}
	if encoded == nil {
		return loads, nil
	}
	if len(encoded.Figures) != valueCount*len(encoded.Endpoints) {
		return nil, &ValueCountError{"figures", len(encoded.Endpoints), len(encoded.Figures)}
	}
	for i, endpoint := range encoded.Endpoints {
		loads[pool.Hash(endpoint)] = decodeLoad(loadValues(encoded.Figures[i*valueCount:]), now)
	}
	return loads, nil
}
