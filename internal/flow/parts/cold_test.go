package parts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/warm"
)

const (
	coldRate    = 14
	coldTime    = 3 * clock.Second
	coldService = ident.Service("model-00")
	// coldBound is the number of requests in a second from which users count a cold endpoint
	// as overrun.
	coldBound = 1.5*coldRate + 5
)

// coldFleet simulates callers of short prompts, and engines that become cold.
type coldFleet struct {
	*fleet
	random *rand.Rand
	due    []scheduledInput
	// sentAt holds the times of all sends by engine.
	sentAt map[ident.Endpoint][]clock.Millis
	// refused counts the replies.
	refused int
}

// newColdFleet starts a fleet before engines that tolerate the given rate of requests while they are cold.
func newColdFleet(t *testing.T, entries, engineCount int, rate float64) *coldFleet {
	f := &coldFleet{fleet: newFleet(t, entries), random: rand.New(rand.NewPCG(uint64(entries), 9)), sentAt: map[ident.Endpoint][]clock.Millis{}}
	for _, e := range f.entries {
		e.configureCold(engineCount, rate)
		e.outputs = nil
	}
	f.advance(4 * clock.Second)
	return f
}

// configureCold gives the entry engines of one service that bounds the requests to cold ones.
func (e *testEntry) configureCold(engineCount int, rate float64) *testEntry {
	e.configureModels(1, engineCount)
	service := []plan.WeightedService{{Service: coldService, Weight: 1}}
	stream := plan.Stream{Resumable: true, GapObjective: 250}
	routes := []plan.Route{
		{Name: "short", Host: host, Prefix: "/model-00/", Repeat: stream, Timeout: 10000, Objective: 300, Attempts: 2, Services: service},
	}
	newPlan := plan.New(7, routes, []plan.Service{{Name: coldService, Engine: testEngine(), ColdRate: rate, ColdTime: coldTime}}, plan.Limits{})
	e.step(input.PlanRead{Plan: newPlan.WithOrganisations(map[string]plan.Organisation{callerKey: {Name: "city"}})})
	return e
}

// listings returns the records of the engines of a failure domain, in order.
func (f *coldFleet) listings(domain ident.Domain) []pool.Listing {
	var list []pool.Listing
	for _, endpoint := range f.entries[0].board.Pool.ByService(coldService) {
		if endpoint.Domain == domain {
			list = append(list, endpoint.Listing)
		}
	}
	return list
}

// read passes an input of published state to the hubs that run.
func (f *coldFleet) read(in input.Input) {
	for _, hub := range f.entries[:3] {
		if !hub.isDown && peers.RoleOf(hub.board) != peers.RoleNone {
			f.carryOut(hub, hub.step(in))
		}
	}
}

// run lets callers send short prompts to random entries for the given time.
func (f *coldFleet) run(duration clock.Millis, perSecond float64) {
	for end := f.now + duration; f.now < end; {
		f.advance(fleetTick)
		arrived := f.due
		f.due = nil
		for _, next := range arrived {
			if next.at > f.now {
				f.due = append(f.due, next)
				continue
			}
			f.carryOut(next.entry, next.entry.step(next.value))
		}
		for left := perSecond * fleetTick.Duration().Seconds(); left > 0; left-- {
			if f.random.Float64() < left {
				entry := f.entries[f.random.IntN(len(f.entries))]
				if !entry.isDown {
					entry.request("/model-00/1", 5000, 10000)
				}
			}
		}
		for _, entry := range f.entries {
			f.collect(entry)
		}
	}
}

// collect schedules the answers to the sends of the entry.
func (f *coldFleet) collect(entry *fleetEntry) {
	for _, out := range entry.outputs {
		switch out := out.(type) {
		case output.Send:
			f.sentAt[out.Send.Endpoint] = append(f.sentAt[out.Send.Endpoint], f.now)
			f.due = append(f.due, scheduledInput{f.now + 100, entry, input.FirstEventSent{Number: out.Send.Number}},
				scheduledInput{f.now + 1600, entry, input.SendEnded{Result: completeResult(out.Send.Number)}})
		case output.Reply:
			f.refused++
		case output.SendBatch, output.SetTimer, output.FetchPublished:
			f.carryOut(entry, []output.Output{out})
		}
	}
	entry.outputs = nil
}

