package share

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

func newsOf(t *rapid.T) input.News {
	now := clock.Millis(1_000_000)
	name := rapid.StringMatching(`[a-z]{1,8}`)
	count := rapid.IntRange(0, 1_000_000)
	news := input.News{
		Entry: ident.Entry(name.Draw(t, "entry")), Life: rapid.Uint64().Draw(t, "life"), Sequence: 3, Domain: "d",
		Address: "10.0.0.1:9", PlanVersion: plan.Version(count.Draw(t, "version")), Leaving: rapid.Bool().Draw(t, "leaving"),
		Work: map[pool.Mark]map[pool.WorkID]pool.Work{}, Crashes: map[uint64]int{},
	}
	for number := range rapid.IntRange(0, 5).Draw(t, "works") {
		id := pool.WorkID{Entry: news.Entry, Number: uint64(number)}
		work := pool.Work{
			PromptTokens: count.Draw(t, "prompt"), OutputTokens: count.Draw(t, "output"), Parts: 3,
			Writing: rapid.Bool().Draw(t, "writing"), MemoryTokens: count.Draw(t, "memory"), Gap: 250,
			Since:  now - clock.Millis(count.Draw(t, "age")),
			ReadAt: now + clock.Millis(rapid.IntRange(-10000, 10000).Draw(t, "readIn")),
		}
		put := func(mark pool.Mark, work pool.Work) {
			if news.Work[mark] == nil {
				news.Work[mark] = map[pool.WorkID]pool.Work{}
			}
			news.Work[mark][id] = work
		}
		put(pool.Mark(number), work)
		for helper := range rapid.IntRange(0, 4).Draw(t, "helpers") {
			work.Helping = true
			work.MemoryTokens = count.Draw(t, "helperMemory")
			put(pool.Mark(100+helper), work)
		}
	}
	if rapid.Bool().Draw(t, "left") {
		news.Left = []pool.Mark{7, 9}
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

func TestNewsComesThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = clock.Millis(1_000_000)
		news := newsOf(t)
		text, err := Encode(news, now)
		require.NoError(t, err)
		decoded, err := Decode(text, now)
		require.NoError(t, err)
		require.Equal(t, news, decoded)
	})
}

func FuzzDecode(f *testing.F) {
	text, err := Encode(input.News{Entry: "e"}, 0)
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = Decode(text, 1000) })
}
