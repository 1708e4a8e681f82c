package parts_test

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/fake/sched"
	"mustardhook/internal/serve/parts"
	"mustardhook/internal/wire/ticket"
)

const (
	// latency is the time that a message takes in one direction.
	latency = 2 * clock.Millis(1)
	// lossTimeout is the time after which a sender learns that a message to an unreachable
	// failure domain is lost.
	lossTimeout  = 1 * clock.Second
	tickInterval = 100 * clock.Millis(1)
	// origin is the virtual time at which every simulation starts.
	origin = 1_000_000 * clock.Second
	// loadTime is the time that an engine takes to load the models of an order.
	loadTime    = 300 * clock.Millis(1)
	serviceName = "booking"
	modelName   = "advice"
	// crashFingerprint is the fingerprint of prompts that crash engines.
	crashFingerprint = 666
)

type (
	// timedTask is a function that runs at an instant of virtual time. Tasks for the same
	// instant run in the order of their sequence numbers.
	timedTask struct {
		at  clock.Millis
		seq int
		run func()
	}

	// taskQueue is a heap of tasks ordered by time.
	taskQueue []timedTask

	// entry is a simulated entry: its core and the events that arrive while it is paused.
	entry struct {
		name          ident.Entry
		domain        ident.Domain
		core          loop.Core
		epoch         uint64
		crashed       bool
		exited        bool
		paused        bool
		queuedEvents  []event.Event
		ticketNumbers map[fleet.Ref]fleet.Number
	}

	// engine is a simulated engine with its open streams. It stays in the simulation after a
	// crash, with crashed set.
	engine struct {
		name         ident.Endpoint
		domain       ident.Domain
		simulator    *sched.Simulator
		boot         uint64
		crashed      bool
		leaving      bool
		streams      map[ident.Attempt]*stream
		attemptTimes []clock.Millis
		models       []event.Loaded
		orderFences  []fleet.Number
		deaths       int
		// refusesAttempts makes the engine refuse every attempt. attemptCount counts the
		// attempts that entries sent to the engine, including those that did not reach it.
		refusesAttempts bool
		attemptCount    int
	}

	// stream is an attempt that runs at an engine, with the entry that reads it. next is
	// the index of its first token.
	stream struct {
		owner          *entry
		entryEpoch     uint64
		firstTokenSent bool
		next           int
		print          uint64
	}

	// serviceInstance is a simulated endpoint of the plain service.
	serviceInstance struct {
		name         ident.Endpoint
		domain       ident.Domain
		crashed      bool
		losesAnswers bool
	}

	// prompt records a prompt, the entry that serves it and what its caller received.
	prompt struct {
		request    event.CompletionAsked
		servedBy   *entry
		entryEpoch uint64
		startedAt  clock.Millis
		tokens     int
		ended      bool
		endedAt    clock.Millis
		reason     action.Reason
		outOfOrder bool
	}

	// booking records a service call, the entry that serves it and the result that its
	// caller received. runCountAtEnd is how often the call had run at that time.
	booking struct {
		key           string
		servedBy      *entry
		entryEpoch    uint64
		startedAt     clock.Millis
		ended         bool
		result        msgs.Result
		runCountAtEnd int
	}

	// simulation runs a cluster in virtual time. It passes events and actions between
	// real decision cores and simple fakes of everything else. It does not model the
	// machines, disks or bandwidth of a cluster, only messages that arrive, are late or
	// are lost.
	simulation struct {
		now             clock.Millis
		seq             int
		queue           taskQueue
		entries         []*entry
		engines         []*engine
		services        []*serviceInstance
		ticketTexts     [][]byte
		revision        uint64
		instances       []event.Instance
		listRevision    uint64
		platformDown    bool
		visibleTickets  int
		unreachable     map[ident.Domain]bool
		withoutPlatform map[ident.Domain]bool
		// pollLife is how long a long poll waits before the platform cuts it; zero for no cuts.
		pollLife clock.Millis
		// reportDelay is added to the latency of the reports of engines.
		reportDelay  clock.Millis
		prompts      map[ident.Request]*prompt
		bookings     map[ident.Request]*booking
		runCounts    map[string]int
		requestCount int
		eventCount   int
		leavingAt    clock.Millis
		onEvent      func()
		log          []string
		violations   []string
		mutation     mutant
		// publishedAt holds the time at which each ticket was published, and inForce the time
		// at which it took effect at each entry.
		publishedAt []clock.Millis
		inForce     map[ident.Entry]map[fleet.Number]clock.Millis
	}

	// mutant describes a cluster that lacks one mechanism. The zero value lacks none.
	mutant struct {
		name string
		// droppedPriority is the priority of the controller that is left out, or 0.
		droppedPriority int
		// extraController is an additional controller that runs before all others.
		extraController loop.Controller
		// ignoresResume makes resumed attempts start again from the first token.
		ignoresResume bool
		// losesCancels drops all cancellations on the way to the engines.
		losesCancels bool
		// readsFirstTicketOnly hides all tickets but the first from the entries.
		readsFirstTicketOnly bool
	}
)