// busiestSecond returns the largest number of sends to an engine in any second within the span.
func (f *coldFleet) busiestSecond(engine ident.Endpoint, from, to clock.Millis) int {
	most := 0
	times := slices.DeleteFunc(slices.Clone(f.sentAt[engine]), func(at clock.Millis) bool { return at < from || at >= to })
	for first, at := range times {
		last := first
		for last < len(times) && times[last] < at+clock.Second {
			last++
		}
		most = max(most, last-first)
	}
	return most
}

// Guards against a stampede to cold engines, and against engines that stay idle afterwards.
//
// Pattern: the engines of a failure domain return together, cold, in a surge. All entries see that they
// are idle before any news of the others arrives.
func TestColdDomainReturnsInASurge(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		entries int
		rate    float64
	}{{20, coldRate}, {66, coldRate}, {138, coldRate}, {370, coldRate}, {66, 5}} {
		const engineCount, perSecond = 18, 130.0
		f := newColdFleet(t, test.entries, engineCount, test.rate)
		returning := f.listings("south")
		for i, listing := range returning {
			f.read(input.EndpointRemoved{Name: listing.Name, At: point.Point{Revision: uint64(20 + i)}})
		}
		f.run(4*clock.Second, perSecond/2)
		f.refused = 0
		for i, listing := range returning {
			listing.Epoch++
			listing.ColdLeft = coldTime
			f.read(input.EndpointRead{Record: listing, At: point.Point{Revision: uint64(60 + i)}})
		}
		start := f.now
		f.run(coldTime+warm.RampTime+clock.Second, perSecond)
		busiest, whileCold, atEnd, idle := 0, 0, 0, 0
		for _, listing := range returning {
			busiest = max(busiest, f.busiestSecond(listing.Name, start, start+coldTime))
			before := whileCold
			for _, at := range f.sentAt[listing.Name] {
				if at >= start && at < start+coldTime {
					whileCold++
				}
				if at >= start+coldTime+warm.RampTime {
					atEnd++
				}
			}
			if whileCold == before {
				idle++
			}
		}
		fair := perSecond * float64(len(returning)) / engineCount
		t.Logf("%d entries, rate %v: busiest second %d, a second %.1f while cold and %d after the ramp, fair %.1f, refused %d", test.entries, test.rate, busiest,
			float64(whileCold)/3, atEnd, fair, f.refused)
		require.LessOrEqual(t, float64(busiest), test.rate)
		require.Zero(t, idle)
		require.GreaterOrEqual(t, float64(atEnd), fair/2)
		require.Zero(t, f.refused)
	}
}

// Guards against entries that each take the whole rate of a cold engine: those that are cut off, that have just
// started or that have lost news must take no more than their parts.
//
// Pattern: a single engine becomes cold while entries are cut off, killed and restarted at random and datagrams
// are lost, under a surge.
func TestColdEngineIsNotOverrunByEntriesWithOldNews(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		f := newColdFleet(t, 60, 6, coldRate)
		f.random = rand.New(rand.NewPCG(seed, 10))
		target := f.listings("north")[0]
		f.loss = 0.3 * f.random.Float64()
		groups := map[string]int{}
		cut := 0.5 * f.random.Float64()
		for i, entry := range f.entries[3:] {
			switch draw := f.random.Float64(); {
			case draw < cut:
				groups[entry.host] = 1 + f.random.IntN(3)
			case draw < cut+0.2:
				f.start(i + 3)
				entry.configureCold(6, coldRate)
			}
		}
		f.isCut = func(from, to string) bool { return groups[from] != groups[to] }
		f.advance(clock.Millis(f.random.IntN(4000)))
		target.ColdLeft = coldTime
		// By turns, all entries read of the coldness in the store, or only those that are not cut off.
		perSecond := 240.0
		if seed%2 == 1 {
			perSecond = 60
		}
		for _, entry := range f.entries {
			if seed%2 == 0 || groups[entry.host] == 0 {
				f.carryOut(entry, entry.step(input.EndpointRead{Record: target, At: point.Point{Revision: 90}}))
			}
		}
		start := f.now
		f.run(coldTime, perSecond)
		busiest := f.busiestSecond(target.Name, start, start+coldTime)
		t.Logf("seed %d: loss %.2f, cut off %d, busiest second %d", seed, f.loss, len(groups), busiest)
		require.LessOrEqual(t, float64(busiest), coldBound)
	}
}

