package parts_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/claim/voter"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/insts"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/fake/config"
	"mustardhook/internal/serve/parts"
	"mustardhook/internal/wire/watch"
)

type (
	// history is a platform that is written, copied and comes back from copies, and an entry
	// that reads it. The address of an instance is the number of the step that wrote it.
	history struct {
		t        *testing.T
		random   *rand.Rand
		platform *config.Server
		tellsEra bool
		core     loop.Core
		reader   *watch.Reader
		now      clock.Millis
		step     int
		// poll waits for a change since pollAt, or isChanged.
		poll      *action.WatchPlatform
		pollAt    clock.Millis
		isChanged bool
		// copied is the last copy, with the tickets and instances of its time.
		copied     config.Copy
		copiedKept content
		content    content
		// read has the tickets that were in force at the entry, and lastSeen the last steps that
		// made an instance leave or removed it, unless it was in use since.
		read     map[fleet.Number]bool
		lastSeen map[string]*sighting
		// listed has the last step that wrote an instance, as the entry lists it.
		listed map[string]*sighting
		// known has the instances that the entry ever listed.
		known map[string]bool
		log   []string
	}

	// content is what the platform has.
	content struct {
		tickets   map[fleet.Number]bool
		instances map[string]record
	}

	// record is the last step that wrote an instance.
	record struct {
		step    int
		leaving bool
		removed bool
	}

	// sighting is a step that an entry has read, and the first return of the platform since.
	sighting struct {
		step       int
		returnedAt clock.Millis
	}
)

var instanceNames = []string{"a", "b", "c"}

func (c content) clone() content {
	cloned := content{map[fleet.Number]bool{}, map[string]record{}}
	for number := range c.tickets {
		cloned.tickets[number] = true
	}
	for name, written := range c.instances {
		cloned.instances[name] = written
	}
	return cloned
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), platform: config.New(), core: parts.NewCore(), reader: watch.NewReader(),
		now: origin, read: map[fleet.Number]bool{}, lastSeen: map[string]*sighting{}, listed: map[string]*sighting{}, known: map[string]bool{},
		content: content{map[fleet.Number]bool{}, map[string]record{}},
	}
	h.tellsEra = h.random.IntN(4) > 0
	if h.random.IntN(2) == 0 {
		h.platform.IgnoreEra()
	}
	h.core.Step(h.now, event.Started{Self: ident.Incarnation{Entry: "e0", Epoch: 1}, Domain: "north", Address: "e0", Seed: seed})
	h.copied, h.copiedKept = h.platform.Copy(), h.content.clone()
	return h
}

// play plays one random step.
func (h *history) play() {
	h.step++
	h.isChanged = true
	name := instanceNames[h.random.IntN(len(instanceNames))]
	switch h.random.IntN(10) {
	case 0, 1:
		h.log = append(h.log, fmt.Sprintf("%d ticket", h.step))
		text := fmt.Sprintf(`{"number": %d, "failureDomains": [{"name": "d%d", "region": "r"}]}`, h.step, h.step)
		h.platform.Set(fmt.Sprintf("%s%09d", watch.TicketPrefix, h.step), []byte(text))
		h.content.tickets[fleet.Number(h.step)] = true
	case 2, 3, 4:
		leaving := h.random.IntN(2) == 0
		h.log = append(h.log, fmt.Sprintf("%d write %s leaving=%t", h.step, name, leaving))
		h.platform.SetInstance(event.Instance{Name: name, Address: fmt.Sprint(h.step), Leaving: leaving})
		h.content.instances[name] = record{step: h.step, leaving: leaving}
	case 5:
		h.log = append(h.log, fmt.Sprintf("%d remove %s", h.step, name))
		h.platform.RemoveInstance(name)
		h.content.instances[name] = record{step: h.step, removed: true}
	case 6:
		h.log = append(h.log, fmt.Sprintf("%d copy", h.step))
		h.copied, h.copiedKept = h.platform.Copy(), h.content.clone()
	case 7:
		h.comeBack()
	default:
		h.pass(clock.Millis(h.random.Int64N(int64(2 * clock.Minute))))
	}
}

// comeBack returns the platform from its copy. One that tells no era is read before it is written, since
// nothing shows its return once it has passed the known revision.
func (h *history) comeBack() {
	h.log = append(h.log, fmt.Sprintf("%d come back", h.step))
	h.platform.ComeBack(h.copied, h.tellsEra)
	h.content = h.copiedKept.clone()
	for _, sightings := range []map[string]*sighting{h.lastSeen, h.listed} {
		for _, seen := range sightings {
			if seen.returnedAt == 0 {
				seen.returnedAt = h.now
			}
		}
	}
	if !h.tellsEra {
		h.pass(2 * pollInterval)
	}
}

// pollInterval is the time within which an entry polls a platform that answers.
const pollInterval = 2 * clock.Second

// pass lets time pass while the entry reads the platform.
func (h *history) pass(duration clock.Millis) {
	h.log = append(h.log, fmt.Sprintf("%d poll for %v", h.step, duration))
	for until := h.now + max(duration, pollInterval); h.now < until; {
		h.now += 500
		for _, act := range h.core.Step(h.now, event.Ticked{}) {
			if poll, ok := act.(action.WatchPlatform); ok {
				h.poll, h.pollAt = &poll, h.now
			}
		}
		if h.poll != nil && (h.isChanged || h.now-h.pollAt >= h.poll.Wait) {
			poll := *h.poll
			h.poll, h.isChanged = nil, false
			h.answer(poll)
		}
		h.check()
	}
}