func (t taskQueue) Len() int { return len(t) }
func (t taskQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].seq < t[j].seq)
}
func (t taskQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *taskQueue) Push(x any)   { *t = append(*t, x.(timedTask)) }
func (t *taskQueue) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

var domains = []ident.Domain{"north", "south", "harbour"}

// newSimulation starts a cluster. The entries, engines and service instances are
// distributed round-robin over the failure domains.
func newSimulation(entries, engineCount, services int, mutation mutant) *simulation {
	sim := &simulation{
		mutation: mutation, inForce: map[ident.Entry]map[fleet.Number]clock.Millis{},
		now: origin, unreachable: map[ident.Domain]bool{}, withoutPlatform: map[ident.Domain]bool{},
		prompts: map[ident.Request]*prompt{}, bookings: map[ident.Request]*booking{}, runCounts: map[string]int{},
		visibleTickets: -1,
	}
	for i := range engineCount {
		sim.engines = append(sim.engines, sim.newEngine(i))
	}
	for i := range services {
		sim.services = append(sim.services, &serviceInstance{name: ident.Endpoint(fmt.Sprintf("d%d", i)), domain: domains[i%3]})
	}
	for i := range entries {
		e := &entry{name: ident.Entry(fmt.Sprintf("e%d", i)), domain: domains[i%3]}
		sim.entries = append(sim.entries, e)
		sim.instances = append(sim.instances, event.Instance{
			Name: string(e.name), Domain: e.domain, Address: string(e.name), IsEntry: true,
		})
	}
	sim.publish(sim.firstTicket())
	if mutation.readsFirstTicketOnly {
		sim.visibleTickets = 1
	}
	for _, e := range sim.entries {
		sim.startEntry(e)
	}
	return sim
}

// newEngine returns a running engine with version 1 of the model loaded.
func (sim *simulation) newEngine(i int) *engine {
	config := sched.Config{Rate: 20000, Memory: 100_000, Step: 20, Batch: 32, Lag: 200}
	return &engine{
		name: ident.Endpoint(fmt.Sprintf("g%d", i)), domain: domains[i%3], simulator: sched.New(config, sim.now),
		boot: 1, streams: map[ident.Attempt]*stream{},
		models: []event.Loaded{{Model: modelName, Version: "1"}},
	}
}

// firstTicket returns the fields of the ticket that declares the whole cluster.
func (sim *simulation) firstTicket() string {
	var endpoints, names []string
	for _, eng := range sim.engines {
		endpoints = append(endpoints, sim.endpointJSON(string(eng.name), eng.domain, "", "serving"))
		names = append(names, `"`+string(eng.name)+`"`)
	}
	for _, svc := range sim.services {
		endpoints = append(endpoints, sim.endpointJSON(string(svc.name), svc.domain, serviceName, "serving"))
	}
	return `"failureDomains": [{"name": "north", "region": "r"}, {"name": "south", "region": "r"}, {"name": "harbour", "region": "r"}],
"services": [{"name": "booking", "retentionMillis": 600000}],
"endpoints": [` + strings.Join(endpoints, ",\n") + `],
"models": [{"name": "advice", "version": "1", "endpoints": [` + strings.Join(names, ", ") + `]}],
"organisations": [{"name": "crew", "share": 0.5}]`
}

// endpointJSON returns the declaration of an endpoint in a ticket.
func (sim *simulation) endpointJSON(name string, domain ident.Domain, service, phase string) string {
	return fmt.Sprintf(`{"name": %q, "failureDomain": %q, "address": "10.0.0.1:1", "service": %q, "phase": %q}`,
		name, domain, service, phase)
}

