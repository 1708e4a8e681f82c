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
	"mustardhook/internal/fake/motor"
	"mustardhook/internal/serve/parts"
	"mustardhook/internal/wire/ticket"
)

const (
	latency     = 2 * clock.Millis(1)
	lossTime    = 1 * clock.Second
	tickSpan    = 100 * clock.Millis(1)
	origin      = 1_000_000 * clock.Second
	loadTime    = 300 * clock.Millis(1)
	serviceName = "booking"
	modelName   = "advice"
	crashPrint  = 666
)

type (
	// task is something that happens at an instant.
	task struct {
		at  clock.Millis
		seq int
		run func()
	}

	tasks []task

	// entry is one entry's core and its callers.
	entry struct {
		name    ident.Entry
		domain  ident.Domain
		core    loop.Core
		epoch   uint64
		dead    bool
		exited  bool
		paused  bool
		waiting []event.Event
		numbers map[fleet.Ref]fleet.Number
	}

	// runner is one engine: the model of package motor and its streams.
	runner struct {
		name    ident.Endpoint
		domain  ident.Domain
		motor   *motor.Simulator
		boot    uint64
		dead    bool
		leaving bool
		streams map[ident.Attempt]*stream
		taken   []clock.Millis
		models  []event.Loaded
		orders  []fleet.Number
		deaths  int
		// refuses makes the engine take no attempt; asked counts those that came.
		refuses bool
		asked   int
	}

	stream struct {
		to    *entry
		life  uint64
		first bool
		next  int
		print uint64
	}

	// desk is one instance of the plain service.
	desk struct {
		name   ident.Endpoint
		domain ident.Domain
		dead   bool
		mute   bool
	}

	// prompt is what a caller of a prompt saw.
	prompt struct {
		asked   event.CompletionAsked
		at      *entry
		life    uint64
		began   clock.Millis
		tokens  int
		ended   bool
		endedAt clock.Millis
		reason  action.Reason
		twisted bool
	}

	// booking is what a caller of a service call saw.
	booking struct {
		key     string
		at      *entry
		life    uint64
		began   clock.Millis
		ended   bool
		result  msgs.Result
		ranThen int
	}

	// pump moves events and actions between a few cores and small fakes in
	// virtual time. It is no model of a cluster: there is no machine, disk or
	// bandwidth in it, just messages that arrive, are late or are lost.
	pump struct {
		now      clock.Millis
		seq      int
		queue    tasks
		entries  []*entry
		runners  []*runner
		desks    []*desk
		texts    [][]byte
		revision uint64
		list     []event.Instance
		listed   uint64
		down     bool
		frozen   int
		cut      map[ident.Domain]bool
		blind    map[ident.Domain]bool
		prompts  map[ident.Request]*prompt
		bookings map[ident.Request]*booking
		runs     map[string]int
		requests int
		events   int
		leftAt   clock.Millis
		onEvent  func()
		log      []string
		broken   []string
		without  mutant
		// filedAt and inForce tell when tickets were published and came in force.
		filedAt []clock.Millis
		inForce map[ident.Entry]map[fleet.Number]clock.Millis
	}

	// mutant is a fleet without one mechanism.
	mutant struct {
		name string
		// dropped is the priority of a controller that is left out.
		dropped int
		// added runs as another controller, before all others.
		added loop.Controller
		// restarts makes resumed attempts start from the first token.
		restarts bool
		// deaf makes engines' cancels get lost.
		deaf bool
		// stale keeps all tickets but the first from being read.
		stale bool
	}
)

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].seq < t[j].seq)
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

var domains = []ident.Domain{"north", "south", "harbour"}

