// Package shell is the imperative shell around the decision core, which does no I/O. It
// executes the actions of the core: it turns them into network calls, and the results of
// those calls into events. It holds no policy.
package shell

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/serve/answer"
	"mustardhook/internal/serve/audit"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/serve/stats"
	"mustardhook/internal/wire/setup"
	"mustardhook/internal/wire/trail"
	"mustardhook/internal/wire/watch"
)

const (
	// TickInterval is the interval between two Ticked events.
	TickInterval = 100 * time.Millisecond

	dialTimeout      = 1 * time.Second
	idleTimeout      = 60 * time.Second
	controlTimeout   = 2 * time.Second
	idleConnsPerHost = 64
	exitCodePanic    = 70
)

type (
	// Shell runs the decision core of one entry and performs all its network I/O.
	Shell struct {
		settings setup.Settings
		logger   logs.Logger
		metrics  *stats.Stats
		audit    *audit.Trail
		trail    *trail.Recorder

		startedAt     time.Time
		startedMillis clock.Millis

		coreMutex sync.Mutex
		core      loop.Core

		pendingMutex   sync.Mutex
		pendingPrompts map[ident.Request]chan action.Action
		pendingCalls   map[ident.Request]chan msgs.Result
		reader         *watch.Reader

		engines  *http.Client
		services *http.Client
		// control is for all other requests: reports, orders, cancellations, the platform
		// and, without TLS, the peers.
		control  *http.Client
		outboxes *outboxes
		group    conc.WaitGroup
		lifetime context.Context
		stop     context.CancelFunc
		stopping chan struct{}
		stopOnce sync.Once
		exited   chan struct{}
		exitOnce sync.Once
	}

	// Option configures a Shell.
	Option func(*Shell)
)

// WithLogger sets the logger. The default discards all lines.
func WithLogger(logger logs.Logger) Option { return func(s *Shell) { s.logger = logger } }

// NewShell returns a Shell that has not been started.
func NewShell(core loop.Core, settings setup.Settings, options ...Option) *Shell {
	s := &Shell{
		settings:       settings,
		logger:         logs.Discard(),
		metrics:        stats.New(),
		audit:          audit.NewTrail(settings.Limits.AuditRecords),
		trail:          trail.NewRecorder(settings.Limits.TrailEvents),
		startedAt:      time.Now(),
		core:           core,
		pendingPrompts: map[ident.Request]chan action.Action{},
		pendingCalls:   map[ident.Request]chan msgs.Result{},
		reader:         watch.NewReader(),
		engines:        newClient(newTransport(true)),
		services:       newClient(newTransport(false)),
		control:        newControlClient(newTransport(true)),
		stopping:       make(chan struct{}),
		exited:         make(chan struct{}),
	}
	s.startedMillis = clock.FromTime(s.startedAt)
	s.lifetime, s.stop = context.WithCancel(context.Background())
	s.outboxes = newOutboxes(s)
	for _, option := range options {
		option(s)
	}
	return s
}

// newTransport returns a transport without a timeout of its own for responses. Without
// keep-alive every call opens a new connection. That keeps net/http from retrying a call by
// itself, which it does for a request with an idempotency key that fails on a reused
// connection.
func newTransport(keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:            answer.NewDial(dialer().DialContext),
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
}

func newClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     answer.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newControlClient returns a client whose responses fail over maxControlBytes.
func newControlClient(transport *http.Transport) *http.Client {
	return newClient(limit.NewTransport(transport, maxControlBytes))
}

// Start passes the Started event to the core and starts the ticker. The seed
// determines the random decisions of the core.
func (s *Shell) Start(seed uint64) {
	now := s.Now()
	self := ident.Incarnation{Entry: s.settings.Entry, Epoch: uint64(now)}
	s.Step(event.Started{
		Self: self, Domain: s.settings.Domain, Address: s.settings.Advertise,
		Seeds: s.settings.Seeds, Seed: seed, Settings: s.settings.Core,
	})
	s.group.Go(s.runTicker)
}

// Stop ends all goroutines of the shell and closes its connections. It does not
// wait for requests in flight.
func (s *Shell) Stop() {
	s.stop()
	s.group.Wait()
	s.metrics.Close()
	for _, client := range []*http.Client{s.engines, s.services, s.control} {
		client.CloseIdleConnections()
	}
}