// publish publishes a ticket with the given fields under the next number.
func (sim *simulation) publish(body string) {
	sim.publishText(fmt.Sprintf("{\"number\": %d, %s}", len(sim.ticketTexts)+1, body))
}

// publishText publishes the text of a ticket on the platform.
func (sim *simulation) publishText(text string) {
	sim.ticketTexts = append(sim.ticketTexts, []byte(text))
	sim.publishedAt = append(sim.publishedAt, sim.now)
	sim.revision++
}

// startEntry starts an entry, or restarts it with an empty state and a new epoch.
func (sim *simulation) startEntry(e *entry) {
	e.epoch++
	e.core = sim.mutation.newCore()
	sim.inForce[e.name] = map[fleet.Number]clock.Millis{}
	e.crashed, e.paused, e.exited = false, false, false
	e.queuedEvents = nil
	e.ticketNumbers = map[fleet.Ref]fleet.Number{}
	entryEpoch := e.epoch
	settings := event.Settings{
		DefaultDeadline: clock.Minute, MaximalDeadline: clock.Hour, MaximalPrompt: 1_000_000,
		MaximalInFlight: 1000, OrdersEnabled: true,
	}
	sim.step(e, entryEpoch, event.Started{
		Self: ident.Incarnation{Entry: e.name, Epoch: uint64(sim.now) + entryEpoch}, Domain: e.domain, Address: string(e.name),
		Seed: uint64(len(e.name)) + entryEpoch, Settings: settings,
	})
	sim.scheduleTick(e, entryEpoch)
}

// newCore returns a core that lacks the mechanism.
func (m mutant) newCore() loop.Core {
	var registrations []loop.Registration
	for _, registration := range parts.Controllers() {
		if registration.Priority != m.droppedPriority {
			registrations = append(registrations, registration)
		}
	}
	if m.extraController != nil {
		registrations = append(registrations, loop.Registration{Controller: m.extraController})
	}
	return loop.NewCore(loop.WithControllers(registrations...))
}

// scheduleTick passes a Ticked event to the entry at every tick interval until the epoch
// ends.
func (sim *simulation) scheduleTick(e *entry, entryEpoch uint64) {
	sim.schedule(tickInterval, func() {
		if e.epoch == entryEpoch && !e.crashed && !e.exited {
			sim.step(e, entryEpoch, event.Ticked{})
			sim.scheduleTick(e, entryEpoch)
		}
	})
}

// schedule runs a function once the given virtual time has passed.
func (sim *simulation) schedule(duration clock.Millis, run func()) {
	sim.seq++
	heap.Push(&sim.queue, timedTask{sim.now + duration, sim.seq, run})
}

