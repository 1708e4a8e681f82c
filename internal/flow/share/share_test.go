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
)

func newsOf(t *rapid.T) input.News {
	now := clock.Millis(1_000_000)
	name := rapid.StringMatching(`[a-z]{1,8}`)
	count := rapid.IntRange(0, 1_000_000)
	news := input.News{
		Entry: ident.Entry(name.Draw(t, "entry")), Life: rapid.Uint64().Draw(t, "life"), Sequence: 3, Domain: "d",
		Address: "10.0.0.1:9", Capacity: 134, ListRevision: 8, ConfirmedAt: now - 5, PlanVersion: plan.Version(count.Draw(t, "version")), Leaving: rapid.Bool().Draw(t, "leaving"),
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

func TestNewsComesThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = clock.Millis(1_000_000)
		batch := input.Batch{Sender: "hub", PassOn: rapid.Bool().Draw(t, "passOn")}
		for range rapid.IntRange(0, 3).Draw(t, "news") {
			batch.News = append(batch.News, newsOf(t))
		}
		for range rapid.IntRange(0, 3).Draw(t, "alive") {
			if batch.Alive == nil {
				batch.Alive = map[input.EntryMark]clock.Millis{}
			}
			mark := input.EntryMark(rapid.Uint32().Draw(t, "mark"))
			batch.Alive[mark] = now - clock.Millis(rapid.IntRange(0, 2000).Draw(t, "aliveAge"))
		}
		text, err := Encode(batch, now)
		require.NoError(t, err)
		decoded, err := Decode(text, now)
		require.NoError(t, err)
		require.Equal(t, batch, decoded)
	})
}

func TestListComesThrough(t *testing.T) {
	list := []pool.Known{
		{Listed: pool.Listed{Name: "a", Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 6, Born: 7}},
		{Listed: pool.Listed{Name: "b", Service: "s", Address: "10.0.0.2:80", Domain: "d", Leaving: true}, Doubt: 900},
	}
	require.Equal(t, list, DecodeList(EncodeList(list)))
}

// A datagram whose marks and ages differ in number is refused whole.
func TestUnevenAliveIsRefused(t *testing.T) {
	text, err := proto.Marshal(&newspb.Batch{Sender: "e", Alive: []uint32{1, 2}, AliveAgeMillis: []uint32{3}})
	require.NoError(t, err)
	_, err = Decode(text, 0)
	var uneven *AliveError
	require.ErrorAs(t, err, &uneven)
}

func FuzzDecode(f *testing.F) {
	text, err := Encode(input.Batch{Sender: "e", News: []input.News{{Entry: "e"}}}, 0)
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = Decode(text, 1000) })
}
