package codec

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

func drawNews(t *rapid.T) input.News {
	now := clock.Millis(1_000_000)
	name := rapid.StringMatching(`[a-z]{1,8}`)
	count := rapid.IntRange(0, 1_000_000)
	news := input.News{
		Entry: ident.Entry(name.Draw(t, "entry")), Epoch: rapid.Uint64().Draw(t, "life"), Sequence: 3, Domain: "d",
		Address: "10.0.0.1:9", Capacity: 134, Members: 370, ListAt: point.Point{Era: rapid.Uint64().Draw(t, "era"), Revision: 8}, ConfirmedAt: now - 5, PlanVersion: plan.Version(count.Draw(t, "version")), Leaving: rapid.Bool().Draw(t, "leaving"),
	}
	if rapid.Bool().Draw(t, "left") {
		news.LeavingEndpoints = []pool.Run{{Endpoint: 7, Epoch: 1790000000000}, {Endpoint: 9, Epoch: 2}}
	}
	if rapid.Bool().Draw(t, "failed") {
		news.FailureCounts = map[pool.Hash]int{3: 1, 8: count.Draw(t, "failures")}
	}
	if rapid.Bool().Draw(t, "paces") {
		news.Paces = map[pool.Hash]pool.Pace{4: {Factor: 2.75, At: now - 40}}
	}
	if rapid.Bool().Draw(t, "pauses") {
		news.Pauses = map[pool.Hash]clock.Millis{5: now + 700, 6: now + pool.MaxPause}
	}
	for range rapid.IntRange(0, 3).Draw(t, "waiting") {
		news.QueuedPrompts = append(news.QueuedPrompts, input.QueuedPrompt{
			Service: "s", Number: rapid.Uint64().Draw(t, "number"), PromptTokens: count.Draw(t, "prompt"),
			DueAt: now - 50, WaitsUntil: now + 9000,
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "crashes") {
		part := call.Part(rapid.Uint64().Draw(t, "part"))
		lost := blame.Lost{SentAt: now - 900, Fingerprint: rapid.Uint64().Draw(t, "fingerprint")}
		if rapid.Bool().Draw(t, "hasParts") {
			lost.Parts = []call.Part{part, 7}
		}
		news.Crashes = append(news.Crashes, blame.Crash{Run: blame.Run(i), At: now - 800, Lost: []blame.Lost{lost}})
		news.Acquittals = append(news.Acquittals, blame.Acquittal{Part: part, At: now - 3})
		news.Verdicts = append(news.Verdicts, blame.Verdict{Parts: []call.Part{part}, Crashes: 4, LastCrashAt: now - 9000})
		fingerprint := lost.Fingerprint
		news.Losses = append(news.Losses, blame.Loss{Fingerprint: fingerprint, Run: blame.Run(i), SentAt: now - 900, At: now - 700})
		news.RequestAcquittals = append(news.RequestAcquittals, blame.RequestAcquittal{Fingerprint: fingerprint, At: now - 20})
		news.RequestVerdicts = append(news.RequestVerdicts, blame.RequestVerdict{Fingerprint: fingerprint, Losses: 3, LastAt: now - 700})
	}
	return news
}

func drawLoads(t *rapid.T) tally.Loads {
	const now = clock.Millis(1_000_000)
	count := rapid.IntRange(0, 1000)
	loads := tally.Loads{}
	for range rapid.IntRange(0, 6).Draw(t, "endpoints") {
		load := pool.Load{
			Leads: count.Draw(t, "leads"), ShortPrompts: count.Draw(t, "shorts"), Decoding: count.Draw(t, "writers"),
			Prefilling: count.Draw(t, "readers"), ContextTokens: tokenUnit * count.Draw(t, "context"),
			MemoryTokens: tokenUnit * count.Draw(t, "memory"), PendingTokens: tokenUnit * count.Draw(t, "unread"),
			PrefillMillis: count.Draw(t, "read"), MinGap: gapUnit * clock.Millis(count.Draw(t, "gap")),
		}
		if load.Prefilling > 0 {
			load.LastPrefillEndsAt = now + clock.Millis(rapid.IntRange(-10000, 10000).Draw(t, "readIn"))
		}
		loads[pool.Hash(rapid.Uint32().Draw(t, "endpoint"))] = load
	}
	return loads
}

// Decoding an encoded contribution and encoded aggregates restores them.
func TestWorkRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = clock.Millis(1_000_000)
		batch := input.Batch{Sender: "member"}
		if rapid.Bool().Draw(t, "hasShare") {
			batch.Contribution = &tally.Contribution{Epoch: 9, Sequence: 4, IsSnapshot: rapid.Bool().Draw(t, "whole"), Loads: drawLoads(t)}
		}
		for range rapid.IntRange(0, 3).Draw(t, "parts") {
			aggregate := tally.Aggregate{
				Hub: tally.EntryHash(rapid.Uint32().Draw(t, "hub")), Epoch: rapid.Uint64().Draw(t, "life"), Sequence: 3,
				IsSnapshot: rapid.Bool().Draw(t, "isWhole"), Loads: drawLoads(t),
			}
			aggregate.Deferred = clock.Millis(rapid.IntRange(0, 5000).Draw(t, "held"))
			if aggregate.IsSnapshot {
				aggregate.First, aggregate.Last = 4, pool.Hash(rapid.Uint32().Draw(t, "last"))
			}
			if rapid.Bool().Draw(t, "heard") {
				aggregate.Acknowledged = map[tally.EntryHash]uint64{3: 9, 7: rapid.Uint64().Draw(t, "sequence")}
			}
			batch.Aggregates = append(batch.Aggregates, aggregate)
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
func TestMismatchedValueCountsAreRejected(t *testing.T) {
	loads := &newspb.Sums{Endpoints: []uint32{1, 2}, Figures: []uint32{3}}
	datagram, err := proto.Marshal(&newspb.Batch{Sender: "e", Parts: []*newspb.Part{{Hub: 1, Sums: loads}}})
	require.NoError(t, err)
	_, err = Decode(datagram, 0)
	var mismatch *ValueCountError
	require.ErrorAs(t, err, &mismatch)
	require.NotEmpty(t, mismatch.Field)
}

// Decoding encoded news and liveness restores them.
func TestNewsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = clock.Millis(1_000_000)
		batch := input.Batch{Sender: "hub", Forward: rapid.Bool().Draw(t, "passOn")}
		for range rapid.IntRange(0, 3).Draw(t, "news") {
			batch.News = append(batch.News, drawNews(t))
		}
		for range rapid.IntRange(0, 3).Draw(t, "live") {
			if batch.DomainsSeenAt == nil {
				batch.DomainsSeenAt = map[ident.Domain]clock.Millis{}
			}
			domain := ident.Domain(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "domain"))
			batch.DomainsSeenAt[domain] = now - clock.Millis(rapid.IntRange(0, 2000).Draw(t, "liveAge"))
		}
		for range rapid.IntRange(0, 3).Draw(t, "missing") {
			batch.Missing = append(batch.Missing, tally.EntryHash(rapid.Uint32().Draw(t, "mark")))
		}
		datagram, err := Encode(batch, now)
		require.NoError(t, err)
		decoded, err := Decode(datagram, now)
		require.NoError(t, err)
		require.Equal(t, batch, decoded)
	})
}

