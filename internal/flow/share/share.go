// Package share holds the codecs of what entries tell one another, mapped by hand.
package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

// percent is how paces are told.
const percent = 100

// LiveError says that a datagram gives other counts of failure domains and of ages.
type LiveError struct{ Domains, Ages int }

// Error names both counts.
func (e *LiveError) Error() string {
	return "datagram has " + strconv.Itoa(e.Domains) + " failure domains and " + strconv.Itoa(e.Ages) + " ages"
}

// Encode returns the datagram of the batch as of the instant.
func Encode(batch input.Batch, now clock.Millis) ([]byte, error) {
	message := &newspb.Batch{Sender: string(batch.Sender), PassOn: batch.Forward}
	for _, news := range batch.News {
		message.News = append(message.News, encodeNews(news, now))
	}
	for _, domain := range slices.Sorted(maps.Keys(batch.DomainsSeenAt)) {
		message.Live = append(message.Live, string(domain))
		message.LiveAgeMillis = append(message.LiveAgeMillis, uint32(max(now-batch.DomainsSeenAt[domain], 0)))
	}
	for _, mark := range batch.Missing {
		message.Missing = append(message.Missing, uint32(mark))
	}
	message.Share = encodeShare(batch.Contribution, now)
	for _, part := range batch.Aggregates {
		message.Parts = append(message.Parts, encodePart(part, now))
	}
	text, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	return text, nil
}

// Decode reads a datagram that came at the instant.
func Decode(text []byte, now clock.Millis) (input.Batch, error) {
	var message newspb.Batch
	if err := proto.Unmarshal(text, &message); err != nil {
		return input.Batch{}, errors.Wrap(err, "decode batch")
	}
	if len(message.Live) != len(message.LiveAgeMillis) {
		return input.Batch{}, &LiveError{len(message.Live), len(message.LiveAgeMillis)}
	}
	batch := input.Batch{Sender: ident.Entry(message.Sender), Forward: message.PassOn}
	for _, news := range message.News {
		batch.News = append(batch.News, decodeNews(news, now))
	}
	if len(message.Live) > 0 {
		batch.DomainsSeenAt = map[ident.Domain]clock.Millis{}
	}
	for i, domain := range message.Live {
		batch.DomainsSeenAt[ident.Domain(domain)] = now - clock.Millis(message.LiveAgeMillis[i])
	}
	for _, mark := range message.Missing {
		batch.Missing = append(batch.Missing, tally.EntryHash(mark))
	}
	if err := decodeWork(&batch, &message, now); err != nil {
		return input.Batch{}, err
	}
	return batch, nil
}

// EncodeList maps the list of endpoints.
func EncodeList(list []pool.PeerListing) []*newspb.Endpoint {
	told := make([]*newspb.Endpoint, 0, len(list))
	for _, entry := range list {
		told = append(told, &newspb.Endpoint{
			Name:        string(entry.Name),
			Service:     string(entry.Service),
			Address:     entry.Address,
			Domain:      string(entry.Domain),
			Slots:       uint32(entry.Slots),
			Leaving:     entry.Leaving,
			Born:        entry.Epoch,
			DoubtMillis: uint32(entry.RemovalGrace),
		})
	}
	return told
}

// DecodeList maps a list of endpoints that another entry gave.
func DecodeList(told []*newspb.Endpoint) []pool.PeerListing {
	list := make([]pool.PeerListing, 0, len(told))
	for _, entry := range told {
		list = append(list, pool.PeerListing{
			Listing: pool.Listing{
				Name:    ident.Endpoint(entry.Name),
				Service: ident.Service(entry.Service),
				Address: entry.Address,
				Domain:  ident.Domain(entry.Domain),
				Slots:   int(entry.Slots),
				Leaving: entry.Leaving,
				Epoch:   entry.Born,
			},
			RemovalGrace: clock.Millis(entry.DoubtMillis),
		})
	}
	return list
}