// newPump starts a fleet: entries, engines and service instances go round the
// failure domains.
func newPump(entries, engines, desks int, without mutant) *pump {
	p := &pump{
		without: without, inForce: map[ident.Entry]map[fleet.Number]clock.Millis{},
		now: origin, cut: map[ident.Domain]bool{}, blind: map[ident.Domain]bool{},
		prompts: map[ident.Request]*prompt{}, bookings: map[ident.Request]*booking{}, runs: map[string]int{},
		frozen: -1,
	}
	for i := range engines {
		p.runners = append(p.runners, p.newRunner(i))
	}
	for i := range desks {
		p.desks = append(p.desks, &desk{name: ident.Endpoint(fmt.Sprintf("d%d", i)), domain: domains[i%3]})
	}
	for i := range entries {
		e := &entry{name: ident.Entry(fmt.Sprintf("e%d", i)), domain: domains[i%3]}
		p.entries = append(p.entries, e)
		p.list = append(p.list, event.Instance{
			Name: string(e.name), Domain: e.domain, Address: string(e.name), IsEntry: true,
		})
	}
	p.file(p.first())
	if without.stale {
		p.frozen = 1
	}
	for _, e := range p.entries {
		p.boot(e)
	}
	return p
}

func (p *pump) newRunner(i int) *runner {
	config := motor.Config{Rate: 20000, Memory: 100_000, Step: 20, Batch: 32, Lag: 200}
	return &runner{
		name: ident.Endpoint(fmt.Sprintf("g%d", i)), domain: domains[i%3], motor: motor.New(config, p.now),
		boot: 1, streams: map[ident.Attempt]*stream{},
		models: []event.Loaded{{Model: modelName, Version: "1"}},
	}
}

// first declares the whole fleet.
func (p *pump) first() string {
	var endpoints, names []string
	for _, r := range p.runners {
		endpoints = append(endpoints, p.declare(string(r.name), r.domain, "", "serving"))
		names = append(names, `"`+string(r.name)+`"`)
	}
	for _, d := range p.desks {
		endpoints = append(endpoints, p.declare(string(d.name), d.domain, serviceName, "serving"))
	}
	return `"failureDomains": [{"name": "north", "region": "r"}, {"name": "south", "region": "r"}, {"name": "harbour", "region": "r"}],
"services": [{"name": "booking", "retentionMillis": 600000}],
"endpoints": [` + strings.Join(endpoints, ",\n") + `],
"models": [{"name": "advice", "version": "1", "endpoints": [` + strings.Join(names, ", ") + `]}],
"organisations": [{"name": "crew", "share": 0.5}]`
}

func (p *pump) declare(name string, domain ident.Domain, service, phase string) string {
	return fmt.Sprintf(`{"name": %q, "failureDomain": %q, "address": "10.0.0.1:1", "service": %q, "phase": %q}`,
		name, domain, service, phase)
}

// file publishes a ticket's fields under the next number.
func (p *pump) file(body string) {
	p.fileText(fmt.Sprintf("{\"number\": %d, %s}", len(p.texts)+1, body))
}

func (p *pump) fileText(text string) {
	p.texts = append(p.texts, []byte(text))
	p.filedAt = append(p.filedAt, p.now)
	p.revision++
}

func (p *pump) boot(e *entry) {
	e.epoch++
	e.core = p.without.newCore()
	p.inForce[e.name] = map[fleet.Number]clock.Millis{}
	e.dead, e.paused, e.exited = false, false, false
	e.waiting = nil
	e.numbers = map[fleet.Ref]fleet.Number{}
	life := e.epoch
	settings := event.Settings{
		DefaultDeadline: clock.Minute, MaximalDeadline: clock.Hour, MaximalPrompt: 1_000_000,
		MaximalInFlight: 1000, OrdersEnabled: true,
	}
	p.step(e, life, event.Started{
		Self: ident.Incarnation{Entry: e.name, Epoch: uint64(p.now) + life}, Domain: e.domain, Address: string(e.name),
		Seed: uint64(len(e.name)) + life, Settings: settings,
	})
	p.tickLater(e, life)
}

// newCore returns a core without the mechanism.
func (m mutant) newCore() loop.Core {
	var kept []loop.Registration
	for _, registration := range parts.Controllers() {
		if registration.Priority != m.dropped {
			kept = append(kept, registration)
		}
	}
	if m.added != nil {
		kept = append(kept, loop.Registration{Controller: m.added})
	}
	return loop.NewCore(loop.WithControllers(kept...))
}

