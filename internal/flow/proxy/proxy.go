// Package proxy connects the decision core of a relaying entry to the network. It turns
// requests, datagrams and timers into inputs of the core and executes its outputs. All
// policy is in the core.
package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/cycle"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/place"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/port"
	"mustardhook/internal/flow/setup"
	"mustardhook/internal/serve/conns"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/logs"
)

const (
	// TickInterval is the time between two Ticked inputs.
	TickInterval = 50 * time.Millisecond

	// sessionOutputBuffer is the capacity of a session's channel of outputs.
	sessionOutputBuffer = 4
	nanosPerMs          = 1e6
	// callerMemoryRatio is the part of the instance's memory that callers may take with all that
	// they have open. Of it, connections may take connMemoryRatio of the instance's memory, heads of
	// requests headMemoryRatio, buffered answers answerMemoryRatio and bodies bodyMemoryRatio.
	callerMemoryRatio = 0.6
	connMemoryRatio   = 0.25
	headMemoryRatio   = 0.25
	answerMemoryRatio = 0.2
	bodyMemoryRatio   = 0.4
	// minAnswerMemoryRatio is the part that heads and bodies leave to answers: an answer that finds
	// no memory is lost though its request has run.
	minAnswerMemoryRatio = 0.1
	// minHeadMemoryRatio is the part that bodies leave to heads: a request without memory for its head
	// is refused.
	minHeadMemoryRatio = 0.1
	// controlMemoryRatio is the part that requests on the ports for control may take, and
	// peerConnMemoryRatio that of the connections of peers. The port for readiness has parts of its own.
	controlMemoryRatio   = 0.04
	peerConnMemoryRatio  = 0.04
	readyMemoryRatio     = 0.01
	readyConnMemoryRatio = 0.01
)

type (
	// Proxy runs the decision core of one entry and serves its ports.
	Proxy struct {
		settings setup.Settings
		dialect  port.Dialect
		source   port.Source
		logger   logs.Logger
		metrics  *entryMetrics
		// conns are the connections of callers.
		conns *conns.Tracker
		news  *newsSocket
		// peers is the client for calls to other entries, and for orders and reports.
		peers *http.Client

		// answerMemory bounds what all sessions buffer of answers, bodyMemory their request
		// bodies. controlMemory bounds the requests on the ports for control other than
		// that for readiness, which readyMemory bounds.
		answerMemory  *limit.Budget
		bodyMemory    *limit.Budget
		controlMemory *limit.Budget
		readyMemory   *limit.Budget
		// connLimits are the limits of the plan that conns has.
		connLimits plan.Limits

		// mutex guards board, cycle and connLimits.
		mutex sync.Mutex
		board *board.Board
		cycle cycle.Cycle[*board.Board, input.Input]

		// sessions maps the number of each request in progress to its *session.
		sessions   sync.Map
		lastNumber atomic.Uint64
		// active counts the requests in progress.
		active atomic.Int64
		// started is closed once the core has started. lifetime ends when the proxy stops.
		started    chan struct{}
		lifetime   context.Context
		cancel     context.CancelFunc
		goroutines conc.WaitGroup
	}

	// Config holds the settings and dependencies of a Proxy.
	Config struct {
		Settings    setup.Settings
		Dialect     port.Dialect
		Source      port.Source
		Logger      logs.Logger
		Controllers []board.Registration
	}
)

