package parts

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/learn"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

const (
	bulkKey   = "key-of-bulk"
	cheapCost = 20 * clock.Millis(1)
	dearCost  = 20 * cheapCost
	deskSlots = 6
	// sameDomainDelay and otherDomainDelay are the delays from entries to endpoints, one way.
	sameDomainDelay  = 1 * clock.Millis(1)
	otherDomainDelay = 3 * clock.Millis(1)
)

type (
	// deskFleet simulates endpoints of the plain service desk before a fleet. Each runs deskSlots requests
	// at the same time, and the others in order of arrival.
	deskFleet struct {
		*fleet
		random *rand.Rand
		// running holds when each endpoint's slots are free again.
		running map[ident.Endpoint][]clock.Millis
		// slow holds the factor by which endpoints take longer.
		slow    map[ident.Endpoint]clock.Millis
		pending []scheduledInput
		sentTo  map[ident.Endpoint]int
		// byCount makes entries forget all costs, so that they choose by count.
		byCount bool
	}

	// deskLoad is a pattern of requests of one route.
	deskLoad struct {
		perSecond float64
		dearShare float64
		// path and key tell dear requests from cheap ones.
		path, key string
	}
)

// newDeskFleet starts entries before the given number of endpoints of the service desk.
func newDeskFleet(t *testing.T, entries, endpoints int) *deskFleet {
	f := &deskFleet{
		fleet: newFleet(t, entries), random: rand.New(rand.NewPCG(3, 4)), running: map[ident.Endpoint][]clock.Millis{},
		slow: map[ident.Endpoint]clock.Millis{}, sentTo: map[ident.Endpoint]int{},
	}
	for i, e := range f.entries {
		e.board.Random = rand.New(rand.NewPCG(uint64(i), 5))
		f.configure(e, endpoints)
	}
	f.advance(3 * clock.Second)
	return f
}

func (f *deskFleet) configure(e *fleetEntry, endpoints int) {
	newPlan := testPlan(6).WithOrganisations(map[string]plan.Organisation{callerKey: {Name: "city"}, bulkKey: {Name: "bulk"}})
	e.step(input.PlanRead{Plan: newPlan})
	var list []pool.Listing
	domains := []ident.Domain{"north", "south", "harbour"}
	for i := range endpoints {
		list = append(list, pool.Listing{
			Name: ident.Endpoint(fmt.Sprintf("desk-%d", i)), Service: desk, Slots: deskSlots,
			Address: fmt.Sprintf("10.2.0.%d:80", i), Domain: domains[i%len(domains)], Epoch: 1,
		})
	}
	e.step(input.ListRead{List: list, Revision: 11})
	e.outputs = nil
}

// run simulates the load for the given time. It returns how long each cheap request took, sorted.
func (f *deskFleet) run(duration clock.Millis, load deskLoad) []clock.Millis {
	var cheap []clock.Millis
	for end := f.now + duration; f.now < end; {
		f.advance(fleetTick)
		slices.SortStableFunc(f.pending, func(a, b scheduledInput) int { return cmp.Compare(a.at, b.at) })
		for len(f.pending) > 0 && f.pending[0].at <= f.now {
			next := f.pending[0]
			f.pending = f.pending[1:]
			if !next.entry.isDown {
				f.carryOut(next.entry, next.entry.step(next.value))
			}
		}
		for sent := f.random.Float64(); sent < load.perSecond*fleetTick.Duration().Seconds(); sent++ {
			isDear := f.random.Float64() < load.dearShare
			took := f.send(f.entries[f.random.IntN(len(f.entries))], load, isDear)
			if !isDear && took > 0 {
				cheap = append(cheap, took)
			}
		}
	}
	slices.Sort(cheap)
	return cheap
}

// send passes a request to the entry. It returns how long the request takes.
func (f *deskFleet) send(e *fleetEntry, load deskLoad, isDear bool) clock.Millis {
	if f.byCount {
		e.board.Costs = learn.New()
	}
	path, key, cost := "/order/list", callerKey, cheapCost
	if isDear {
		path, key, cost = load.path, load.key, dearCost
	}
	e.lastNumber++
	number := e.lastNumber
	outputs := e.step(input.RequestReceived{Request: call.Request{Number: number, Host: host, Path: path, Key: key, BodyBytes: 600, Fingerprint: number}})
	f.carryOut(e, outputs)
	sent, isSend := e.outputFor(number, outputs).(output.Send)
	if !isSend {
		return 0
	}
	name := sent.Send.Endpoint
	f.sentTo[name]++
	delay := sameDomainDelay
	if e.board.Pool.Find(name).Domain != e.board.Domain {
		delay = otherDomainDelay
	}
	if f.running[name] == nil {
		f.running[name] = make([]clock.Millis, deskSlots)
	}
	slots := f.running[name]
	slot := slices.Index(slots, slices.Min(slots))
	endsAt := max(slots[slot], f.now+delay) + cost*max(f.slow[name], 1)
	slots[slot] = endsAt
	f.pending = append(f.pending, scheduledInput{endsAt + delay, e, input.SendEnded{Result: completeResult(number)}})
	return endsAt + delay - f.now
}

func percentile(sorted []clock.Millis, share float64) clock.Millis {
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// Guards against cheap requests that wait behind dear ones of the same route: where an organisation or a path
// makes requests cost 20 times as much, the 99th percentile of the cheap ones must be under half of that of a choice by
// count, in small and large fleets.
func TestCheapRequestsAvoidDearOnes(t *testing.T) {
	byOrganisation := deskLoad{perSecond: 450, dearShare: 0.12, path: "/order/list", key: bulkKey}
	byPath := deskLoad{perSecond: 450, dearShare: 0.12, path: "/order/export", key: callerKey}
	for _, test := range []struct {
		entries int
		load    deskLoad
	}{{20, byPath}, {66, byOrganisation}, {138, byPath}} {
		t.Run(strconv.Itoa(test.entries), func(t *testing.T) {
			t.Parallel()
			last := map[bool]clock.Millis{}
			for _, byCount := range []bool{false, true} {
				f := newDeskFleet(t, test.entries, 7)
				f.byCount = byCount
				f.run(12*clock.Second, test.load)
				last[byCount] = percentile(f.run(12*clock.Second, test.load), 0.99)
			}
			t.Logf("by cost %v, by count %v", last[false], last[true])
			require.Less(t, 2*last[false], last[true])
		})
	}
}