// An engine that has started anew is cold whatever its record says; one that is listed again is not, and
// a record that is read again starts no new coldness. Peers tell how much of it is left.
func TestColdnessStartsOnce(t *testing.T) {
	e := newTestEntry(t).configureCold(6, coldRate)
	endpoint := func() *pool.Endpoint { return e.board.Pool.Find("engine-0001") }
	record := endpoint().Listing
	require.False(t, endpoint().IsCold(e.board.Now))
	record.Epoch++
	e.step(input.EndpointRead{Record: record, At: point.Point{Revision: 20}})
	require.Equal(t, e.board.Now+coldTime, endpoint().ColdUntil())
	require.Greater(t, endpoint().Pace(e.board.Now), endpoint().Pace(e.board.Now+coldTime/2))
	e.advance(coldTime)
	require.False(t, endpoint().IsCold(e.board.Now))
	require.InDelta(t, 1, endpoint().Pace(e.board.Now), 0)

	record.ColdLeft = 2000
	e.step(input.EndpointRead{Record: record, At: point.Point{Revision: 21}})
	until := e.board.Now + 2000
	e.advance(500)
	e.step(input.ListRead{List: []pool.Listing{record}, At: point.Point{Revision: 22}})
	record.Slots = 5
	e.step(input.EndpointRead{Record: record, At: point.Point{Revision: 23}})
	require.Equal(t, until, endpoint().ColdUntil())
	other := newTestEntry(t).configureCold(6, coldRate)
	list, removed, _ := e.board.Pool.Delta(point.Point{Revision: 22}, e.board.Now)
	other.step(input.ListReceived{List: list, Departed: removed, IsDelta: true, At: point.Point{Revision: 24}})
	require.Equal(t, coldTime, other.board.Pool.Find("engine-0001").ColdUntil()-other.board.Now, "it has started anew")
	other.step(input.ListRead{List: []pool.Listing{record}, At: point.Point{Revision: 23}})
	require.Equal(t, coldTime, other.board.Pool.Find("engine-0001").ColdUntil()-other.board.Now)

	e.step(input.EndpointRemoved{Name: record.Name, At: point.Point{Revision: 30}})
	e.advance(10 * clock.Second)
	require.Nil(t, endpoint())
	e.step(input.EndpointRead{Record: record, At: point.Point{Revision: 31}})
	require.Equal(t, e.board.Now+record.ColdLeft, endpoint().ColdUntil())
	e.coldAll(coldTime, "south")
	require.Equal(t, e.board.Now+coldTime, endpoint().ColdUntil())
}

// coldAll makes all engines of the failure domains cold for the given time.
func (e *testEntry) coldAll(left clock.Millis, domains ...ident.Domain) {
	for _, endpoint := range e.board.Pool.ByHash() {
		if slices.Contains(domains, endpoint.Domain) {
			e.board.Pool.MarkEndpointCold(endpoint, e.board.Now+left, e.board.Now)
		}
	}
}

// Guards against the full load on endpoints that became cold while their failure domain was evacuated.
func TestDomainThatIsTakenBackIsCold(t *testing.T) {
	e := newTestEntry(t).configureCold(6, coldRate)
	e.advance(warm.SettleTime)
	e.step(input.EvacuationRead{Domain: "south", At: point.Point{Revision: 50}})
	e.advance(clock.Second)
	e.step(input.EvacuationRemoved{Domain: "south", At: point.Point{Revision: 51}})
	for _, endpoint := range e.board.Pool.ByService(coldService) {
		require.Equal(t, endpoint.Domain == "south", endpoint.IsCold(e.board.Now), endpoint.Name)
	}
}