// run advances the virtual time and runs all tasks that are due.
func (sim *simulation) run(duration clock.Millis) {
	until := sim.now + duration
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		next := heap.Pop(&sim.queue).(timedTask)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// step passes an event to the core of an entry and executes the resulting actions. The
// event is dropped if the epoch of the entry has ended. A paused entry receives its
// events when it resumes, except for ticks, which are dropped.
func (sim *simulation) step(e *entry, entryEpoch uint64, in event.Event) {
	if e.crashed || e.exited || e.epoch != entryEpoch {
		return
	}
	if e.paused {
		if _, tick := in.(event.Ticked); !tick {
			e.queuedEvents = append(e.queuedEvents, in)
		}
		return
	}
	if _, tick := in.(event.Ticked); !tick {
		sim.eventCount++
		if sim.onEvent != nil {
			sim.onEvent()
		}
		if e.crashed || e.epoch != entryEpoch {
			return
		}
	}
	for _, act := range e.core.Step(sim.now, in) {
		sim.execute(e, entryEpoch, act)
	}
	sim.checkTicketNumbers(e)
	sim.recordInForce(e)
}

// recordInForce records the time at which each ticket takes effect at the entry.
func (sim *simulation) recordInForce(e *entry) {
	state := e.core.Board().State
	times := sim.inForce[e.name]
	for number := fleet.Number(len(times) + 1); number <= state.Highest() && int(number) <= len(sim.ticketTexts); number++ {
		if _, ok := state.Ticket(number); !ok {
			return
		}
		times[number] = sim.now
	}
}

// checkTicketNumbers checks that no object of the state reverts to an older ticket.
func (sim *simulation) checkTicketNumbers(e *entry) {
	state := e.core.Board().State
	for _, name := range []string{"g0", "d0"} {
		ref := fleet.Ref{Kind: fleet.KindEndpoint, Name: name}
		number := state.NumberOf(ref)
		if number < e.ticketNumbers[ref] {
			sim.addViolationf("%s went back from ticket %d to %d at %s", ref, e.ticketNumbers[ref], number, e.name)
		}
		e.ticketNumbers[ref] = number
	}
}

// addViolationf records a violated property, once for each text.
func (sim *simulation) addViolationf(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	if !slices.Contains(sim.violations, text) {
		sim.violations = append(sim.violations, text)
	}
}

// logf adds a line with the time since the start to the session log, which the golden
// files hold.
func (sim *simulation) logf(format string, values ...any) {
	sim.log = append(sim.log, fmt.Sprintf("%7d  ", sim.now-origin)+fmt.Sprintf(format, values...))
}

// isUnreachable reports whether messages between the two failure domains are lost.
func (sim *simulation) isUnreachable(a, b ident.Domain) bool {
	return a != b && (sim.unreachable[a] || sim.unreachable[b])
}

// execute executes an action of an entry, after the network latency where it applies.
func (sim *simulation) execute(e *entry, entryEpoch uint64, act action.Action) {
	switch act := act.(type) {
	case action.WriteAudit:
		sim.logf("%s audit %s %s %s", e.name, act.Kind, act.Object, trimEpoch(act.Text))
	case action.SendMessage:
		sim.sendMessage(e, entryEpoch, act)
	case action.StartAttempt:
		sim.schedule(latency, func() { sim.startAttempt(e, entryEpoch, act) })
	case action.CancelAttempt:
		sim.schedule(latency, func() { sim.cancelAllocation(e, act.Endpoint, string(act.Attempt)) })
	case action.FreeAllocation:
		sim.schedule(latency, func() { sim.cancelAllocation(e, act.Endpoint, act.Name) })
	case action.FinishCompletion:
		sim.finishPrompt(act)
	case action.SendCall:
		sim.schedule(latency, func() { sim.runCall(e, entryEpoch, act) })
	case action.FinishCall:
		sim.finishCall(act)
	case action.ReadReport:
		sim.schedule(latency, func() { sim.readReport(e, entryEpoch, act) })
	case action.WatchPlatform:
		sim.watchPlatform(e, entryEpoch, act, sim.now+act.Wait)
	case action.SendOrder:
		sim.schedule(latency, func() { sim.applyOrder(e, entryEpoch, act) })
	case action.Exit:
		e.exited = true
		sim.logf("%s exits", e.name)
	}
}

// trimEpoch removes the epoch of an entry from a text, so that the session logs contain
// no epochs.
func trimEpoch(text string) string {
	if at := strings.Index(text, "#"); at >= 0 {
		return text[:at]
	}
	return text
}

// entryAt returns the entry with the address, or nil.
func (sim *simulation) entryAt(address string) *entry {
	for _, e := range sim.entries {
		if string(e.name) == address {
			return e
		}
	}
	return nil
}

// sendMessage delivers a message to another entry. It reports the message as lost if
// that entry does not run or, after lossTimeout, if its failure domain is unreachable.
func (sim *simulation) sendMessage(from *entry, entryEpoch uint64, act action.SendMessage) {
	member := from.core.Board().SelfMember()
	to := sim.entryAt(act.Address)
	sim.schedule(latency, func() {
		if to == nil || to.crashed || to.exited {
			sim.step(from, entryEpoch, event.MessageLost{To: act.Address, Message: act.Message})
			return
		}
		if sim.isUnreachable(from.domain, to.domain) {
			sim.schedule(lossTimeout, func() {
				sim.step(from, entryEpoch, event.MessageLost{To: act.Address, Message: act.Message})
			})
			return
		}
		sim.step(to, to.epoch, event.MessageCame{From: member, Message: act.Message})
	})
}

func (sim *simulation) engineNamed(name ident.Endpoint) *engine {
	for _, eng := range sim.engines {
		if eng.name == name {
			return eng
		}
	}
	return nil
}

// startAttempt submits an attempt to an engine. A prompt with crashFingerprint crashes
// the engine.
func (sim *simulation) startAttempt(e *entry, entryEpoch uint64, act action.StartAttempt) {
	eng := sim.engineNamed(act.Endpoint)
	record := sim.prompts[act.Request]
	end := func(verdict event.Verdict) {
		sim.step(e, entryEpoch, event.AttemptEnded{Attempt: act.Attempt, Verdict: verdict, Tokens: record.tokens})
	}
	eng.attemptCount++
	if eng.crashed || eng.refusesAttempts || sim.isUnreachable(e.domain, eng.domain) {
		end(event.VerdictRefused)
		return
	}
	if eng.leaving {
		eng.attemptTimes = append(eng.attemptTimes, sim.now)
	}
	if record.request.Fingerprint == crashFingerprint {
		eng.streams[act.Attempt] = &stream{owner: e, entryEpoch: entryEpoch, print: crashFingerprint}
		sim.crashEngine(eng)
		return
	}
	if sim.mutation.ignoresResume {
		act.ResumeAfter = 0
	}
	job := sched.Job{
		Attempt: act.Attempt, Owner: act.Owner, Tokens: record.request.PromptTokens, MaxTokens: record.request.MaxTokens,
		Prefixes: record.request.Prefixes, Priority: act.Priority, Resume: act.ResumeAfter, Lease: act.Lease,
	}
	if eng.simulator.Submit(sim.now, job) != nil {
		end(event.VerdictRefused)
		return
	}
	eng.streams[act.Attempt] = &stream{owner: e, entryEpoch: entryEpoch, next: act.ResumeAfter}
	sim.advance(eng)
}

// advance forwards the output that the engine has produced by now and schedules the end
// of its next iteration.
func (sim *simulation) advance(eng *engine) {
	for _, output := range eng.simulator.Advance(sim.now) {
		if s := eng.streams[output.Attempt]; s != nil {
			sim.forwardOutput(eng, s, output)
		}
	}
	if next, busy := eng.simulator.NextIterationEnd(); busy && !eng.crashed {
		boot := eng.boot
		sim.schedule(max(next-sim.now, 1), func() {
			if eng.boot == boot {
				sim.advance(eng)
			}
		})
	}
}

// forwardOutput passes one output of an engine to the caller and the entry. It marks the
// prompt as out of order if a token is repeated or missing.
func (sim *simulation) forwardOutput(eng *engine, s *stream, output sched.Output) {
	attempt := s.owner.core.Board().Attempts[output.Attempt]
	if attempt == nil || s.owner.epoch != s.entryEpoch || s.owner.crashed {
		return
	}
	record := sim.prompts[attempt.Request]
	if output.End {
		delete(eng.streams, output.Attempt)
		if output.Tokens != record.tokens {
			record.outOfOrder = true
		}
		sim.step(s.owner, s.entryEpoch, event.AttemptEnded{
			Attempt: output.Attempt, Verdict: event.VerdictComplete, Tokens: record.tokens, Cached: output.Cached,
		})
		return
	}
	if output.Index != record.tokens {
		record.outOfOrder = true
	}
	record.tokens++
	if !s.firstTokenSent {
		s.firstTokenSent = true
		sim.step(s.owner, s.entryEpoch, event.TokenCame{Attempt: output.Attempt})
	}
}

// crashEngine stops an engine: its streams break and its memory is lost.
func (sim *simulation) crashEngine(eng *engine) {
	if eng.crashed {
		return
	}
	sim.logf("engine %s dies", eng.name)
	eng.crashed = true
	eng.deaths++
	sim.breakStreams(eng, func(*stream) bool { return true })
}

// breakStreams breaks the selected streams of an engine.
func (sim *simulation) breakStreams(eng *engine, selects func(*stream) bool) {
	for _, name := range sortedKeys(eng.streams) {
		s := eng.streams[name]
		if !selects(s) {
			continue
		}
		delete(eng.streams, name)
		sim.schedule(latency, func() {
			tokens := 0
			if attempt := s.owner.core.Board().Attempts[name]; attempt != nil {
				tokens = sim.prompts[attempt.Request].tokens
			}
			sim.step(s.owner, s.entryEpoch, event.AttemptEnded{Attempt: name, Verdict: event.VerdictBroken, Tokens: tokens})
		})
	}
}

// recoverEngine restarts a crashed engine with empty memory and a new boot number.
func (sim *simulation) recoverEngine(eng *engine) {
	if !eng.crashed {
		return
	}
	eng.crashed = false
	eng.boot++
	eng.simulator = sched.New(sched.Config{Rate: 20000, Memory: 100_000, Step: 20, Batch: 32, Lag: 200}, sim.now)
	sim.logf("engine %s is back", eng.name)
}

func (sim *simulation) cancelAllocation(e *entry, name ident.Endpoint, allocation string) {
	eng := sim.engineNamed(name)
	if !eng.crashed && !sim.isUnreachable(e.domain, eng.domain) && !sim.mutation.losesCancels {
		eng.simulator.Cancel(ident.Attempt(allocation))
		delete(eng.streams, ident.Attempt(allocation))
	}
}

func (sim *simulation) readReport(e *entry, entryEpoch uint64, act action.ReadReport) {
	eng := sim.engineNamed(act.Endpoint)
	if eng.crashed || sim.isUnreachable(e.domain, eng.domain) {
		sim.step(e, entryEpoch, event.ReportFailed{Endpoint: act.Endpoint, Refused: eng.crashed, RequestedAt: act.RequestedAt})
		return
	}
	report := eng.simulator.Report(sim.now, act.Since)
	report.Boot = eng.boot
	report.Models = eng.models
	sim.schedule(latency+sim.reportDelay, func() {
		sim.step(e, entryEpoch, event.ReportRead{Endpoint: act.Endpoint, Report: report, RequestedAt: act.RequestedAt})
	})
}

func (sim *simulation) applyOrder(e *entry, entryEpoch uint64, act action.SendOrder) {
	eng := sim.engineNamed(act.Endpoint)
	accepted := !eng.crashed && !sim.isUnreachable(e.domain, eng.domain)
	if accepted {
		eng.orderFences = append(eng.orderFences, act.Order.Fence)
		sim.logf("engine %s ordered with fence %d", eng.name, act.Order.Fence)
		eng.models = nil
		for _, model := range act.Order.Models {
			eng.models = append(eng.models, event.Loaded{Model: model.Name, Version: model.Version, Adapters: model.Adapters})
		}
	}
	sim.schedule(loadTime, func() {
		sim.step(e, entryEpoch, event.OrderEnded{Endpoint: act.Endpoint, Number: act.Order.Fence, Taken: accepted})
	})
}

// watchPlatform answers a long poll of the platform as soon as there is a newer revision,
// or when the poll times out.
func (sim *simulation) watchPlatform(e *entry, entryEpoch uint64, act action.WatchPlatform, until clock.Millis) {
	if sim.platformDown || sim.withoutPlatform[e.domain] {
		sim.schedule(50, func() { sim.step(e, entryEpoch, event.PlatformFailed{Reason: "down"}) })
		return
	}
	waited := sim.now - (until - act.Wait)
	if sim.pollLife > 0 && sim.pollLife < act.Wait && waited >= sim.pollLife {
		sim.step(e, entryEpoch, event.PlatformFailed{Reason: "cut"})
		return
	}
	count := len(sim.ticketTexts)
	if sim.visibleTickets >= 0 {
		count = sim.visibleTickets
	}
	revision := uint64(count) + sim.listRevision
	if revision <= act.AfterRevision && sim.now < until {
		sim.schedule(20, func() { sim.watchPlatform(e, entryEpoch, act, until) })
		return
	}
	if revision < act.AfterRevision {
		sim.schedule(latency, func() { sim.step(e, entryEpoch, event.HistoryChanged{Revision: revision}) })
		return
	}
	tickets := parseTickets(sim.ticketTexts[:count])
	sim.schedule(latency, func() {
		sim.step(e, entryEpoch, event.InstancesRead{Instances: slices.Clone(sim.instances), Revision: revision})
		sim.step(e, entryEpoch, event.TicketsRead{Tickets: tickets, Revision: revision})
	})
}

func parseTickets(texts [][]byte) []fleet.Ticket {
	var tickets []fleet.Ticket
	for _, text := range texts {
		if read, err := ticket.Parse("platform", text); err == nil {
			tickets = append(tickets, read)
		}
	}
	return tickets
}

// runCall runs a service call and checks that no call with the same key runs twice.
func (sim *simulation) runCall(e *entry, entryEpoch uint64, act action.SendCall) {
	index := slices.IndexFunc(sim.services, func(svc *serviceInstance) bool { return svc.name == act.Endpoint })
	svc := sim.services[index]
	if svc.crashed || sim.isUnreachable(e.domain, svc.domain) {
		sim.step(e, entryEpoch, event.CallFailed{Attempt: act.Attempt, NotSent: true})
		return
	}
	sim.runCounts[act.Key]++
	sim.logf("%s runs %s for %s", svc.name, act.Key, e.name)
	if sim.runCounts[act.Key] > 1 {
		sim.addViolationf("booking %s ran %d times", act.Key, sim.runCounts[act.Key])
	}
	if svc.losesAnswers {
		sim.schedule(latency, func() { sim.step(e, entryEpoch, event.CallFailed{Attempt: act.Attempt}) })
		return
	}
	sim.schedule(5*latency, func() {
		if sim.isUnreachable(e.domain, svc.domain) {
			sim.step(e, entryEpoch, event.CallFailed{Attempt: act.Attempt})
			return
		}
		sim.step(e, entryEpoch, event.CallAnswered{
			Attempt: act.Attempt, Answer: msgs.Answer{Status: 200, Body: []byte(act.Key)},
		})
	})
}

// sendPrompt sends a prompt with a deadline of 30 s to an entry.
func (sim *simulation) sendPrompt(entryIndex int, tokens, maxTokens int, fingerprint uint64) {
	sim.sendPromptWithin(entryIndex, tokens, maxTokens, fingerprint, 30*clock.Second)
}

// sendPromptWithin sends a prompt with the given deadline to an entry. A fingerprint of
// zero stands for one that no other prompt has.
func (sim *simulation) sendPromptWithin(entryIndex int, tokens, maxTokens int, fingerprint uint64, deadline clock.Millis) {
	sim.requestCount++
	e := sim.entries[entryIndex]
	request := event.CompletionAsked{
		Request: ident.Request(fmt.Sprintf("r%d", sim.requestCount)), Organisation: "crew", Model: modelName,
		PromptTokens: tokens, MaxTokens: maxTokens, Fingerprint: fingerprint, Deadline: deadline,
	}
	if fingerprint == 0 {
		request.Fingerprint = uint64(1000 + sim.requestCount)
	}
	record := &prompt{request: request, servedBy: e, entryEpoch: e.epoch, startedAt: sim.now}
	if e.crashed || e.exited {
		// The port of the entry is closed, so the caller would try another entry.
		return
	}
	sim.prompts[request.Request] = record
	sim.step(e, e.epoch, request)
}

func (sim *simulation) finishPrompt(finished action.FinishCompletion) {
	record := sim.prompts[finished.Request]
	record.ended = true
	record.endedAt = sim.now
	record.reason = finished.Reason
	sim.logf("%s finishes %s: %q after %d tokens", record.servedBy.name, finished.Request, finished.Reason, record.tokens)
}

// sendBooking sends a call of the booking service to an entry.
func (sim *simulation) sendBooking(entryIndex int, key string) *booking {
	sim.requestCount++
	e := sim.entries[entryIndex]
	record := &booking{key: key, servedBy: e, entryEpoch: e.epoch, startedAt: sim.now}
	if e.crashed || e.exited {
		return record
	}
	name := ident.Request(fmt.Sprintf("b%d", sim.requestCount))
	sim.bookings[name] = record
	sim.step(e, e.epoch, event.CallAsked{
		Request: name, Organisation: "crew", Service: serviceName, Key: key,
		Content: msgs.Content{Method: "POST", Path: "/book", Body: []byte(key)}, Deadline: 10 * clock.Second,
	})
	return record
}

// finishCall records the result of a service call and checks that it does not contradict
// the number of runs.
func (sim *simulation) finishCall(finished action.FinishCall) {
	record := sim.bookings[finished.Request]
	record.ended = true
	record.result = finished.Result
	record.runCountAtEnd = sim.runCounts[record.key]
	sim.logf("%s answers %s: %s %s replayed=%t", record.servedBy.name, record.key, finished.Result.Outcome,
		finished.Result.Reason, finished.Result.Replayed)
	if finished.Result.Outcome == msgs.OutcomeNotRun && record.runCountAtEnd > 0 {
		sim.addViolationf("%s was answered as not run but ran", record.key)
	}
	if finished.Result.Outcome == msgs.OutcomeDone && record.runCountAtEnd == 0 {
		sim.addViolationf("%s was answered as done but did not run", record.key)
	}
}

func sortedKeys[V any](m map[ident.Attempt]V) []ident.Attempt {
	keys := make([]ident.Attempt, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
