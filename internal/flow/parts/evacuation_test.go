package parts

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/evac"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/place"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

// Guards against new work at an evacuated failure domain by another way than a first send: helpers,
// resumptions, retries, withdrawn sends and reports. What runs there must go on.
func TestNothingNewGoesToAnEvacuatedDomain(t *testing.T) {
	e := newTestEntry(t).configure(12)
	var running []uint64
	for range 60 {
		number, got := e.request("/short/1", 5000, 10000)
		requireSend(t, got)
		running = append(running, number)
	}
	runningSouth := 0
	for _, endpoint := range e.board.Pool.ByService(engines) {
		if endpoint.Domain == "south" {
			runningSouth += len(endpoint.Work)
		}
	}
	require.NotZero(t, runningSouth)
	e.outputs = nil
	e.step(input.EvacuationRead{Domain: "south", At: point.Point{Revision: 20}})
	require.Zero(t, e.countSouth())
	e.advance(1000)
	e.board.Pool.MarkUnreachable("south", e.board.Now)
	e.advance(2 * clock.Second)
	for _, out := range e.outputs {
		_, isCancel := out.(output.CancelSend)
		require.False(t, isCancel)
	}
	for name := range e.paceRequests() {
		require.NotEqual(t, ident.Domain("south"), e.board.Pool.Find(name).Domain, "report requested")
	}
	for i, number := range running {
		result := []call.Result{
			{End: call.EndAnswerLost, Delivered: true, Closed: true}, {End: call.EndNotRun, Refused: true}, {End: call.EndNotRun, Withdrawn: true},
		}[i%3]
		result.Number = number
		counts := map[ident.Domain]int{}
		e.countDomains(e.endSend(result), counts)
		require.Zero(t, counts["south"])
	}
	for _, out := range e.outputs {
		if probe, isProbe := out.(output.ProbeEndpoint); isProbe {
			e.step(input.EndpointProbed{Endpoint: probe.Endpoint, Epoch: probe.Epoch, Outcome: input.ProbeUnknown})
		}
	}
	e.advance(400)
	for _, out := range e.outputs {
		probe, isProbe := out.(output.ProbeEndpoint)
		require.False(t, isProbe && probe.WantsReport && e.board.Pool.Find(probe.Endpoint).Domain == "south")
	}
	number, got := e.request("/read/1", 0, 800)
	requireSend(t, got)
	for range place.MaxRefusals + 1 {
		requireSend(t, e.endSend(call.Result{Number: number, End: call.EndNotRun, Withdrawn: true}))
	}
	e.board.Pool.MarkReachable("south")
	e.step(input.EvacuationRemoved{Domain: "south", At: point.Point{Revision: 21}})
	counts := map[ident.Domain]int{}
	for range 12 {
		_, got := e.request("/read/1", 0, 800)
		e.countDomains(got, counts)
	}
	require.NotZero(t, counts["south"])
}

// countDomains adds the failure domains of the endpoints of a send, if the output is one.
func (e *testEntry) countDomains(out output.Output, counts map[ident.Domain]int) {
	send, isSend := out.(output.Send)
	if !isSend {
		return
	}
	counts[e.board.Pool.Find(send.Send.Endpoint).Domain]++
	for _, helper := range send.Send.Helpers {
		counts[e.board.Pool.Find(helper.Endpoint).Domain]++
	}
}

// Guards against a caller that is kept waiting, or told to come back too soon, while all endpoints of
// its service are evacuated; also if the domains are evacuated one by one and one name is unknown.
func TestCallerIsToldOfEvacuation(t *testing.T) {
	e := newTestEntry(t).configure(6)
	for i, domain := range []ident.Domain{"south", "nowhere", "harbour"} {
		e.step(input.EvacuationRead{Domain: domain, At: point.Point{Revision: 20 + uint64(i)}})
		_, got := e.request("/short/1", 5000, 10000)
		requireSend(t, got)
	}
	e.step(input.EvacuationRead{Domain: "north", At: point.Point{Revision: 23}})
	for path, tokens := range map[string]int{"/short/1": 5000, "/long/1": 154000, "/read/1": 0} {
		_, got := e.request(path, tokens, 0)
		requireReply(t, got, call.ReasonEvacuated, http.StatusServiceUnavailable)
		require.GreaterOrEqual(t, got.(output.Reply).Reply.RetryAfter, clock.Millis(200))
	}
}

