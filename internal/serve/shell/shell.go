// Package shell carries out what the deciding core asks for: it turns actions
// into calls over the network and their results into events. It holds no policy.
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
	"mustardhook/internal/serve/audit"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/serve/stats"
	"mustardhook/internal/wire/setup"
	"mustardhook/internal/wire/trail"
	"mustardhook/internal/wire/watch"
)

const (
	// TickSpan is the time between two Ticked events.
	TickSpan = 100 * time.Millisecond

	dialTimeout      = 1 * time.Second
	idleTimeout      = 60 * time.Second
	controlTimeout   = 2 * time.Second
	idleConnsPerHost = 64
	exitPanic        = 70
)

type (
	// Shell runs one entry's core.
	Shell struct {
		settings setup.Settings
		logger   logs.Logger
		metrics  *stats.Stats
		audit    *audit.Trail
		trail    *trail.Recorder

		began time.Time
		base  clock.Millis

		mutex sync.Mutex
		core  loop.Core

		waiting   sync.Mutex
		prompts   map[ident.Request]chan action.Action
		calls     map[ident.Request]chan msgs.Result
		instances *watch.Instances

		engines   *http.Client
		services  *http.Client
		control   *http.Client
		outboxes  *outboxes
		group     conc.WaitGroup
		lifetime  context.Context
		stop      context.CancelFunc
		exited    chan struct{}
		exitedOne sync.Once
	}

	// Option sets up a shell.
	Option func(*Shell)
)

// WithLogger sets the logger.
func WithLogger(logger logs.Logger) Option { return func(s *Shell) { s.logger = logger } }

// NewShell returns a shell that has not started.
func NewShell(core loop.Core, settings setup.Settings, options ...Option) *Shell {
	s := &Shell{
		settings:  settings,
		logger:    logs.Discard(),
		metrics:   stats.New(),
		audit:     audit.NewTrail(settings.Limits.AuditRecords),
		trail:     trail.NewRecorder(settings.Limits.TrailEvents),
		began:     time.Now(),
		core:      core,
		prompts:   map[ident.Request]chan action.Action{},
		calls:     map[ident.Request]chan msgs.Result{},
		instances: watch.NewInstances(),
		engines:   newClient(true),
		services:  newClient(false),
		control:   newClient(true),
		exited:    make(chan struct{}),
	}
	s.base = clock.FromTime(s.began)
	s.lifetime, s.stop = context.WithCancel(context.Background())
	s.outboxes = newOutboxes(s)
	for _, option := range options {
		option(s)
	}
	return s
}

// newClient returns a client without a timeout of its own. Without keep-alive
// every call has a fresh connection, so the library never sends a call again on
// its own: it would do so for a call with an idempotency key that fails on a
// reused connection.
func newClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer().DialContext,
			MaxIdleConnsPerHost: idleConnsPerHost,
			IdleConnTimeout:     idleTimeout,
			DisableKeepAlives:   !keepAlive,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Start begins the entry's life with the given seed for its decisions.
func (s *Shell) Start(seed uint64) {
	now := s.Now()
	self := ident.Incarnation{Entry: s.settings.Entry, Epoch: uint64(now)}
	s.Step(event.Started{
		Self: self, Domain: s.settings.Domain, Address: s.settings.Advertise,
		Seeds: s.settings.Seeds, Seed: seed, Settings: s.settings.Core,
	})
	s.group.Go(s.tick)
}

// Stop ends all that runs, without waiting for requests.
func (s *Shell) Stop() {
	s.stop()
	s.group.Wait()
	s.metrics.Close()
	for _, client := range []*http.Client{s.engines, s.services, s.control} {
		client.CloseIdleConnections()
	}
}

// Exited is closed when nothing is in flight after a stop was asked for.
func (s *Shell) Exited() <-chan struct{} { return s.exited }

// Now returns the entry's instant. It follows the monotonic clock, so that a
// jump of the wall clock changes nothing.
func (s *Shell) Now() clock.Millis { return s.base + clock.FromDuration(time.Since(s.began)) }

// Settings returns the settings.
func (s *Shell) Settings() setup.Settings { return s.settings }

// Stats returns the metrics.
func (s *Shell) Stats() *stats.Stats { return s.metrics }

// Audit returns the audit trail.
func (s *Shell) Audit() *audit.Trail { return s.audit }

// Trail returns the recorded events.
func (s *Shell) Trail() *trail.Recorder { return s.trail }

// Logger returns the logger.
func (s *Shell) Logger() logs.Logger { return s.logger }

// Step hands one event to the core and carries out what it asks for.
func (s *Shell) Step(happened event.Event) {
	now, actions := s.decide(happened)
	for _, wanted := range actions {
		s.carryOut(now, wanted)
	}
}

func (s *Shell) decide(happened event.Event) (clock.Millis, []action.Action) {
	defer s.crash()
	began := time.Now()
	s.mutex.Lock()
	now := s.Now()
	actions := s.core.Step(now, happened)
	s.trail.Add(now, happened, actions)
	s.mutex.Unlock()
	s.metrics.CountStep(began)
	return now, actions
}

// crash ends the process when the core panics. Its memory can't be trusted then,
// and a lost entry is a fault that the others handle.
func (s *Shell) crash() {
	if fault := recover(); fault != nil {
		s.logger.Part("core").Warn("Core panicked.", "fault", fault, "stack", string(debug.Stack()))
		os.Exit(exitPanic)
	}
}

// spawn runs a function beside the others until the shell stops.
func (s *Shell) spawn(run func()) {
	if s.lifetime.Err() == nil {
		s.group.Go(run)
	}
}

// Look runs a function that reads the core's memory.
func (s *Shell) Look(read func(*board.Board)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	read(s.core.Board())
}

func (s *Shell) tick() {
	ticker := time.NewTicker(TickSpan)
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

func (s *Shell) carryOut(now clock.Millis, wanted action.Action) {
	switch wanted := wanted.(type) {
	case action.StartAttempt:
		s.mail(wanted.Request, wanted)
	case action.FinishCompletion:
		s.mail(wanted.Request, wanted)
	case action.FinishCall:
		s.finishCall(wanted)
	case action.SendMessage:
		s.outboxes.send(wanted)
	case action.WriteAudit:
		s.audit.Add(now, wanted)
		s.logger.Part("audit").Info(wanted.Text, "kind", wanted.Kind, "object", wanted.Object, "ticket", wanted.Number)
	case action.Exit:
		s.exitedOne.Do(func() { close(s.exited) })
	default:
		s.spawn(func() { s.carryOutApart(wanted) })
	}
}

// carryOutApart carries out actions that wait for the network.
func (s *Shell) carryOutApart(wanted action.Action) {
	switch wanted := wanted.(type) {
	case action.CancelAttempt:
		s.cancelAttempt(wanted.Address, string(wanted.Attempt))
	case action.FreeAllocation:
		s.cancelAttempt(wanted.Address, wanted.Name)
	case action.SendCall:
		s.sendCall(wanted)
	case action.ReadReport:
		s.readReport(wanted)
	case action.SendOrder:
		s.sendOrder(wanted)
	case action.WatchPlatform:
		s.watchPlatform(wanted)
	}
}