// Guards against long prompts with a shard on a cold engine, which delays all others, and against a
// refusal that doesn't say when the engines can be used again.
func TestLongPromptsAvoidColdEngines(t *testing.T) {
	e := newTestEntry(t).configureCold(12, coldRate)
	e.advance(warm.SettleTime)
	e.coldAll(coldTime, "south")
	_, got := e.request("/model-00/1", 154000, 10000)
	send := requireSend(t, got)
	for _, name := range append([]ident.Endpoint{send.Endpoint}, helperNames(send)...) {
		require.False(t, e.board.Pool.Find(name).IsCold(e.board.Now))
	}
	// The only engines that are not cold are slow ones.
	for i, endpoint := range e.board.Pool.ByService(coldService) {
		if i < 3 {
			e.step(input.PaceReported{Endpoint: endpoint.Name, Factor: 3})
			continue
		}
		e.board.Pool.MarkEndpointCold(endpoint, e.board.Now+coldTime, e.board.Now)
	}
	require.NotPanics(t, func() { _, got = e.request("/model-00/1", 154000, 10000) })
	if got != nil {
		require.False(t, requireSend(t, got).IsCold)
	}
	e.coldAll(coldTime, "north", "south", "harbour")
	_, got = e.request("/model-00/1", 154000, 10000)
	reply := requireReply(t, got, call.ReasonCold, 503)
	require.GreaterOrEqual(t, reply.RetryAfter, coldTime)
	require.LessOrEqual(t, reply.RetryAfter, 2*coldTime)
	number, got := e.request("/model-00/1", 5000, 10000)
	if got == nil {
		e.outputs = nil
		e.advance(300)
		got = e.outputFor(number, e.outputs)
	}
	require.True(t, requireSend(t, got).IsCold)
	// A prompt that no engine can hold is refused as such once they are warm.
	e.advance(coldTime + warm.RampTime)
	_, got = e.request("/model-00/1", 5000000, 10000)
	requireReply(t, got, call.ReasonPromptTooLong, 503)
}

func helperNames(send call.Send) []ident.Endpoint {
	var names []ident.Endpoint
	for _, helper := range send.Helpers {
		names = append(names, helper.Endpoint)
	}
	return names
}

// Guards against a stream that is broken off because all engines are cold for a moment: it must wait.
func TestBrokenStreamWaitsForColdEngines(t *testing.T) {
	e := newTestEntry(t).configureCold(3, coldRate)
	for i := range 30 {
		e.receiveNews(ident.Entry(fmt.Sprintf("other-%02d", i)), func(n *input.News) { n.Members = 90 })
	}
	number, got := e.request("/model-00/1", 5000, 10000)
	requireSend(t, got)
	e.step(input.FirstEventSent{Number: number})
	e.coldAll(1000, "north", "south", "harbour")
	require.Nil(t, e.endSend(call.Result{Number: number, End: call.EndAnswerLost, Delivered: true}))
	e.outputs = nil
	e.advance(1000 + warm.RampTime)
	requireSend(t, e.outputFor(number, e.outputs))
}

// A deployment whose configuration has no bound is served as before, whatever records say.
func TestColdnessWithoutABoundChangesNothing(t *testing.T) {
	e := newTestEntry(t).configure(4)
	record := e.board.Pool.Find("engine-01").Listing
	record.Epoch, record.ColdLeft = 2, 3000
	e.step(input.EndpointRead{Record: record, At: point.Point{Revision: 20}})
	require.False(t, e.board.Pool.Find("engine-01").IsCold(e.board.Now))
	require.InDelta(t, 1, e.board.Pool.Find("engine-01").Pace(e.board.Now), 0)
}

// Guards against entries that start together and each take the whole rate, since they know no others yet, and
// against a stopping entry that takes a part which the others have given to the next one.
func TestStartingAndStoppingEntriesAvoidColdEngines(t *testing.T) {
	e := newTestEntry(t).configureCold(6, coldRate)
	e.coldAll(10*clock.Second, "north", "south", "harbour")
	number, got := e.request("/model-00/1", 5000, 10000)
	requireReply(t, got, call.ReasonCold, 503)
	e.advance(warm.SettleTime)
	require.Nil(t, e.board.Requests[number])
	_, got = e.request("/model-00/1", 5000, 10000)
	requireSend(t, got)
	e.step(input.StopRequested{})
	_, got = e.request("/model-00/1", 5000, 10000)
	requireReply(t, got, call.ReasonCold, 503)
	// Entries that can't reach the others after their start know from their settings that there are some.
	cutOff := newTestEntry(t).configureCold(6, coldRate)
	cutOff.board.Seeds = []string{"10.0.0.1:9000", "10.0.0.2:9000", "10.0.0.3:9000"}
	cutOff.coldAll(10*clock.Second, "north", "south", "harbour")
	cutOff.advance(warm.SettleTime)
	_, got = cutOff.request("/model-00/1", 5000, 10000)
	requireReply(t, got, call.ReasonCold, 503)
}