// Stopping returns a channel that is closed once a stop was requested.
func (s *Shell) Stopping() <-chan struct{} { return s.stopping }

// FlushMessages waits until the messages to other entries that are queued were delivered or
// lost, or the context ends.
func (s *Shell) FlushMessages(ctx context.Context) { s.outboxes.flush(ctx) }

// Exited returns a channel that is closed once nothing is in flight after a
// requested stop.
func (s *Shell) Exited() <-chan struct{} { return s.exited }

// Now returns the current time of the entry. It advances with the monotonic clock,
// so jumps of the wall clock have no effect.
func (s *Shell) Now() clock.Millis {
	return s.startedMillis + clock.FromDuration(time.Since(s.startedAt))
}

// Settings returns the settings of the entry.
func (s *Shell) Settings() setup.Settings { return s.settings }

// Stats returns the metrics of the entry.
func (s *Shell) Stats() *stats.Stats { return s.metrics }

// Audit returns the audit trail.
func (s *Shell) Audit() *audit.Trail { return s.audit }

// Trail returns the recorder of the core's steps.
func (s *Shell) Trail() *trail.Recorder { return s.trail }

// Logger returns the logger of the entry.
func (s *Shell) Logger() logs.Logger { return s.logger }

// Step passes one event to the core and executes the resulting actions.
func (s *Shell) Step(in event.Event) {
	now, actions := s.stepCore(in)
	if _, ok := in.(event.StopAsked); ok {
		s.stopOnce.Do(func() { close(s.stopping) })
	}
	for _, act := range actions {
		s.execute(now, act)
	}
}

func (s *Shell) stepCore(in event.Event) (clock.Millis, []action.Action) {
	defer s.exitOnPanic()
	startedAt := time.Now()
	s.coreMutex.Lock()
	now := s.Now()
	actions := s.core.Step(now, in)
	s.trail.Add(now, in, actions)
	s.coreMutex.Unlock()
	s.metrics.CountStep(startedAt)
	return now, actions
}

// exitOnPanic ends the process if the core panics. The state of the core can't be
// trusted after a panic, and the other entries handle the loss of an entry.
func (s *Shell) exitOnPanic() {
	if cause := recover(); cause != nil {
		s.logger.Part("core").Warn("Core panicked.", "fault", cause, "stack", string(debug.Stack()))
		os.Exit(exitCodePanic)
	}
}

// goUntilStop runs the function in a goroutine that Stop waits for. It does nothing
// after the shell has been stopped.
func (s *Shell) goUntilStop(run func()) {
	if s.lifetime.Err() == nil {
		s.group.Go(run)
	}
}

// ReadBoard calls read with the board of the core, which holds its state, while the core is
// locked. The board must not be used after read returns.
func (s *Shell) ReadBoard(read func(*board.Board)) {
	s.coreMutex.Lock()
	defer s.coreMutex.Unlock()
	read(s.core.Board())
}

func (s *Shell) runTicker() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.lifetime.Done():
			return
		case <-ticker.C:
			s.Step(event.Ticked{})
		}
	}
}

func (s *Shell) execute(now clock.Millis, act action.Action) {
	switch act := act.(type) {
	case action.StartAttempt:
		s.deliverAction(act.Request, act)
	case action.FinishCompletion:
		s.deliverAction(act.Request, act)
	case action.FinishCall:
		s.finishCall(act)
	case action.SendMessage:
		s.outboxes.enqueue(act)
	case action.WriteAudit:
		s.audit.Add(now, act)
		s.logger.Part("audit").Info(act.Text, "kind", act.Kind, "object", act.Object, "ticket", act.Number)
	case action.Exit:
		s.exitOnce.Do(func() { close(s.exited) })
	default:
		s.goUntilStop(func() { s.executeAsync(act) })
	}
}

// executeAsync executes the actions that wait for the network. It runs in a
// goroutine of its own.
func (s *Shell) executeAsync(act action.Action) {
	switch act := act.(type) {
	case action.CancelAttempt:
		s.cancelAttempt(act.Address, string(act.Attempt))
	case action.FreeAllocation:
		s.cancelAttempt(act.Address, act.Name)
	case action.SendCall:
		s.sendCall(act)
	case action.ReadReport:
		s.readReport(act)
	case action.SendOrder:
		s.sendOrder(act)
	case action.WatchPlatform:
		s.watchPlatform(act)
	}
}