// Guards against older state that evacuates a failure domain anew or ends an evacuation, wherever it comes from.
func TestEvacuationNeverReverts(t *testing.T) {
	e := newTestEntry(t).configure(6)
	south := evac.NewSet(map[ident.Domain]point.Point{"south": {Revision: 20}})
	listed := e.board.Pool.Snapshot(e.board.Now)
	var list []pool.Listing
	for _, listing := range listed {
		list = append(list, listing.Listing)
	}
	for i, step := range []struct {
		in       input.Input
		isInSet  bool
		revision uint64
	}{
		{input.EvacuationRead{Domain: "south", At: point.Point{Revision: 20}}, true, 20},
		{input.EvacuationRemoved{Domain: "south", At: point.Point{Revision: 19}}, true, 20},
		{input.ListRead{List: list, At: point.Point{Revision: 20}}, true, 20},
		{input.ListReceived{List: listed, At: point.Point{Revision: 15}}, true, 20},
		{input.ListReceived{IsDelta: true, At: point.Point{Revision: 21}, Evacuated: south}, true, 21},
		{input.EvacuationRead{Domain: "south", At: point.Point{Revision: 22}}, true, 22},
		{input.ListReceived{IsDelta: true, At: point.Point{Revision: 23}}, false, 23},
		{input.EvacuationRead{Domain: "south", At: point.Point{Revision: 20}}, false, 23},
		{input.ListReceived{IsDelta: true, At: point.Point{Revision: 21}, Evacuated: south}, false, 23},
		{input.ListRead{List: list, At: point.Point{Revision: 22}, Evacuated: south}, false, 23},
		// A page of a whole read that is newer than the first one.
		{input.ListRead{List: list, At: point.Point{Revision: 24}, Evacuated: evac.NewSet(map[ident.Domain]point.Point{"south": {Revision: 26}})}, true, 24},
		{input.ListReceived{IsDelta: true, At: point.Point{Revision: 25}}, true, 25},
		{input.EvacuationRead{Domain: "south", At: point.Point{Revision: 26}}, true, 26},
		{input.ListRead{List: list, At: point.Point{Revision: 27}}, false, 27},
	} {
		e.step(step.in)
		require.Equal(t, step.isInSet, e.board.Pool.Evacuated().Contains("south"), i)
		require.Equal(t, step.isInSet, e.board.Pool.Find("engine-01").IsEvacuated(), i)
		require.Equal(t, point.Point{Revision: step.revision}, e.board.ListAt, i)
	}
	e.step(input.EvacuationRead{Domain: "harbour", At: point.Point{Revision: 28}})
	e.step(input.EndpointRead{At: point.Point{Revision: 29}, Record: pool.Listing{Name: "new", Service: engines, Slots: 16, Domain: "harbour", Epoch: 1}})
	require.False(t, e.board.Pool.Find("new").IsUsable(e.board.Now), "listed during the evacuation")
}

// evacuationLimit is the time in which an instruction must be in force at all entries.
const evacuationLimit = 2 * clock.Second

// evacuationRun is a fleet under load. evacuatedAt holds since when each failure domain is evacuated. The domain
// cut is cut off from the others until healedAt.
type evacuationRun struct {
	*fleet
	random      *rand.Rand
	evacuatedAt map[ident.Domain]clock.Millis
	cut         ident.Domain
	healedAt    clock.Millis
}

// isLost reports whether a datagram is lost: one that crosses the cut, and a tenth of the others.
func (r *evacuationRun) isLost(from *fleetEntry, to string) bool {
	host, _, _ := strings.Cut(to, ":")
	receiver := r.entriesByHost[host]
	isAcross := receiver != nil && (from.board.Domain == r.cut) != (receiver.board.Domain == r.cut)
	return isAcross && r.now < r.healedAt || r.random.IntN(10) == 0
}

