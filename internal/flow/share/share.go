// Package share holds the codecs of what entries tell one another, mapped by hand.
package share

import (
	"cmp"
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
	for endpoint, works := range news.Work {
		for id, work := range works {
			message.Work = append(message.Work, &newspb.Work{
				Endpoint:     string(endpoint),
				Number:       id.Number,
				PromptTokens: uint32(work.PromptTokens),
				OutputTokens: uint32(work.OutputTokens),
				Parts:        uint32(work.Parts),
				Helping:      work.Helping,
				Writing:      work.Writing,
				AgeMillis:    uint32(max(now-work.Since, 0)),
				ReadInMillis: int32(work.ReadAt - now),
				MemoryTokens: uint32(work.MemoryTokens),
				GapMillis:    uint32(work.Gap),
			})
		}
	}
	slices.SortFunc(message.Work, func(a, b *newspb.Work) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Endpoint, b.Endpoint))
	})
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
		Work:        map[ident.Endpoint]map[pool.WorkID]pool.Work{},
		Crashes:     map[uint64]int{},
	}
	for _, told := range message.Work {
		endpoint := ident.Endpoint(told.Endpoint)
		if news.Work[endpoint] == nil {
			news.Work[endpoint] = map[pool.WorkID]pool.Work{}
		}
		news.Work[endpoint][pool.WorkID{Entry: news.Entry, Number: told.Number}] = pool.Work{
			PromptTokens: int(told.PromptTokens),
			OutputTokens: int(told.OutputTokens),
			Parts:        int(told.Parts),
			Helping:      told.Helping,
			Writing:      told.Writing,
			MemoryTokens: int(told.MemoryTokens),
			Gap:          clock.Millis(told.GapMillis),
			Since:        now - clock.Millis(told.AgeMillis),
			ReadAt:       now + clock.Millis(told.ReadInMillis),
		}
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