func (p *pump) tickLater(e *entry, life uint64) {
	p.after(tickSpan, func() {
		if e.epoch == life && !e.dead && !e.exited {
			p.step(e, life, event.Ticked{})
			p.tickLater(e, life)
		}
	})
}

func (p *pump) after(span clock.Millis, run func()) {
	p.seq++
	heap.Push(&p.queue, task{p.now + span, p.seq, run})
}

// run moves the fleet on.
func (p *pump) run(span clock.Millis) {
	until := p.now + span
	for len(p.queue) > 0 && p.queue[0].at <= until {
		next := heap.Pop(&p.queue).(task)
		p.now = next.at
		next.run()
	}
	p.now = until
}

// step hands an event to a core, unless that life of the entry is over. A paused
// entry gets its events when it wakes.
func (p *pump) step(e *entry, life uint64, happened event.Event) {
	if e.dead || e.exited || e.epoch != life {
		return
	}
	if e.paused {
		if _, tick := happened.(event.Ticked); !tick {
			e.waiting = append(e.waiting, happened)
		}
		return
	}
	if _, tick := happened.(event.Ticked); !tick {
		p.events++
		if p.onEvent != nil {
			p.onEvent()
		}
		if e.dead || e.epoch != life {
			return
		}
	}
	for _, wanted := range e.core.Step(p.now, happened) {
		p.carryOut(e, life, wanted)
	}
	p.checkNumbers(e)
	p.stampTickets(e)
}

// stampTickets notes when each ticket came in force at the entry.
func (p *pump) stampTickets(e *entry) {
	state := e.core.Board().State
	stamps := p.inForce[e.name]
	for number := fleet.Number(len(stamps) + 1); number <= state.Highest() && int(number) <= len(p.texts); number++ {
		if _, known := state.Ticket(number); !known {
			return
		}
		stamps[number] = p.now
	}
}

// checkNumbers checks that no object of the state goes back to an older ticket.
func (p *pump) checkNumbers(e *entry) {
	state := e.core.Board().State
	for _, name := range []string{"g0", "d0"} {
		ref := fleet.Ref{Kind: fleet.KindEndpoint, Name: name}
		number := state.NumberOf(ref)
		if number < e.numbers[ref] {
			p.fail("%s went back from ticket %d to %d at %s", ref, e.numbers[ref], number, e.name)
		}
		e.numbers[ref] = number
	}
}

func (p *pump) fail(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	if !slices.Contains(p.broken, text) {
		p.broken = append(p.broken, text)
	}
}

func (p *pump) note(format string, values ...any) {
	p.log = append(p.log, fmt.Sprintf("%7d  ", p.now-origin)+fmt.Sprintf(format, values...))
}

// isCut reports whether the two failure domains can't reach each other.
func (p *pump) isCut(a, b ident.Domain) bool { return a != b && (p.cut[a] || p.cut[b]) }

func (p *pump) carryOut(e *entry, life uint64, wanted action.Action) {
	switch wanted := wanted.(type) {
	case action.WriteAudit:
		p.note("%s audit %s %s %s", e.name, wanted.Kind, wanted.Object, withoutEpochs(wanted.Text))
	case action.SendMessage:
		p.sendMessage(e, life, wanted)
	case action.StartAttempt:
		p.after(latency, func() { p.startAttempt(e, life, wanted) })
	case action.CancelAttempt:
		p.after(latency, func() { p.free(e, wanted.Endpoint, string(wanted.Attempt)) })
	case action.FreeAllocation:
		p.after(latency, func() { p.free(e, wanted.Endpoint, wanted.Name) })
	case action.FinishCompletion:
		p.finishPrompt(wanted)
	case action.SendCall:
		p.after(latency, func() { p.call(e, life, wanted) })
	case action.FinishCall:
		p.finishCall(wanted)
	case action.ReadReport:
		p.after(latency, func() { p.report(e, life, wanted) })
	case action.WatchPlatform:
		p.watch(e, life, wanted, p.now+wanted.Wait)
	case action.SendOrder:
		p.after(latency, func() { p.order(e, life, wanted) })
	case action.Exit:
		e.exited = true
		p.note("%s exits", e.name)
	}
}

