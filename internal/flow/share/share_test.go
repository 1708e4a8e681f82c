package share

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

func drawNews(t *rapid.T) input.News {
	now := clock.Millis(1_000_000)
	name := rapid.StringMatching(`[a-z]{1,8}`)
	count := rapid.IntRange(0, 1_000_000)
	news := input.News{
		Entry: ident.Entry(name.Draw(t, "entry")), Life: rapid.Uint64().Draw(t, "life"), Sequence: 3, Domain: "d",
		Address: "10.0.0.1:9", Capacity: 134, ListRevision: 8, ConfirmedAt: now - 5, PlanVersion: plan.Version(count.Draw(t, "version")), Leaving: rapid.Bool().Draw(t, "leaving"),
		Crashes: map[uint64]int{},
	}
	if rapid.Bool().Draw(t, "left") {
		news.Left = []pool.Mark{7, 9}
	}
	if rapid.Bool().Draw(t, "failed") {
		news.Failed = map[pool.Mark]int{3: 1, 8: count.Draw(t, "failures")}
	}
	if rapid.Bool().Draw(t, "paces") {
		news.Paces = map[pool.Mark]pool.Pace{4: {Factor: 2.75, At: now - 40}}
	}
	for range rapid.IntRange(0, 3).Draw(t, "waiting") {
		news.Waiting = append(news.Waiting, input.Waiting{
			Service: "s", Number: rapid.Uint64().Draw(t, "number"), PromptTokens: count.Draw(t, "prompt"),
			DueAt: now - 50, UntilAt: now + 9000,
		})
		news.Crashes[rapid.Uint64().Draw(t, "fingerprint")] = 2
	}
	return news
}

func drawLoads(t *rapid.T) tally.Sums {
	const now = clock.Millis(1_000_000)
	count := rapid.IntRange(0, 1000)
	loads := tally.Sums{}
	for range rapid.IntRange(0, 6).Draw(t, "endpoints") {
		load := pool.Sum{
			Leads: count.Draw(t, "leads"), Shorts: count.Draw(t, "shorts"), Writers: count.Draw(t, "writers"),
			Readers: count.Draw(t, "readers"), ContextTokens: tokenUnit * count.Draw(t, "context"),
			MemoryTokens: tokenUnit * count.Draw(t, "memory"), UnreadTokens: tokenUnit * count.Draw(t, "unread"),
			ReadMillis: count.Draw(t, "read"), LeastGap: gapUnit * clock.Millis(count.Draw(t, "gap")),
		}
		if load.Readers > 0 {
			load.ReadBy = now + clock.Millis(rapid.IntRange(-10000, 10000).Draw(t, "readIn"))
		}
		loads[pool.Mark(rapid.Uint32().Draw(t, "endpoint"))] = load
	}
	return loads
}

// Decoding an encoded contribution and encoded aggregates restores them.
func TestWorkComesThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = clock.Millis(1_000_000)
		batch := input.Batch{Sender: "member"}
		if rapid.Bool().Draw(t, "hasShare") {
			batch.Share = &tally.Share{Life: 9, Sequence: 4, IsWhole: rapid.Bool().Draw(t, "whole"), Sums: drawLoads(t)}
		}
		for range rapid.IntRange(0, 3).Draw(t, "parts") {
			aggregate := tally.Part{
				Hub: tally.Mark(rapid.Uint32().Draw(t, "hub")), Life: rapid.Uint64().Draw(t, "life"), Sequence: 3,
				IsWhole: rapid.Bool().Draw(t, "isWhole"), Sums: drawLoads(t),
			}
			aggregate.Deferred = clock.Millis(rapid.IntRange(0, 5000).Draw(t, "held"))
			if aggregate.IsWhole {
				aggregate.First, aggregate.Last = 4, pool.Mark(rapid.Uint32().Draw(t, "last"))
			}
			if rapid.Bool().Draw(t, "heard") {
				aggregate.Acknowledged = map[tally.Mark]uint64{3: 9, 7: rapid.Uint64().Draw(t, "sequence")}
			}
			batch.Parts = append(batch.Parts, aggregate)
		}
		datagram, err := Encode(batch, now)
		require.NoError(t, err)
		decoded, err := Decode(datagram, now)
		require.NoError(t, err)
		require.Equal(t, batch, decoded)
	})
}

// Loads with a number of values that doesn't fit the number of endpoints are rejected,
// and the error names the field.
func TestMismatchedLoadCountsAreRejected(t *testing.T) {
	loads := &newspb.Sums{Endpoints: []uint32{1, 2}, Figures: []uint32{3}}
	datagram, err := proto.Marshal(&newspb.Batch{Sender: "e", Parts: []*newspb.Part{{Hub: 1, Sums: loads}}})
	require.NoError(t, err)
	_, err = Decode(datagram, 0)
	var mismatch *LoadCountError
	require.ErrorAs(t, err, &mismatch)
	require.NotEmpty(t, mismatch.Field)
}

// Decoding encoded news and liveness restores them.
func TestNewsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = clock.Millis(1_000_000)
		batch := input.Batch{Sender: "hub", PassOn: rapid.Bool().Draw(t, "passOn")}
		for range rapid.IntRange(0, 3).Draw(t, "news") {
			batch.News = append(batch.News, drawNews(t))
		}
		for range rapid.IntRange(0, 3).Draw(t, "live") {
			if batch.Live == nil {
				batch.Live = map[ident.Domain]clock.Millis{}
			}
			domain := ident.Domain(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "domain"))
			batch.Live[domain] = now - clock.Millis(rapid.IntRange(0, 2000).Draw(t, "liveAge"))
		}
		for range rapid.IntRange(0, 3).Draw(t, "missing") {
			batch.Missing = append(batch.Missing, tally.Mark(rapid.Uint32().Draw(t, "mark")))
		}
		datagram, err := Encode(batch, now)
		require.NoError(t, err)
		decoded, err := Decode(datagram, now)
		require.NoError(t, err)
		require.Equal(t, batch, decoded)
	})
}

func TestListRoundTrip(t *testing.T) {
	list := []pool.Known{
		{Listed: pool.Listed{Name: "a", Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 6, Born: 7}},
		{Listed: pool.Listed{Name: "b", Service: "s", Address: "10.0.0.2:80", Domain: "d", Leaving: true}, Doubt: 900},
	}
	require.Equal(t, list, DecodeList(EncodeList(list)))
}

// A datagram with different numbers of failure domains and ages is rejected as a whole.
func TestMismatchedAgeCountsAreRejected(t *testing.T) {
	datagram, err := proto.Marshal(&newspb.Batch{Sender: "e", Live: []string{"a", "b"}, LiveAgeMillis: []uint32{3}})
	require.NoError(t, err)
	_, err = Decode(datagram, 0)
	var mismatch *AgeCountError
	require.ErrorAs(t, err, &mismatch)
}

func FuzzDecode(f *testing.F) {
	datagram, err := Encode(input.Batch{Sender: "e", News: []input.News{{Entry: "e"}}}, 0)
	require.NoError(f, err)
	f.Add(datagram)
	f.Fuzz(func(_ *testing.T, datagram []byte) { _, _ = Decode(datagram, 1000) })
}
