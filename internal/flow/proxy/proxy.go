// Package proxy is the shell of an entry that relays requests: it turns sockets
// into inputs of the deciding core and carries out its outputs. It holds no
// policy.
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
	"mustardhook/internal/serve/logs"
)

const (
	// TickSpan is the time between two Ticked inputs.
	TickSpan = 50 * time.Millisecond

	outputBuffer = 4
	nanosPerMs   = 1e6
)

type (
	// Proxy runs the deciding core of one entry.
	Proxy struct {
		settings setup.Settings
		dialect  port.Dialect
		source   port.Source
		logger   logs.Logger
		metrics  *meters
		news     *newsSocket
		peers    *http.Client

		mutex sync.Mutex
		board *board.Board
		cycle cycle.Cycle[*board.Board, input.Input]

		sessions sync.Map
		numbers  atomic.Uint64
		active   atomic.Int64
		lifetime context.Context
		cancel   context.CancelFunc
		group    conc.WaitGroup
	}

	// Config are what a proxy is put together from.
	Config struct {
		Settings    setup.Settings
		Dialect     port.Dialect
		Source      port.Source
		Logger      logs.Logger
		Controllers []board.Registration
	}
)

// New returns a proxy that has not started.
func New(parts Config) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	return &Proxy{
		settings: parts.Settings,
		dialect:  parts.Dialect,
		source:   parts.Source,
		logger:   parts.Logger,
		metrics:  newMeters(),
		peers:    NewClient(),
		board:    board.New(),
		cycle:    cycle.New(parts.Controllers...),
		lifetime: ctx,
		cancel:   cancel,
	}
}

// Now returns the time since the instance started, which goes on while it is
// suspended and never jumps.
func Now() clock.Millis {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every kernel since 2.6.39 has this clock.
		panic(err)
	}
	return clock.Millis(at.Nano() / nanosPerMs)
}

// Step hands an input to the core and carries out what it asks for.
func (p *Proxy) Step(happened input.Input) {
	p.mutex.Lock()
	b := p.board
	if started, is := happened.(input.Started); is {
		b.Start(started)
	}
	b.Now = max(Now(), b.Now)
	p.cycle.Step(b, happened)
	b.LastStep = b.Now
	outputs := b.TakeOutputs()
	now := b.Now
	p.mutex.Unlock()
	for _, wanted := range outputs {
		p.carryOut(wanted, now)
	}
}

func (p *Proxy) carryOut(wanted output.Output, now clock.Millis) {
	switch wanted := wanted.(type) {
	case output.Send:
		p.post(wanted.Send.Number, wanted)
	case output.Deliver:
		p.post(wanted.Number, wanted)
	case output.Reply:
		p.post(wanted.Reply.Number, wanted)
	case output.Abort:
		p.post(wanted.Number, wanted)
	case output.SendBatch:
		p.news.tell(wanted, now)
	case output.SetTimer:
		time.AfterFunc(wanted.After.Duration(), func() { p.Step(input.TimerFired{}) })
	case output.FetchPublished:
		p.spawn(func() { p.fetchPublished(wanted) })
	case output.RequestPace:
		p.spawn(func() { p.askPace(wanted) })
	case output.Log:
		p.logger.Part("core").Info(wanted.Text, wanted.Pairs...)
	}
}

func (p *Proxy) post(number uint64, wanted output.Output) {
	if found, ok := p.sessions.Load(number); ok {
		// One output follows each input of a session, so the buffer never fills.
		found.(*session).outputs <- wanted
	}
}

func (p *Proxy) spawn(work func()) { p.group.Go(work) }

// IsReady reports whether the entry can serve callers.
func (p *Proxy) IsReady() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.board.IsReady()
}

func (p *Proxy) isDoubtful(name ident.Endpoint) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.board.Now = max(Now(), p.board.Now)
	return place.IsSuspect(p.board, name)
}

func (p *Proxy) limits() plan.Limits {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.board.Plan.Limits
}

func (p *Proxy) tick() {
	ticker := time.NewTicker(TickSpan)
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

// sendLog writes the line of the decision to send a request.
func (p *Proxy) sendLog(s *session, send call.Send) {
	p.logger.Part("place").Info("Request sent.", "request", s.request.Name, "endpoint", send.Endpoint,
		"helpers", len(send.Helpers), "predicted", send.Predicted, "waited", time.Since(s.began).Milliseconds(),
		"left", send.TimeLeft, "route", send.Basis.Route, "plan", uint64(send.Basis.PlanVersion),
		"usable", send.Basis.Usable, "entries", send.Basis.Entries, "listAge", send.Basis.ListAge)
}

// finishLog writes the line that ends a request.
func (p *Proxy) finishLog(s *session, outcome string, reason call.Reason, status int, more ...any) {
	pairs := []any{
		"request", s.request.Name, "reason", reason, "status", status, "endpoint", s.lastEndpoint, "sends", s.sends,
		"millis", time.Since(s.began).Milliseconds(), "first", s.firstAfter.Milliseconds(),
		"predicted", int64(s.predicted), "longestGap", s.longestGap.Milliseconds(),
		"promptTokens", s.request.PromptTokens,
	}
	p.logger.Part("request").Info(outcome, append(pairs, more...)...)
}
