// Package share holds the codecs of what entries tell one another, mapped by hand.
package share

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

// Encode returns the datagram of the news as of the instant.
func Encode(news input.News, now clock.Millis) ([]byte, error) {
	message := &newspb.News{
		Entry:       string(news.Entry),
		Life:        news.Life,
		Sequence:    news.Sequence,
		Domain:      string(news.Domain),
		Address:     news.Address,
		PlanVersion: uint64(news.PlanVersion),
		Leaving:     news.Leaving,
		Known:       news.Known,
	}
	message.Work = encodeWork(news.Work, now)
	for _, mark := range news.Left {
		message.Left = append(message.Left, uint32(mark))
	}
	for _, waiting := range news.Waiting {
		message.Waiting = append(message.Waiting, &newspb.Waiting{
			Service:       string(waiting.Service),
			Number:        waiting.Number,
			PromptTokens:  uint32(waiting.PromptTokens),
			DueInMillis:   int32(waiting.DueAt - now),
			UntilInMillis: int32(waiting.UntilAt - now),
		})
	}
	for fingerprint, count := range news.Crashes {
		message.Crashes = append(message.Crashes, &newspb.Crash{Fingerprint: fingerprint, Count: uint32(count)})
	}
	slices.SortFunc(message.Crashes, func(a, b *newspb.Crash) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	text, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode news")
	}
	return text, nil
}

// Decode reads a datagram that came at the instant.
func Decode(text []byte, now clock.Millis) (input.News, error) {
	var message newspb.News
	if err := proto.Unmarshal(text, &message); err != nil {
		return input.News{}, errors.Wrap(err, "decode news")
	}
	news := input.News{
		Entry:       ident.Entry(message.Entry),
		Life:        message.Life,
		Sequence:    message.Sequence,
		Domain:      ident.Domain(message.Domain),
		Address:     message.Address,
		PlanVersion: plan.Version(message.PlanVersion),
		Leaving:     message.Leaving,
		Known:       message.Known,
		Work:        map[pool.Mark]map[pool.WorkID]pool.Work{},
		Crashes:     map[uint64]int{},
	}
	for _, told := range message.Work {
		decodeWork(news, told, now)
	}
	for _, mark := range message.Left {
		news.Left = append(news.Left, pool.Mark(mark))
	}
	for _, told := range message.Waiting {
		news.Waiting = append(news.Waiting, input.Waiting{
			Service:      ident.Service(told.Service),
			Number:       told.Number,
			PromptTokens: int(told.PromptTokens),
			DueAt:        now + clock.Millis(told.DueInMillis),
			UntilAt:      now + clock.Millis(told.UntilInMillis),
		})
	}
	for _, crash := range message.Crashes {
		news.Crashes[crash.Fingerprint] = int(crash.Count)
	}
	return news, nil
}

// encodeWork joins the pieces of each request into one message.
func encodeWork(work map[pool.Mark]map[pool.WorkID]pool.Work, now clock.Millis) []*newspb.Work {
	requests := map[uint64]*newspb.Work{}
	for _, mark := range slices.Sorted(maps.Keys(work)) {
		for id, piece := range work[mark] {
			told := requests[id.Number]
			if told == nil {
				told = &newspb.Work{
					Number:       id.Number,
					PromptTokens: uint32(piece.PromptTokens),
					OutputTokens: uint32(piece.OutputTokens),
					Parts:        uint32(piece.Parts),
					AgeMillis:    uint32(max(now-piece.Since, 0)),
					ReadInMillis: int32(piece.ReadAt - now),
					GapMillis:    uint32(piece.Gap),
				}
				requests[id.Number] = told
			}
			// All pieces of a request write, or none does.
			told.Writing = piece.Writing
			if piece.Helping {
				told.Helpers = append(told.Helpers, uint32(mark))
				told.HelperMemory = append(told.HelperMemory, uint32(piece.MemoryTokens))
				continue
			}
			told.Lead = uint32(mark)
			told.MemoryTokens = uint32(piece.MemoryTokens)
		}
	}
	all := make([]*newspb.Work, 0, len(requests))
	for _, number := range slices.Sorted(maps.Keys(requests)) {
		told := requests[number]
		if !slices.ContainsFunc(told.HelperMemory, func(tokens uint32) bool { return tokens > 0 }) {
			told.HelperMemory = nil
		}
		all = append(all, told)
	}
	return all
}

func decodeWork(news input.News, told *newspb.Work, now clock.Millis) {
	id := pool.WorkID{Entry: news.Entry, Number: told.Number}
	put := func(mark uint32, memory uint32, helping bool) {
		if news.Work[pool.Mark(mark)] == nil {
			news.Work[pool.Mark(mark)] = map[pool.WorkID]pool.Work{}
		}
		news.Work[pool.Mark(mark)][id] = pool.Work{
			PromptTokens: int(told.PromptTokens),
			OutputTokens: int(told.OutputTokens),
			Parts:        int(told.Parts),
			Helping:      helping,
			Writing:      told.Writing,
			MemoryTokens: int(memory),
			Gap:          clock.Millis(told.GapMillis),
			Since:        now - clock.Millis(told.AgeMillis),
			ReadAt:       now + clock.Millis(told.ReadInMillis),
		}
	}
	put(told.Lead, told.MemoryTokens, false)
	for i, mark := range told.Helpers {
		memory := uint32(0)
		if i < len(told.HelperMemory) {
			memory = told.HelperMemory[i]
		}
		put(mark, memory, true)
	}
}