// New returns a proxy. Call Run to start it.
func New(config Config) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	memoryBytes := float64(config.Settings.Limits.MemoryMegabytes) * megabyte
	connBytes := maxCallerConns(config.Settings.Limits) * conns.ConnBytes
	callerBytes := int64(memoryBytes*callerMemoryRatio) - int64(connBytes)
	callerMemory := limit.NewBudget(callerBytes)
	requestBytes := callerBytes - int64(memoryBytes*minAnswerMemoryRatio)
	requestMemory := callerMemory.NewPart(requestBytes)
	noHeads := requestMemory.NewPart(requestBytes - int64(memoryBytes*minHeadMemoryRatio))
	tracker := conns.New(conns.WithMemory(requestMemory.NewPart(int64(memoryBytes * headMemoryRatio))))
	tracker.SetLimits(connLimits(plan.Limits{}))
	p := &Proxy{
		settings:      config.Settings,
		dialect:       config.Dialect,
		source:        config.Source,
		logger:        config.Logger,
		metrics:       newEntryMetrics(tracker),
		peers:         NewClient(),
		answerMemory:  callerMemory.NewPart(int64(memoryBytes * answerMemoryRatio)),
		bodyMemory:    noHeads.NewPart(int64(memoryBytes * bodyMemoryRatio)),
		controlMemory: limit.NewBudget(int64(memoryBytes * controlMemoryRatio)),
		readyMemory:   limit.NewBudget(int64(memoryBytes * readyMemoryRatio)),
		conns:         tracker,
		board:         board.New(),
		cycle:         cycle.New(config.Controllers...),
		started:       make(chan struct{}),
		lifetime:      ctx,
		cancel:        cancel,
	}
	p.metrics.registerGauge("domains.evacuated", p.countEvacuated)
	p.metrics.registerGauge("published.version", p.readBoard(func(b *board.Board) int { return int(b.Plan.Version) }))
	p.metrics.registerGauge("published.era", p.readBoard(func(b *board.Board) int { return int(b.ReadTo.Era) }))
	p.metrics.registerGauge("published.revision", p.readBoard(func(b *board.Board) int { return int(b.ReadTo.Revision) }))
	p.metrics.registerGauge("published.listEra", p.readBoard(func(b *board.Board) int { return int(b.ListAt.Era) }))
	p.metrics.registerGauge("published.listRevision", p.readBoard(func(b *board.Board) int { return int(b.ListAt.Revision) }))
	p.metrics.registerGauge("access.keys", p.readBoard(func(b *board.Board) int { return b.Plan.CountKeys() }))
	p.metrics.registerGauge("access.changes", p.readBoard(func(b *board.Board) int { return b.AccessChanges }))
	return p
}

// Now returns the time since the instance booted, including time spent suspended. The
// clock is monotonic.
func Now() clock.Millis {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Linux supports this clock since 2.6.39.
		panic(err)
	}
	return clock.Millis(at.Nano() / nanosPerMs)
}

// Step passes an input to the core and executes the resulting outputs. It is safe for
// concurrent use.
func (p *Proxy) Step(in input.Input) {
	defer crashOnPanic()
	p.mutex.Lock()
	b := p.board
	if started, ok := in.(input.Started); ok {
		b.Start(started)
	}
	b.Now = max(Now(), b.Now)
	p.cycle.Step(b, in)
	b.LastStep = b.Now
	outputs := b.TakeOutputs()
	now := b.Now
	if limits := b.Plan.Limits; limits != p.connLimits {
		p.connLimits = limits
		p.conns.SetLimits(connLimits(limits))
	}
	p.mutex.Unlock()
	for _, action := range outputs {
		p.execute(action, now)
	}
}

// execute carries out one output of the core without blocking.
func (p *Proxy) execute(action output.Output, now clock.Millis) {
	switch action := action.(type) {
	case output.Send:
		p.dispatch(action.Send.Number, action)
	case output.CancelSend:
		p.cancelSend(action.Number)
	case output.MoveSend:
		p.moveSend(action.Number)
	case output.Deliver:
		p.dispatch(action.Number, action)
	case output.Reply:
		p.dispatch(action.Reply.Number, action)
	case output.Abort:
		p.dispatch(action.Number, action)
	case output.SendBatch:
		p.news.send(action, now)
	case output.SetTimer:
		time.AfterFunc(action.After.Duration(), func() { p.Step(input.TimerFired{}) })
	case output.FetchPublished:
		p.spawn(func() { p.fetchPublished(action) })
	case output.RequestPace:
		p.spawn(func() { p.requestPace(action) })
	case output.ProbeEndpoint:
		p.spawn(func() { p.probeEndpoint(action) })
	case output.Log:
		p.logger.Part("core").Info(action.Text, action.Pairs...)
	}
}

// dispatch passes an output to the session of the request, if it is still open.
func (p *Proxy) dispatch(number uint64, action output.Output) {
	if value, ok := p.sessions.Load(number); ok {
		// The core emits at most one output for each input of a session, so the buffer
		// never fills and this send does not block.
		value.(*session).outputs <- action
	}
}

// cancelSend cancels the current send of a request, if its session is still open.
func (p *Proxy) cancelSend(number uint64) {
	if value, ok := p.sessions.Load(number); ok {
		value.(*session).cancel()
	}
}

// moveSend makes the session of a request end its current send.
func (p *Proxy) moveSend(number uint64) {
	if value, ok := p.sessions.Load(number); ok {
		value.(*session).isMoving.Store(true)
	}
}