// withoutEpochs keeps session logs free of numbers that only count lives.
func withoutEpochs(text string) string {
	if at := strings.Index(text, "#"); at >= 0 {
		return text[:at]
	}
	return text
}

func (p *pump) entryAt(address string) *entry {
	for _, e := range p.entries {
		if string(e.name) == address {
			return e
		}
	}
	return nil
}

func (p *pump) sendMessage(from *entry, life uint64, wanted action.SendMessage) {
	member := from.core.Board().SelfMember()
	to := p.entryAt(wanted.Address)
	p.after(latency, func() {
		if to == nil || to.dead || to.exited {
			p.step(from, life, event.MessageLost{To: wanted.Address, Message: wanted.Message})
			return
		}
		if p.isCut(from.domain, to.domain) {
			p.after(lossTime, func() {
				p.step(from, life, event.MessageLost{To: wanted.Address, Message: wanted.Message})
			})
			return
		}
		p.step(to, to.epoch, event.MessageCame{From: member, Message: wanted.Message})
	})
}

func (p *pump) runner(name ident.Endpoint) *runner {
	for _, r := range p.runners {
		if r.name == name {
			return r
		}
	}
	return nil
}

func (p *pump) startAttempt(e *entry, life uint64, wanted action.StartAttempt) {
	r := p.runner(wanted.Endpoint)
	seen := p.prompts[wanted.Request]
	end := func(verdict event.Verdict) {
		p.step(e, life, event.AttemptEnded{Attempt: wanted.Attempt, Verdict: verdict, Tokens: seen.tokens})
	}
	r.asked++
	if r.dead || r.refuses || p.isCut(e.domain, r.domain) {
		end(event.VerdictRefused)
		return
	}
	if r.leaving {
		r.taken = append(r.taken, p.now)
	}
	if seen.asked.Fingerprint == crashPrint {
		r.streams[wanted.Attempt] = &stream{to: e, life: life, print: crashPrint}
		p.kill(r)
		return
	}
	if p.without.restarts {
		wanted.ResumeAfter = 0
	}
	job := motor.Job{
		Attempt: wanted.Attempt, Owner: wanted.Owner, Tokens: seen.asked.PromptTokens, MaxTokens: seen.asked.MaxTokens,
		Prefixes: seen.asked.Prefixes, Priority: wanted.Priority, Resume: wanted.ResumeAfter, Lease: wanted.Lease,
	}
	if r.motor.Submit(p.now, job) != nil {
		end(event.VerdictRefused)
		return
	}
	r.streams[wanted.Attempt] = &stream{to: e, life: life, next: wanted.ResumeAfter}
	p.advance(r)
}

// advance hands out what the engine made by now, and wakes up at its next step.
func (p *pump) advance(r *runner) {
	for _, output := range r.motor.Advance(p.now) {
		if s := r.streams[output.Attempt]; s != nil {
			p.relay(r, s, output)
		}
	}
	if next, busy := r.motor.Next(); busy && !r.dead {
		boot := r.boot
		p.after(max(next-p.now, 1), func() {
			if r.boot == boot {
				p.advance(r)
			}
		})
	}
}

func (p *pump) relay(r *runner, s *stream, output motor.Output) {
	attempt := s.to.core.Board().Attempts[output.Attempt]
	if attempt == nil || s.to.epoch != s.life || s.to.dead {
		return
	}
	seen := p.prompts[attempt.Request]
	if output.End {
		delete(r.streams, output.Attempt)
		if output.Tokens != seen.tokens {
			seen.twisted = true
		}
		p.step(s.to, s.life, event.AttemptEnded{
			Attempt: output.Attempt, Verdict: event.VerdictComplete, Tokens: seen.tokens, Cached: output.Cached,
		})
		return
	}
	if output.Index != seen.tokens {
		seen.twisted = true
	}
	seen.tokens++
	if !s.first {
		s.first = true
		p.step(s.to, s.life, event.TokenCame{Attempt: output.Attempt})
	}
}

