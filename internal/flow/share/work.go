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
	// tokenUnit is in what parts tokens are told, gapUnit pauses.
	tokenUnit = 1000
	gapUnit   = 50
)

// The figures of a sum in a datagram.
const (
	figureLeads = iota
	figureShorts
	figureWriters
	figureReaders
	figureContext
	figureMemory
	figureUnread
	figureReadMillis
	figureReadIn
	figureLeastGap
	figureCount
)

type (
	// figures are those of one sum.
	figures = [figureCount]uint32

	// SumsError says that a datagram names more endpoints or entries than figures.
	SumsError struct {
		Field       string
		Marks, Have int
	}
)

// Error names the field and both counts.
func (e *SumsError) Error() string {
	return "datagram has " + strconv.Itoa(e.Marks) + " marks and " + strconv.Itoa(e.Have) + " figures of " + e.Field
}

func encodeShare(share *tally.Contribution, now clock.Millis) *newspb.OwnWork {
	if share == nil {
		return nil
	}
	return &newspb.OwnWork{
		Life: share.Epoch, Sequence: share.Sequence, Whole: share.IsSnapshot, Sums: encodeSums(share.Loads, now),
	}
}

func encodePart(part tally.Aggregate, now clock.Millis) *newspb.Part {
	message := &newspb.Part{
		Hub: uint32(part.Hub), Life: part.Epoch, Sequence: part.Sequence, Whole: part.IsSnapshot, Sums: encodeSums(part.Loads, now),
		HeldMillis: uint32(part.Held),
	}
	if part.IsSnapshot {
		message.First = uint32(part.First)
		message.Last = uint32(part.Last)
	}
	for _, entry := range slices.Sorted(maps.Keys(part.Heard)) {
		message.Heard = append(message.Heard, uint32(entry))
		message.HeardSequence = append(message.HeardSequence, part.Heard[entry])
	}
	return message
}

func encodeSums(sums tally.Loads, now clock.Millis) *newspb.Sums {
	if len(sums) == 0 {
		return nil
	}
	message := &newspb.Sums{}
	for _, endpoint := range slices.Sorted(maps.Keys(sums)) {
		told := figuresOf(sums[endpoint], now)
		message.Endpoints = append(message.Endpoints, uint32(endpoint))
		message.Figures = append(message.Figures, told[:]...)
	}
	return message
}

// figuresOf rounds tokens and pauses up.
func figuresOf(sum pool.Load, now clock.Millis) figures {
	told := figures{
		figureLeads:      uint32(sum.Leads),
		figureShorts:     uint32(sum.ShortPrompts),
		figureWriters:    uint32(sum.Decoding),
		figureReaders:    uint32(sum.Prefilling),
		figureContext:    units(sum.ContextTokens, tokenUnit),
		figureMemory:     units(sum.MemoryTokens, tokenUnit),
		figureUnread:     units(sum.PendingTokens, tokenUnit),
		figureReadMillis: uint32(sum.PrefillMillis),
		figureLeastGap:   units(int(sum.MinGap), gapUnit),
	}
	if sum.Prefilling > 0 {
		told[figureReadIn] = uint32(protowire.EncodeZigZag(int64(sum.PrefillDoneAt - now)))
	}
	return told
}

func sumOf(told figures, now clock.Millis) pool.Load {
	sum := pool.Load{
		Leads:         int(told[figureLeads]),
		ShortPrompts:  int(told[figureShorts]),
		Decoding:      int(told[figureWriters]),
		Prefilling:    int(told[figureReaders]),
		ContextTokens: int(told[figureContext]) * tokenUnit,
		MemoryTokens:  int(told[figureMemory]) * tokenUnit,
		PendingTokens: int(told[figureUnread]) * tokenUnit,
		PrefillMillis: int(told[figureReadMillis]),
		MinGap:        clock.Millis(told[figureLeastGap]) * gapUnit,
	}
	if sum.Prefilling > 0 {
		sum.PrefillDoneAt = now + clock.Millis(protowire.DecodeZigZag(uint64(told[figureReadIn])))
	}
	return sum
}

func units(amount, unit int) uint32 { return uint32((amount + unit - 1) / unit) }

func decodeWork(batch *input.Batch, message *newspb.Batch, now clock.Millis) error {
	if told := message.Share; told != nil {
		sums, err := decodeSums(told.Sums, now)
		if err != nil {
			return err
		}
		batch.Contribution = &tally.Contribution{Epoch: told.Life, Sequence: told.Sequence, IsSnapshot: told.Whole, Loads: sums}
	}
	for _, told := range message.Parts {
		part, err := decodePart(told, now)
		if err != nil {
			return err
		}
		batch.Aggregates = append(batch.Aggregates, part)
	}
	return nil
}

func decodePart(told *newspb.Part, now clock.Millis) (tally.Aggregate, error) {
	sums, err := decodeSums(told.Sums, now)
	if err != nil {
		return tally.Aggregate{}, err
	}
	part := tally.Aggregate{
		Hub: tally.EntryHash(told.Hub), Epoch: told.Life, Sequence: told.Sequence, IsSnapshot: told.Whole,
		First: pool.Hash(told.First), Last: pool.Hash(told.Last), Loads: sums, Held: clock.Millis(told.HeldMillis),
	}
	if len(told.Heard) != len(told.HeardSequence) {
		return tally.Aggregate{}, &SumsError{"heard", len(told.Heard), len(told.HeardSequence)}
	}
	if len(told.Heard) > 0 {
		part.Heard = map[tally.EntryHash]uint64{}
	}
	for i, entry := range told.Heard {
		part.Heard[tally.EntryHash(entry)] = told.HeardSequence[i]
	}
	return part, nil
}

func decodeSums(told *newspb.Sums, now clock.Millis) (tally.Loads, error) {
	sums := tally.Loads{}
	if told == nil {
		return sums, nil
	}
	if len(told.Figures) != figureCount*len(told.Endpoints) {
		return nil, &SumsError{"figures", len(told.Endpoints), len(told.Figures)}
	}
	for i, endpoint := range told.Endpoints {
		sums[pool.Hash(endpoint)] = sumOf(figures(told.Figures[i*figureCount:]), now)
	}
	return sums, nil
}
