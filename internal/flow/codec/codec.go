// Package codec encodes and decodes the messages that entries exchange. The mapping
// between domain types and protobuf messages is written by hand.
package codec

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/evac"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

// percent scales a pace for the wire, where it is an integer.
const percent = 100

// AgeCountError reports a datagram whose number of failure domains differs from its
// number of ages.
type AgeCountError struct{ Domains, Ages int }

// Error returns a message with both numbers.
func (e *AgeCountError) Error() string {
	return "datagram has " + strconv.Itoa(e.Domains) + " failure domains and " + strconv.Itoa(e.Ages) + " ages"
}

// Encode returns the datagram for the batch. Instants are encoded as ages relative to
// now.
func Encode(batch input.Batch, now clock.Millis) ([]byte, error) {
	message := &newspb.Batch{Sender: string(batch.Sender), PassOn: batch.Forward}
	for _, news := range batch.News {
		message.News = append(message.News, encodeNews(news, now))
	}
	for _, domain := range slices.Sorted(maps.Keys(batch.DomainsSeenAt)) {
		message.Live = append(message.Live, string(domain))
		message.LiveAgeMillis = append(message.LiveAgeMillis, uint32(max(now-batch.DomainsSeenAt[domain], 0)))
	}
	for _, hash := range batch.Missing {
		message.Missing = append(message.Missing, uint32(hash))
	}
	message.Costs = encodeCosts(batch.Costs)
	message.Share = encodeContribution(batch.Contribution, now)
	for _, aggregate := range batch.Aggregates {
		message.Parts = append(message.Parts, encodeAggregate(aggregate, now))
	}
	datagram, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	return datagram, nil
}

