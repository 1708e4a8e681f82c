package share

import (
	"maps"
	"slices"
	"strconv"

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

// SumsError says that a datagram names more endpoints or entries than figures.
type SumsError struct {
	Field       string
	Marks, Have int
}

// Error names the field and both counts.
func (e *SumsError) Error() string {
	return "datagram has " + strconv.Itoa(e.Marks) + " marks and " + strconv.Itoa(e.Have) + " figures of " + e.Field
}

func encodeShare(share *tally.Share, now clock.Millis) *newspb.OwnWork {
	if share == nil {
		return nil
	}
	return &newspb.OwnWork{
		Life: share.Life, Sequence: share.Sequence, Whole: share.IsWhole, Sums: encodeSums(share.Sums, now),
	}
}

func encodePart(part tally.Part, now clock.Millis) *newspb.Part {
	message := &newspb.Part{
		Hub: uint32(part.Hub), Life: part.Life, Sequence: part.Sequence, Whole: part.IsWhole, Sums: encodeSums(part.Sums, now),
	}
	for _, entry := range slices.Sorted(maps.Keys(part.Heard)) {
		message.Heard = append(message.Heard, uint32(entry))
		message.HeardSequence = append(message.HeardSequence, part.Heard[entry])
	}
	return message
}

// encodeSums tells the sums figure by figure; tokens and times are rounded up.
func encodeSums(sums tally.Sums, now clock.Millis) *newspb.Sums {
	if len(sums) == 0 {
		return nil
	}
	message := &newspb.Sums{}
	for _, endpoint := range slices.Sorted(maps.Keys(sums)) {
		sum := sums[endpoint]
		readIn := int32(0)
		if sum.Readers > 0 {
			readIn = int32(sum.ReadBy - now)
		}
		message.Endpoints = append(message.Endpoints, uint32(endpoint))
		message.Leads = append(message.Leads, uint32(sum.Leads))
		message.Shorts = append(message.Shorts, uint32(sum.Shorts))
		message.Writers = append(message.Writers, uint32(sum.Writers))
		message.Readers = append(message.Readers, uint32(sum.Readers))
		message.Context = append(message.Context, units(sum.ContextTokens, tokenUnit))
		message.Memory = append(message.Memory, units(sum.MemoryTokens, tokenUnit))
		message.Unread = append(message.Unread, units(sum.UnreadTokens, tokenUnit))
		message.ReadMillis = append(message.ReadMillis, uint32(sum.ReadMillis))
		message.ReadInMillis = append(message.ReadInMillis, readIn)
		message.LeastGap = append(message.LeastGap, units(int(sum.LeastGap), gapUnit))
	}
	return message
}

func units(amount, unit int) uint32 { return uint32((amount + unit - 1) / unit) }

func decodeWork(batch *input.Batch, message *newspb.Batch, now clock.Millis) error {
	if told := message.Share; told != nil {
		sums, err := decodeSums(told.Sums, now)
		if err != nil {
			return err
		}
		batch.Share = &tally.Share{Life: told.Life, Sequence: told.Sequence, IsWhole: told.Whole, Sums: sums}
	}
	for _, told := range message.Parts {
		part, err := decodePart(told, now)
		if err != nil {
			return err
		}
		batch.Parts = append(batch.Parts, part)
	}
	return nil
}

func decodePart(told *newspb.Part, now clock.Millis) (tally.Part, error) {
	sums, err := decodeSums(told.Sums, now)
	if err != nil {
		return tally.Part{}, err
	}
	part := tally.Part{
		Hub: tally.Mark(told.Hub), Life: told.Life, Sequence: told.Sequence, IsWhole: told.Whole, Sums: sums,
	}
	if len(told.Heard) != len(told.HeardSequence) {
		return tally.Part{}, &SumsError{"heard", len(told.Heard), len(told.HeardSequence)}
	}
	if len(told.Heard) > 0 {
		part.Heard = map[tally.Mark]uint64{}
	}
	for i, entry := range told.Heard {
		part.Heard[tally.Mark(entry)] = told.HeardSequence[i]
	}
	return part, nil
}

func decodeSums(told *newspb.Sums, now clock.Millis) (tally.Sums, error) {
	sums := tally.Sums{}
	if told == nil {
		return sums, nil
	}
	count := len(told.Endpoints)
	for field, have := range map[string]int{
		"leads": len(told.Leads), "shorts": len(told.Shorts), "writers": len(told.Writers), "readers": len(told.Readers),
		"context": len(told.Context), "memory": len(told.Memory), "unread": len(told.Unread),
		"readMillis": len(told.ReadMillis), "readInMillis": len(told.ReadInMillis), "leastGap": len(told.LeastGap),
	} {
		if have != count {
			return nil, &SumsError{field, count, have}
		}
	}
	for i, endpoint := range told.Endpoints {
		sum := pool.Sum{
			Leads:         int(told.Leads[i]),
			Shorts:        int(told.Shorts[i]),
			Writers:       int(told.Writers[i]),
			Readers:       int(told.Readers[i]),
			ContextTokens: int(told.Context[i]) * tokenUnit,
			MemoryTokens:  int(told.Memory[i]) * tokenUnit,
			UnreadTokens:  int(told.Unread[i]) * tokenUnit,
			ReadMillis:    int(told.ReadMillis[i]),
			LeastGap:      clock.Millis(told.LeastGap[i]) * gapUnit,
		}
		if sum.Readers > 0 {
			sum.ReadBy = now + clock.Millis(told.ReadInMillis[i])
		}
		sums[pool.Mark(endpoint)] = sum
	}
	return sums, nil
}