// kill ends a life of an engine: its streams break and its memory is gone.
func (p *pump) kill(r *runner) {
	if r.dead {
		return
	}
	p.note("engine %s dies", r.name)
	r.dead = true
	r.deaths++
	p.breakStreams(r, func(*stream) bool { return true })
}

func (p *pump) breakStreams(r *runner, which func(*stream) bool) {
	for _, name := range sortedKeys(r.streams) {
		s := r.streams[name]
		if !which(s) {
			continue
		}
		delete(r.streams, name)
		p.after(latency, func() {
			tokens := 0
			if attempt := s.to.core.Board().Attempts[name]; attempt != nil {
				tokens = p.prompts[attempt.Request].tokens
			}
			p.step(s.to, s.life, event.AttemptEnded{Attempt: name, Verdict: event.VerdictBroken, Tokens: tokens})
		})
	}
}

func (p *pump) revive(r *runner) {
	if !r.dead {
		return
	}
	r.dead = false
	r.boot++
	r.motor = motor.New(motor.Config{Rate: 20000, Memory: 100_000, Step: 20, Batch: 32, Lag: 200}, p.now)
	p.note("engine %s is back", r.name)
}

func (p *pump) free(e *entry, name ident.Endpoint, allocation string) {
	r := p.runner(name)
	if !r.dead && !p.isCut(e.domain, r.domain) && !p.without.deaf {
		r.motor.Cancel(ident.Attempt(allocation))
		delete(r.streams, ident.Attempt(allocation))
	}
}

func (p *pump) report(e *entry, life uint64, wanted action.ReadReport) {
	r := p.runner(wanted.Endpoint)
	if r.dead || p.isCut(e.domain, r.domain) {
		p.step(e, life, event.ReportFailed{Endpoint: wanted.Endpoint, Refused: r.dead})
		return
	}
	report := r.motor.Report(p.now, wanted.Since)
	report.Boot = r.boot
	report.Models = r.models
	p.after(latency, func() { p.step(e, life, event.ReportRead{Endpoint: wanted.Endpoint, Report: report}) })
}

func (p *pump) order(e *entry, life uint64, wanted action.SendOrder) {
	r := p.runner(wanted.Endpoint)
	taken := !r.dead && !p.isCut(e.domain, r.domain)
	if taken {
		r.orders = append(r.orders, wanted.Order.Fence)
		p.note("engine %s ordered with fence %d", r.name, wanted.Order.Fence)
		r.models = nil
		for _, model := range wanted.Order.Models {
			r.models = append(r.models, event.Loaded{Model: model.Name, Version: model.Version, Adapters: model.Adapters})
		}
	}
	p.after(loadTime, func() {
		p.step(e, life, event.OrderEnded{Endpoint: wanted.Endpoint, Number: wanted.Order.Fence, Taken: taken})
	})
}

