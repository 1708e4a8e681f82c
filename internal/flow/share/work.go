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
	// figures are those of one sum.
	figures = [figureCount]uint32

	// LoadCountError says that a datagram names more endpoints or entries than figures.
	LoadCountError struct {
		Field          string
		Hashes, Values int
	}
)

// Error names the field and both counts.
func (e *LoadCountError) Error() string {
	return "datagram has " + strconv.Itoa(e.Hashes) + " marks and " + strconv.Itoa(e.Values) + " figures of " + e.Field
}

func encodeContribution(share *tally.Share, now clock.Millis) *newspb.OwnWork {
	if share == nil {
		return nil
	}
	return &newspb.OwnWork{
		Life: share.Life, Sequence: share.Sequence, Whole: share.IsWhole, Sums: encodeLoads(share.Sums, now),
	}
}

func encodeAggregate(part tally.Part, now clock.Millis) *newspb.Part {
	message := &newspb.Part{
		Hub: uint32(part.Hub), Life: part.Life, Sequence: part.Sequence, Whole: part.IsWhole, Sums: encodeLoads(part.Sums, now),
		HeldMillis: uint32(part.Deferred),
	}
	if part.IsWhole {
		message.First = uint32(part.First)
		message.Last = uint32(part.Last)
	}
	for _, entry := range slices.Sorted(maps.Keys(part.Acknowledged)) {
		message.Heard = append(message.Heard, uint32(entry))
		message.HeardSequence = append(message.HeardSequence, part.Acknowledged[entry])
	}
	return message
}

func encodeLoads(sums tally.Sums, now clock.Millis) *newspb.Sums {
	if len(sums) == 0 {
		return nil
	}
	message := &newspb.Sums{}
	for _, endpoint := range slices.Sorted(maps.Keys(sums)) {
		told := encodeLoad(sums[endpoint], now)
		message.Endpoints = append(message.Endpoints, uint32(endpoint))
		message.Figures = append(message.Figures, told[:]...)
	}
	return message
}

// encodeLoad rounds tokens and pauses up.
func encodeLoad(sum pool.Sum, now clock.Millis) figures {
	told := figures{
		figureLeads:         uint32(sum.Leads),
		figureShortPrompts:  uint32(sum.Shorts),
		figureDecoding:      uint32(sum.Writers),
		figurePrefilling:    uint32(sum.Readers),
		figureContext:       roundUp(sum.ContextTokens, tokenUnit),
		figureMemory:        roundUp(sum.MemoryTokens, tokenUnit),
		figurePending:       roundUp(sum.UnreadTokens, tokenUnit),
		figurePrefillMillis: uint32(sum.ReadMillis),
		figureMinGap:        roundUp(int(sum.LeastGap), gapUnit),
	}
	if sum.Readers > 0 {
		told[figurePrefillDoneIn] = uint32(protowire.EncodeZigZag(int64(sum.ReadBy - now)))
	}
	return told
}

func decodeLoad(told figures, now clock.Millis) pool.Sum {
	sum := pool.Sum{
		Leads:         int(told[figureLeads]),
		Shorts:        int(told[figureShortPrompts]),
		Writers:       int(told[figureDecoding]),
		Readers:       int(told[figurePrefilling]),
		ContextTokens: int(told[figureContext]) * tokenUnit,
		MemoryTokens:  int(told[figureMemory]) * tokenUnit,
		UnreadTokens:  int(told[figurePending]) * tokenUnit,
		ReadMillis:    int(told[figurePrefillMillis]),
		LeastGap:      clock.Millis(told[figureMinGap]) * gapUnit,
	}
	if sum.Readers > 0 {
		sum.ReadBy = now + clock.Millis(protowire.DecodeZigZag(uint64(told[figurePrefillDoneIn])))
	}
	return sum
}

func roundUp(amount, unit int) uint32 { return uint32((amount + unit - 1) / unit) }

func decodeWork(batch *input.Batch, message *newspb.Batch, now clock.Millis) error {
	if told := message.Share; told != nil {
		sums, err := decodeLoads(told.Sums, now)
		if err != nil {
			return err
		}
		batch.Share = &tally.Share{Life: told.Life, Sequence: told.Sequence, IsWhole: told.Whole, Sums: sums}
	}
	for _, told := range message.Parts {
		part, err := decodeAggregate(told, now)
		if err != nil {
			return err
		}
		batch.Parts = append(batch.Parts, part)
	}
	return nil
}

func decodeAggregate(told *newspb.Part, now clock.Millis) (tally.Part, error) {
	sums, err := decodeLoads(told.Sums, now)
	if err != nil {
		return tally.Part{}, err
	}
	part := tally.Part{
		Hub: tally.Mark(told.Hub), Life: told.Life, Sequence: told.Sequence, IsWhole: told.Whole,
		First: pool.Mark(told.First), Last: pool.Mark(told.Last), Sums: sums, Deferred: clock.Millis(told.HeldMillis),
	}
	if len(told.Heard) != len(told.HeardSequence) {
		return tally.Part{}, &LoadCountError{"heard", len(told.Heard), len(told.HeardSequence)}
	}
	if len(told.Heard) > 0 {
		part.Acknowledged = map[tally.Mark]uint64{}
	}
	for i, entry := range told.Heard {
		part.Acknowledged[tally.Mark(entry)] = told.HeardSequence[i]
	}
	return part, nil
}

func decodeLoads(told *newspb.Sums, now clock.Millis) (tally.Sums, error) {
	sums := tally.Sums{}
	if told == nil {
		return sums, nil
	}
	if len(told.Figures) != figureCount*len(told.Endpoints) {
		return nil, &LoadCountError{"figures", len(told.Endpoints), len(told.Figures)}
	}
	for i, endpoint := range told.Endpoints {
		sums[pool.Mark(endpoint)] = decodeLoad(figures(told.Figures[i*figureCount:]), now)
	}
	return sums, nil
}