func encodeNews(news input.News, now clock.Millis) *newspb.News {
	message := &newspb.News{
		Entry:        string(news.Entry),
		Life:         news.Epoch,
		Sequence:     news.Sequence,
		Domain:       string(news.Domain),
		Address:      news.Address,
		PlanVersion:  uint64(news.PlanVersion),
		Leaving:      news.Leaving,
		Known:        news.HubAddresses,
		Capacity:     uint32(news.Capacity),
		ListRevision: news.ListRevision,
	}
	if news.ConfirmedAt != 0 {
		message.ConfirmedAgeMillis = uint64(max(now-news.ConfirmedAt, 0)) + 1
	}
	for _, mark := range news.LeavingEndpoints {
		message.Left = append(message.Left, uint32(mark))
	}
	for _, mark := range slices.Sorted(maps.Keys(news.FailureCounts)) {
		message.Failed = append(message.Failed, uint32(mark))
		message.FailedCount = append(message.FailedCount, uint32(news.FailureCounts[mark]))
	}
	for _, mark := range slices.Sorted(maps.Keys(news.Paces)) {
		pace := news.Paces[mark]
		message.Paces = append(message.Paces, &newspb.Pace{
			Endpoint:  uint32(mark),
			Percent:   uint32(math.Round(pace.Factor * percent)),
			AgeMillis: uint32(max(now-pace.At, 0)),
		})
	}
	for _, waiting := range news.QueuedPrompts {
		message.Waiting = append(message.Waiting, &newspb.Waiting{
			Service:       string(waiting.Service),
			Number:        waiting.Number,
			PromptTokens:  uint32(waiting.PromptTokens),
			DueInMillis:   int32(waiting.DueAt - now),
			UntilInMillis: int32(waiting.WaitsUntil - now),
		})
	}
	for fingerprint, count := range news.CrashCounts {
		message.Crashes = append(message.Crashes, &newspb.Crash{Fingerprint: fingerprint, Count: uint32(count)})
	}
	slices.SortFunc(message.Crashes, func(a, b *newspb.Crash) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return message
}

func decodeNews(message *newspb.News, now clock.Millis) input.News {
	news := input.News{
		Entry:        ident.Entry(message.Entry),
		Epoch:        message.Life,
		Sequence:     message.Sequence,
		Domain:       ident.Domain(message.Domain),
		Address:      message.Address,
		PlanVersion:  plan.Version(message.PlanVersion),
		Leaving:      message.Leaving,
		HubAddresses: message.Known,
		Capacity:     int(message.Capacity),
		ListRevision: message.ListRevision,
		CrashCounts:  map[uint64]int{},
	}
	if message.ConfirmedAgeMillis > 0 {
		news.ConfirmedAt = now - clock.Millis(message.ConfirmedAgeMillis-1)
	}
	for _, mark := range message.Left {
		news.LeavingEndpoints = append(news.LeavingEndpoints, pool.Hash(mark))
	}
	if len(message.Failed) > 0 {
		news.FailureCounts = map[pool.Hash]int{}
	}
	for i, mark := range message.Failed {
		if i < len(message.FailedCount) {
			news.FailureCounts[pool.Hash(mark)] = int(message.FailedCount[i])
		}
	}
	if len(message.Paces) > 0 {
		news.Paces = map[pool.Hash]pool.Pace{}
	}
	for _, told := range message.Paces {
		news.Paces[pool.Hash(told.Endpoint)] = pool.Pace{
			Factor: float64(told.Percent) / percent,
			At:     now - clock.Millis(told.AgeMillis),
		}
	}
	for _, told := range message.Waiting {
		news.QueuedPrompts = append(news.QueuedPrompts, input.QueuedPrompt{
			Service:      ident.Service(told.Service),
			Number:       told.Number,
			PromptTokens: int(told.PromptTokens),
			DueAt:        now + clock.Millis(told.DueInMillis),
			WaitsUntil:   now + clock.Millis(told.UntilInMillis),
		})
	}
	for _, crash := range message.Crashes {
		news.CrashCounts[crash.Fingerprint] = int(crash.Count)
	}
	return news
}