// watch answers a waiting read when there is news, or when its time is over.
func (p *pump) watch(e *entry, life uint64, wanted action.WatchPlatform, until clock.Millis) {
	if p.down || p.blind[e.domain] {
		p.after(50, func() { p.step(e, life, event.PlatformFailed{Reason: "down"}) })
		return
	}
	count := len(p.texts)
	if p.frozen >= 0 {
		count = p.frozen
	}
	revision := uint64(count) + p.listed
	if revision <= wanted.AfterRevision && p.now < until {
		p.after(20, func() { p.watch(e, life, wanted, until) })
		return
	}
	tickets := parseTickets(p.texts[:count])
	p.after(latency, func() {
		p.step(e, life, event.InstancesRead{Instances: slices.Clone(p.list), Revision: revision})
		p.step(e, life, event.TicketsRead{Tickets: tickets, Revision: revision})
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

func (p *pump) call(e *entry, life uint64, wanted action.SendCall) {
	at := slices.IndexFunc(p.desks, func(d *desk) bool { return d.name == wanted.Endpoint })
	d := p.desks[at]
	if d.dead || p.isCut(e.domain, d.domain) {
		p.step(e, life, event.CallFailed{Attempt: wanted.Attempt, NotSent: true})
		return
	}
	p.runs[wanted.Key]++
	p.note("%s runs %s for %s", d.name, wanted.Key, e.name)
	if p.runs[wanted.Key] > 1 {
		p.fail("booking %s ran %d times", wanted.Key, p.runs[wanted.Key])
	}
	if d.mute {
		p.after(latency, func() { p.step(e, life, event.CallFailed{Attempt: wanted.Attempt}) })
		return
	}
	p.after(5*latency, func() {
		if p.isCut(e.domain, d.domain) {
			p.step(e, life, event.CallFailed{Attempt: wanted.Attempt})
			return
		}
		p.step(e, life, event.CallAnswered{
			Attempt: wanted.Attempt, Answer: msgs.Answer{Status: 200, Body: []byte(wanted.Key)},
		})
	})
}

// ask sends a prompt to an entry.
func (p *pump) ask(at int, tokens, maxTokens int, fingerprint uint64) {
	p.askWithin(at, tokens, maxTokens, fingerprint, 30*clock.Second)
}

func (p *pump) askWithin(at int, tokens, maxTokens int, fingerprint uint64, deadline clock.Millis) {
	p.requests++
	e := p.entries[at]
	asked := event.CompletionAsked{
		Request: ident.Request(fmt.Sprintf("r%d", p.requests)), Organisation: "crew", Model: modelName,
		PromptTokens: tokens, MaxTokens: maxTokens, Fingerprint: fingerprint, Deadline: deadline,
	}
	if fingerprint == 0 {
		asked.Fingerprint = uint64(1000 + p.requests)
	}
	seen := &prompt{asked: asked, at: e, life: e.epoch, began: p.now}
	if e.dead || e.exited {
		// The caller is refused at the port and goes to another entry.
		return
	}
	p.prompts[asked.Request] = seen
	p.step(e, e.epoch, asked)
}

func (p *pump) finishPrompt(finished action.FinishCompletion) {
	seen := p.prompts[finished.Request]
	seen.ended = true
	seen.endedAt = p.now
	seen.reason = finished.Reason
	p.note("%s finishes %s: %q after %d tokens", seen.at.name, finished.Request, finished.Reason, seen.tokens)
}

// book sends a booking to an entry.
func (p *pump) book(at int, key string) *booking {
	p.requests++
	e := p.entries[at]
	seen := &booking{key: key, at: e, life: e.epoch, began: p.now}
	if e.dead || e.exited {
		return seen
	}
	name := ident.Request(fmt.Sprintf("b%d", p.requests))
	p.bookings[name] = seen
	p.step(e, e.epoch, event.CallAsked{
		Request: name, Organisation: "crew", Service: serviceName, Key: key,
		Content: msgs.Content{Method: "POST", Path: "/book", Body: []byte(key)}, Deadline: 10 * clock.Second,
	})
	return seen
}

func (p *pump) finishCall(finished action.FinishCall) {
	seen := p.bookings[finished.Request]
	seen.ended = true
	seen.result = finished.Result
	seen.ranThen = p.runs[seen.key]
	p.note("%s answers %s: %s %s replayed=%t", seen.at.name, seen.key, finished.Result.Outcome,
		finished.Result.Reason, finished.Result.Replayed)
	if finished.Result.Outcome == msgs.OutcomeNotRun && seen.ranThen > 0 {
		p.fail("not run was said of %s, which ran", seen.key)
	}
	if finished.Result.Outcome == msgs.OutcomeDone && seen.ranThen == 0 {
		p.fail("done was said of %s, which did not run", seen.key)
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