// Decode decodes a datagram that was received at now. It returns an AgeCountError or a
// ValueCountError if the lengths of parallel fields differ.
func Decode(datagram []byte, now clock.Millis) (input.Batch, error) {
	var message newspb.Batch
	if err := proto.Unmarshal(datagram, &message); err != nil {
		return input.Batch{}, errors.Wrap(err, "decode batch")
	}
	if len(message.Live) != len(message.LiveAgeMillis) {
		return input.Batch{}, &AgeCountError{len(message.Live), len(message.LiveAgeMillis)}
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
	for _, hash := range message.Missing {
		batch.Missing = append(batch.Missing, tally.EntryHash(hash))
	}
	decodeCosts(&batch, message.Costs)
	if err := decodeWork(&batch, &message, now); err != nil {
		return input.Batch{}, err
	}
	return batch, nil
}

// EncodeList encodes the list of endpoints.
func EncodeList(list []pool.PeerListing) []*newspb.Endpoint {
	encoded := make([]*newspb.Endpoint, 0, len(list))
	for _, listing := range list {
		encoded = append(encoded, &newspb.Endpoint{
			Name:        string(listing.Name),
			Service:     string(listing.Service),
			Address:     listing.Address,
			Domain:      string(listing.Domain),
			Slots:       uint32(listing.Slots),
			Leaving:     listing.Leaving,
			Born:        listing.Epoch,
			DoubtMillis: uint32(listing.RemovalGrace),
			ColdMillis:  uint32(listing.ColdRemaining),
			HoldMillis:  uint32(listing.Hold),
			WrittenEra:  listing.WrittenAt.Era, WrittenRevision: listing.WrittenAt.Revision,
			Lost: listing.IsLost,
		})
	}
	return encoded
}

// DecodeList decodes a list of endpoints from another entry.
func DecodeList(encoded []*newspb.Endpoint) []pool.PeerListing {
	list := make([]pool.PeerListing, 0, len(encoded))
	for _, listing := range encoded {
		list = append(list, pool.PeerListing{
			Listing: pool.Listing{
				Name:    ident.Endpoint(listing.Name),
				Service: ident.Service(listing.Service),
				Address: listing.Address,
				Domain:  ident.Domain(listing.Domain),
				Slots:   int(listing.Slots),
				Leaving: listing.Leaving,
				Epoch:   listing.Born,
			},
			RemovalGrace:  clock.Millis(listing.DoubtMillis),
			ColdRemaining: clock.Millis(listing.ColdMillis),
			Hold:          clock.Millis(listing.HoldMillis),
			WrittenAt:     point.Point{Era: listing.WrittenEra, Revision: listing.WrittenRevision},
			IsLost:        listing.Lost,
		})
	}
	return list
}

// EncodeDepartures encodes the departures of endpoints.
func EncodeDepartures(list []pool.Departure) []*newspb.Departure {
	encoded := make([]*newspb.Departure, 0, len(list))
	for _, departed := range list {
		encoded = append(encoded, &newspb.Departure{
			Name: string(departed.Name), Born: departed.Epoch, Era: departed.At.Era, Revision: departed.At.Revision, Lost: departed.IsLost,
		})
	}
	return encoded
}

// DecodeDepartures decodes the departures of endpoints that another entry tells of.
func DecodeDepartures(encoded []*newspb.Departure) []pool.Departure {
	list := make([]pool.Departure, 0, len(encoded))
	for _, departed := range encoded {
		list = append(list, pool.Departure{
			Name: ident.Endpoint(departed.Name), Epoch: departed.Born, At: point.Point{Era: departed.Era, Revision: departed.Revision},
			IsLost: departed.Lost,
		})
	}
	return list
}

// EncodeEvacuated encodes a set of evacuated failure domains.
func EncodeEvacuated(set evac.Set) []*newspb.Evacuation {
	encoded := make([]*newspb.Evacuation, 0, set.Len())
	for domain, since := range set.All() {
		encoded = append(encoded, &newspb.Evacuation{Domain: string(domain), Era: since.Era, Revision: since.Revision})
	}
	return encoded
}

// DecodeEvacuated decodes a set of evacuated failure domains from another entry.
func DecodeEvacuated(encoded []*newspb.Evacuation) evac.Set {
	points := make(map[ident.Domain]point.Point, len(encoded))
	for _, instruction := range encoded {
		points[ident.Domain(instruction.Domain)] = point.Point{Era: instruction.Era, Revision: instruction.Revision}
	}
	return evac.NewSet(points)
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
		Members:      uint32(news.Members),
		ListEra:      news.ListAt.Era,
		ListRevision: news.ListAt.Revision,
	}
	if news.ConfirmedAt != 0 {
		message.ConfirmedAgeMillis = uint64(max(now-news.ConfirmedAt, 0)) + 1
	}
	for _, run := range news.LeavingEndpoints {
		message.Left = append(message.Left, uint32(run.Endpoint))
		message.LeftBorn = append(message.LeftBorn, run.Epoch)
	}
	for _, hash := range slices.Sorted(maps.Keys(news.FailureCounts)) {
		message.Failed = append(message.Failed, uint32(hash))
		message.FailedCount = append(message.FailedCount, uint32(news.FailureCounts[hash]))
	}
	for _, hash := range slices.Sorted(maps.Keys(news.Paces)) {
		pace := news.Paces[hash]
		message.Paces = append(message.Paces, &newspb.Pace{
			Endpoint:  uint32(hash),
			Percent:   uint32(math.Round(pace.Factor * percent)),
			AgeMillis: uint32(max(now-pace.At, 0)),
		})
	}
	for _, hash := range slices.Sorted(maps.Keys(news.Pauses)) {
		message.Pauses = append(message.Pauses, &newspb.Pause{Endpoint: uint32(hash), LeftMillis: uint32(max(news.Pauses[hash]-now, 0))})
	}
	for _, queued := range news.QueuedPrompts {
		message.Waiting = append(message.Waiting, &newspb.Waiting{
			Service:       string(queued.Service),
			Number:        queued.Number,
			PromptTokens:  uint32(queued.PromptTokens),
			DueInMillis:   int32(queued.DueAt - now),
			UntilInMillis: int32(queued.WaitsUntil - now),
			Group:         uint32(queued.Group),
			Rank:          uint32(max(queued.Rank, 0)),
		})
	}
	encodeBlame(message, news, now)
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
		Members:      int(message.Members),
		ListAt:       point.Point{Era: message.ListEra, Revision: message.ListRevision},
	}
	if message.ConfirmedAgeMillis > 0 {
		news.ConfirmedAt = now - clock.Millis(message.ConfirmedAgeMillis-1)
	}
	for i, hash := range message.Left {
		if i < len(message.LeftBorn) {
			news.LeavingEndpoints = append(news.LeavingEndpoints, pool.Run{Endpoint: pool.Hash(hash), Epoch: message.LeftBorn[i]})
		}
	}
	if len(message.Failed) > 0 {
		news.FailureCounts = map[pool.Hash]int{}
	}
	for i, hash := range message.Failed {
		if i < len(message.FailedCount) {
			news.FailureCounts[pool.Hash(hash)] = int(message.FailedCount[i])
		}
	}
	if len(message.Paces) > 0 {
		news.Paces = map[pool.Hash]pool.Pace{}
	}
	for _, encoded := range message.Paces {
		news.Paces[pool.Hash(encoded.Endpoint)] = pool.Pace{
			Factor: float64(encoded.Percent) / percent,
			At:     now - clock.Millis(encoded.AgeMillis),
		}
	}
	if len(message.Pauses) > 0 {
		news.Pauses = map[pool.Hash]clock.Millis{}
	}
	for _, encoded := range message.Pauses {
		news.Pauses[pool.Hash(encoded.Endpoint)] = now + clock.Millis(encoded.LeftMillis)
	}
	for _, encoded := range message.Waiting {
		news.QueuedPrompts = append(news.QueuedPrompts, input.QueuedPrompt{
			Service:      ident.Service(encoded.Service),
			Number:       encoded.Number,
			PromptTokens: int(encoded.PromptTokens),
			DueAt:        now + clock.Millis(encoded.DueInMillis),
			WaitsUntil:   now + clock.Millis(encoded.UntilInMillis),
			Group:        pool.Hash(encoded.Group),
			Rank:         int(encoded.Rank),
		})
	}
	decodeBlame(&news, message, now)
	return news
}