func TestListRoundTrip(t *testing.T) {
	list := []pool.PeerListing{
		{Listing: pool.Listing{Name: "a", Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 6, Epoch: 7}, ColdRemaining: 1200},
		{Listing: pool.Listing{Name: "b", Service: "s", Address: "10.0.0.2:80", Domain: "d", Leaving: true}, RemovalGrace: 900},
		{Listing: pool.Listing{Name: "c", Service: "s", Address: "10.0.0.3:80", Domain: "d"}, Hold: 5500},
		{Listing: pool.Listing{Name: "d", Service: "s", Address: "10.0.0.4:80", Domain: "d"}, WrittenAt: point.Point{Era: 2, Revision: 31}},
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

// Guards against evidence in a datagram that fails the ledger or takes memory without bound.
func FuzzEvidence(f *testing.F) {
	const now = clock.Millis(1_000_000)
	crash := blame.Crash{Run: 3, At: now - 50, Lost: []blame.Lost{{SentAt: now - 90, Fingerprint: 8, Parts: []call.Part{7, 9}}}}
	news := input.News{
		Entry: "e", Crashes: []blame.Crash{crash}, Acquittals: []blame.Acquittal{{Part: 7, At: now - 4}},
		Verdicts:          []blame.Verdict{{Parts: []call.Part{9}, Crashes: 3, LastCrashAt: now - 50}},
		Losses:            []blame.Loss{{Fingerprint: 8, Run: 4, SentAt: now - 30, At: now - 20}},
		RequestAcquittals: []blame.RequestAcquittal{{Fingerprint: 6, At: now - 10}},
		RequestVerdicts:   []blame.RequestVerdict{{Fingerprint: 5, Losses: 3, LastAt: now - 20}},
	}
	seed, err := Encode(input.Batch{Sender: "e", News: []input.News{news}}, now)
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		batch, err := Decode(datagram, now)
		if err != nil {
			return
		}
		ledger := blame.New()
		for _, news := range batch.News {
			for _, acquittal := range news.Acquittals {
				ledger.ReceiveAcquittal(acquittal)
			}
			for _, crash := range news.Crashes {
				ledger.Receive(crash, now)
			}
			for _, verdict := range news.Verdicts {
				ledger.ReceiveVerdict(verdict, now)
			}
			for _, acquittal := range news.RequestAcquittals {
				ledger.ReceiveRequestAcquittal(acquittal)
			}
			for _, loss := range news.Losses {
				ledger.ReceiveLoss(loss, now)
			}
			for _, verdict := range news.RequestVerdicts {
				ledger.ReceiveRequestVerdict(verdict, now)
			}
		}
		if _, isQuarantined := ledger.Quarantine(nil, now); isQuarantined {
			t.Fatal("a prompt without parts is quarantined")
		}
		ledger.Advance(now + blame.PartTTL)
	})
}