func (h *history) answer(poll action.WatchPlatform) {
	query := watch.Query(watch.Poll{Era: poll.Era, After: poll.AfterRevision, NamesEra: true})
	recorder := httptest.NewRecorder()
	h.platform.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, watch.Path+"?"+query, http.NoBody))
	require.Equal(h.t, http.StatusOK, recorder.Code)
	page, err := watch.DecodePage(recorder.Body.Bytes())
	require.NoError(h.t, err)
	for _, read := range h.reader.Events(poll, page) {
		h.core.Step(h.now, read)
	}
}

// isHoldOver reports whether what was seen may have been replaced by what an older copy says.
func (h *history) isHoldOver(seen *sighting) bool {
	return seen.returnedAt > 0 && h.now >= seen.returnedAt+insts.Hold
}

// check checks that no ticket went out of force, and that no instance went, and none that was leaving or
// removed is in use again, too early.
func (h *history) check() {
	b := h.core.Board()
	for number := range h.read {
		_, ok := b.State.Ticket(number)
		require.True(h.t, ok, "ticket %d went out of force: %v", number, h.log)
	}
	for _, stamp := range b.State.Stamps() {
		h.read[stamp.Number] = true
	}
	listed := map[string]event.Instance{}
	for _, instance := range b.List.Instances() {
		listed[instance.Name] = instance
	}
	for _, name := range instanceNames {
		instance, ok := listed[name]
		step := 0
		if ok {
			_, err := fmt.Sscan(instance.Address, &step)
			require.NoError(h.t, err)
		}
		h.checkListed(name, step)
		h.checkUse(name, step, ok && !instance.Leaving)
	}
}

// checkListed checks an instance that is listed as the step wrote it, or not at all if it is zero.
func (h *history) checkListed(name string, step int) {
	seen, wasListed := h.listed[name]
	h.known[name] = h.known[name] || step > 0
	switch {
	case step > 0 && (!wasListed || seen.step != step):
		h.listed[name] = &sighting{step: step}
	case step == 0 && wasListed:
		written := h.content.instances[name]
		isRemoved := written.removed && written.step > seen.step
		require.True(h.t, isRemoved || h.isHoldOver(seen), "%s, written by step %d, went: %v", name, seen.step, h.log)
		delete(h.listed, name)
	}
}

// checkUse checks an instance that is in use, or not, as the step wrote it.
func (h *history) checkUse(name string, step int, isUsed bool) {
	seen := h.lastSeen[name]
	if isUsed {
		isTooEarly := seen != nil && step < seen.step && !h.isHoldOver(seen)
		require.False(h.t, isTooEarly, "%s is in use again by step %d: %v", name, step, h.log)
		delete(h.lastSeen, name)
		return
	}
	// An entry doesn't remember the removal of an instance that it never listed.
	if written := h.content.instances[name]; step == 0 && written.removed && h.known[name] {
		step = written.step
	}
	if step > 0 && (seen == nil || step > seen.step) {
		h.lastSeen[name] = &sighting{step: step}
	}
}

// checkEnd checks that the entry has all that the platform has, once the holds are over.
func (h *history) checkEnd() {
	h.pass(3 * clock.Second)
	b := h.core.Board()
	for number := range h.content.tickets {
		_, ok := b.State.Ticket(number)
		require.True(h.t, ok, "ticket %d is missing: %v", number, h.log)
	}
	for name, written := range h.content.instances {
		if written.leaving {
			require.True(h.t, b.EndpointStatus(ident.Endpoint(name)).ListedLeaving, "%s doesn't leave: %v", name, h.log)
		}
	}
	h.pass(insts.Hold + clock.Second)
	want := map[string]string{}
	for name, written := range h.content.instances {
		if !written.removed {
			want[name] = fmt.Sprintf("%d %t", written.step, written.leaving)
		}
	}
	got := map[string]string{}
	for _, instance := range b.List.Instances() {
		got[instance.Name] = fmt.Sprintf("%s %t", instance.Address, instance.Leaving)
	}
	require.Equal(h.t, want, got, "%v", h.log)
}

// Guards against what is written on a platform that came back from older copies and stays unknown for good,
// and against what was removed or leaving and is in use again with a copy.
func TestHistoriesWithOlderCopies(t *testing.T) {
	const seeds = 150
	for seed := range uint64(seeds) {
		h := newHistory(t, seed)
		for range 40 {
			h.play()
		}
		h.checkEnd()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against witnesses that are silent and missing from an older copy of the list, and are replaced at
// once although they may still vote.
func TestOlderCopyReplacesNoWitnessesAtOnce(t *testing.T) {
	sim := newSimulation(9, 1, 1, mutant{})
	sim.run(warmUp)
	sim.log = nil
	sim.pauseEntry(3, clock.Hour)
	sim.pauseEntry(6, clock.Hour)
	sim.instances = slices.DeleteFunc(sim.instances, func(instance event.Instance) bool {
		return instance.Name == "e3" || instance.Name == "e6"
	})
	for _, e := range sim.entries {
		sim.step(e, e.epoch, event.InstancesRead{Instances: slices.Clone(sim.instances), Revision: 1, Anew: true})
	}
	isGone := func() bool {
		return slices.ContainsFunc(sim.log, func(line string) bool { return strings.Contains(line, "Majority of witnesses is gone") })
	}
	sim.run(insts.Hold)
	require.False(t, isGone(), "%s", strings.Join(sim.log, "\n"))
	sim.run(voter.ResetTimeout + 15*clock.Second)
	require.True(t, isGone(), "%s", strings.Join(sim.log, "\n"))
}