// spawn runs the function in a goroutine that Run waits for.
func (p *Proxy) spawn(task func()) {
	p.goroutines.Go(func() {
		defer crashOnPanic()
		task()
	})
}

// IsReady reports whether the entry can serve requests of callers.
func (p *Proxy) IsReady() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.board.IsReady()
}

// shouldMove reports whether a request whose endpoint is silent should be sent elsewhere.
func (p *Proxy) shouldMove(number uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.board.Now = max(Now(), p.board.Now)
	return place.ShouldMove(p.board, number)
}

// isUsable reports whether new work may be sent to the endpoint.
func (p *Proxy) isUsable(name ident.Endpoint) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	endpoint := p.board.Pool.Find(name)
	return endpoint != nil && endpoint.IsUsable(max(Now(), p.board.Now))
}

// checkEvacuated returns an EvacuatedError if one of the endpoints of a send is evacuated.
func (p *Proxy) checkEvacuated(send call.Send) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.board.Pool.Evacuated().Len() == 0 {
		return nil
	}
	names := []ident.Endpoint{send.Endpoint}
	for _, helper := range send.Helpers {
		names = append(names, helper.Endpoint)
	}
	for _, name := range names {
		if endpoint := p.board.Pool.Find(name); endpoint != nil && endpoint.IsEvacuated() {
			return &EvacuatedError{name}
		}
	}
	return nil
}

// countEvacuated returns the number of evacuated failure domains.
func (p *Proxy) countEvacuated() int64 {
	return p.readBoard(func(b *board.Board) int { return b.Pool.Evacuated().Len() })()
}

// readBoard returns a function that reads a count from the board.
func (p *Proxy) readBoard(count func(*board.Board) int) func() int64 {
	return func() int64 {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return int64(count(p.board))
	}
}

// endSilentSend reports whether the current send of the session, whose endpoint is silent,
// must end so that the request can be sent elsewhere.
func (p *Proxy) endSilentSend(s *session) bool {
	// Most checks find nothing to do, and a step of the core costs more than a check.
	if !p.shouldMove(s.request.Number) {
		return false
	}
	p.Step(input.EndpointSilent{Number: s.request.Number})
	return s.isMoving.Swap(false)
}

// limits returns the limits of the current plan.
func (p *Proxy) limits() plan.Limits {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.board.Plan.Limits
}

// tick passes a Ticked input to the core at each TickInterval until the proxy stops.
func (p *Proxy) tick() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.lifetime.Done():
			return
		case <-ticker.C:
			p.Step(input.Ticked{})
		}
	}
}

// logSend logs the decision to send a request to an endpoint, with what it was based on.
func (p *Proxy) logSend(s *session, send call.Send) {
	p.logger.Part("place").Info("Request sent.", "request", s.request.Name, "endpoint", send.Endpoint,
		"helpers", len(send.Helpers), "predicted", send.Predicted, "waited", time.Since(s.startedAt).Milliseconds(),
		"parts", call.FormatParts(s.request.Parts), "waitCause", send.Basis.Wait, "left", send.TimeLeft, "route", send.Basis.Route, "organisation", send.Basis.Organisation, "plan", uint64(send.Basis.PlanVersion),
		"usable", send.Basis.Usable, "entries", send.Basis.Entries, "listAge", send.Basis.ListAge,
		"loadsDeferred", send.Basis.LoadsDeferred)
}

// logFinish logs the outcome of a request.
func (p *Proxy) logFinish(s *session, outcome string, reason call.Reason, status int, more ...any) {
	pairs := []any{"request", s.request.Name, "reason", reason, "status", status}
	if basis := s.refusal; basis != nil {
		pairs = append(pairs, "plan", uint64(basis.PlanVersion), "era", basis.ReadTo.Era, "revision", basis.ReadTo.Revision,
			"listEra", basis.ListAt.Era, "listRevision", basis.ListAt.Revision)
	}
	pairs = append(pairs,
		"endpoint", s.lastEndpoint, "sends", s.sends,
		"millis", time.Since(s.startedAt).Milliseconds(), "first", s.timeToFirst.Milliseconds(),
		"predicted", int64(s.predicted), "longestGap", s.longestEventGap.Milliseconds(),
		"promptTokens", s.request.PromptTokens,
	)
	p.logger.Part("request").Info(outcome, append(pairs, more...)...)
}