// run sends requests at random entries for the given time, and returns how many endpoints of each failure
// domain got one. None may in one that has been evacuated for evacuationLimit, by an entry that was not cut
// off meanwhile.
func (r *evacuationRun) run(duration clock.Millis) map[ident.Domain]int {
	total := map[ident.Domain]int{}
	for end := r.now + duration; r.now < end; r.advance(20) {
		for range 1 + len(r.entries)/40 {
			entry := r.entries[r.random.IntN(len(r.entries))]
			kind := r.random.IntN(3)
			number, got := r.request(entry, []string{"/short/1", "/read/1", "/long/1"}[kind], []int{5000, 0, 154000}[kind])
			counts := map[ident.Domain]int{}
			entry.countDomains(got, counts)
			r.carryOut(entry, entry.step(input.SendEnded{Result: completeResult(number)}))
			for domain, count := range counts {
				total[domain] += count
				since, isEvacuated := r.evacuatedAt[domain]
				if entry.board.Domain == r.cut {
					since = max(since, r.healedAt)
				}
				require.False(r.t, isEvacuated && r.now-since >= evacuationLimit, "%s to %s after %d ms", entry.board.Self, domain, r.now-since)
			}
		}
	}
	return total
}

// publish lets one entry read an instruction. The others can hear of it from their peers only.
func (r *evacuationRun) publish(entry *fleetEntry, in input.Input) {
	switch in := in.(type) {
	case input.EvacuationRead:
		r.evacuatedAt[in.Domain] = r.now
	case input.EvacuationRemoved:
		delete(r.evacuatedAt, in.Domain)
	}
	r.carryOut(entry, entry.step(in))
}

// Pattern: two failure domains are evacuated one after the other under a load of all kinds of requests, while a tenth of the
// datagrams between entries is lost and the others are late. A single entry can read the store. One entry
// is started meanwhile with a list from before. One domain is evacuated while it is cut off. The other is taken back, and a third one within a second.
func TestEvacuationIsInForceInTime(t *testing.T) {
	for _, size := range []int{20, 66, 138, 370} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			r := &evacuationRun{
				fleet: newFleet(t, size), random: rand.New(rand.NewPCG(uint64(size), 6)), cut: "harbour",
				evacuatedAt: map[ident.Domain]clock.Millis{},
			}
			r.disturb = func(from *fleetEntry, to string) (clock.Millis, bool) {
				return clock.Millis(r.random.IntN(40)), r.isLost(from, to)
			}
			r.advance(3 * clock.Second)
			reader := r.entries[0]
			r.publish(reader, input.EvacuationRead{Domain: "south", At: point.Point{Revision: 20}})
			r.run(700)
			r.healedAt = r.now + 1200
			r.start(size - 1)
			r.publish(reader, input.EvacuationRead{Domain: "harbour", At: point.Point{Revision: 21}})
			r.run(evacuationLimit + 500)
			r.publish(reader, input.EvacuationRemoved{Domain: "south", At: point.Point{Revision: 22}})
			r.publish(reader, input.EvacuationRead{Domain: "north", At: point.Point{Revision: 23}})
			r.run(500)
			r.publish(reader, input.EvacuationRemoved{Domain: "north", At: point.Point{Revision: 24}})
			r.run(evacuationLimit)
			for _, entry := range r.entries {
				require.Equal(t, evac.NewSet(map[ident.Domain]point.Point{"harbour": {Revision: 21}}), entry.board.Pool.Evacuated(), entry.board.Self)
				for _, endpoint := range entry.board.Pool.ByService(engines) {
					require.Equal(t, endpoint.Domain != "harbour", endpoint.IsUsable(entry.board.Now), "%s at %s", endpoint.Name, entry.board.Self)
				}
			}
			// Few short prompts need no more than one engine, so a domain gets its first request with a long one.
			counts := r.run(evacuationLimit)
			require.NotZero(t, counts["south"])
			require.NotZero(t, counts["north"])
			require.Zero(t, counts["harbour"])
		})
	}
}
