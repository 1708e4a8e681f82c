// Package engine simulates a model engine. It serves the engine protocol with the
// scheduling of package sched and injects faults on request.
package engine

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/fake/sched"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/wire/caller"
	wire "mustardhook/internal/wire/engine"
	"mustardhook/internal/wire/faults"
)

const (
	// CrashMarker is a text that crashes an engine when a prompt contains it.
	CrashMarker = "CRASH-THE-ENGINE"

	// advanceInterval is the time between two steps of the simulation.
	advanceInterval = 2 * time.Millisecond
	// loadDelay is the time that loading the models of an order takes.
	loadDelay = 200 * time.Millisecond
	// outputBufferSize is the number of outputs buffered per stream. An attempt whose
	// buffer is full is cancelled.
	outputBufferSize = 4096
	// maxBodyBytes is the maximum size of the body of a request.
	maxBodyBytes = 16 << 20
)

type (
	// Order is an order that the engine accepted or refused.
	Order struct {
		Fence    fleet.Number
		Accepted bool
	}

	// Server is one engine. It is safe for concurrent use.
	Server struct {
		mutex        sync.Mutex
		simulator    *sched.Simulator
		config       sched.Config
		streams      map[ident.Attempt]chan sched.Output
		faults       faults.Engine
		boot         uint64
		fence        fleet.Number
		checksFences bool
		models       []event.Loaded
		orders       []Order
		runs         int
		router       *httprouter.Router
		done         chan struct{}
		stopped      bool
	}

	// Option configures a Server.
	Option func(*Server)
)

// WithConfig sets the performance parameters of the simulation.
func WithConfig(config sched.Config) Option { return func(s *Server) { s.config = config } }

// WithFences makes the engine refuse orders with a fencing number lower than that of
// the last accepted order.
func WithFences() Option { return func(s *Server) { s.checksFences = true } }

// WithModel adds a model that is loaded at start.
func WithModel(model fleet.Model) Option {
	return func(s *Server) { s.models = append(s.models, toLoaded(model)) }
}

// New returns a running engine. Stop ends it.
func New(options ...Option) *Server {
	s := &Server{
		config: sched.DefaultConfig(), streams: map[ident.Attempt]chan sched.Output{},
		boot: uint64(time.Now().UnixNano()), router: httprouter.New(), done: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	s.simulator = sched.New(s.config, clock.FromTime(time.Now()))
	s.router.POST(wire.PathGenerate, s.generate)
	s.router.POST(wire.PathCancel, s.cancel)
	s.router.GET(wire.PathReport, s.report)
	s.router.POST(wire.PathOrder, s.order)
	s.router.POST(faults.Path, s.handleFaults)
	go s.advanceLoop()
	return s
}

// ServeHTTP handles a request of the engine protocol. After a stop or a crash it breaks
// off every connection, since a process that has ended answers nothing.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.done:
		panic(http.ErrAbortHandler)
	default:
		s.router.ServeHTTP(w, r)
	}
}

// Done returns a channel that is closed when the engine has stopped or crashed.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop stops the engine and aborts all of its streams.
func (s *Server) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.shutDown()
}

// shutDown marks the engine as stopped. The caller holds the mutex.
func (s *Server) shutDown() {
	if !s.stopped {
		s.stopped = true
		close(s.done)
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(injected faults.Engine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = injected
}

// Orders returns all orders received so far.
func (s *Server) Orders() []Order {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Order(nil), s.orders...)
}

// Models returns the loaded models.
func (s *Server) Models() []event.Loaded {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]event.Loaded(nil), s.models...)
}

// UsedTokens returns the number of memory tokens allocated to jobs.
func (s *Server) UsedTokens() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.simulator.UsedTokens()
}

// Runs returns the number of attempts accepted so far.
func (s *Server) Runs() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs
}

// advanceLoop advances the simulation in real time and delivers its output to the
// streams until the engine stops.
func (s *Server) advanceLoop() {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			s.mutex.Lock()
			for _, output := range s.simulator.Advance(clock.FromTime(now)) {
				if stream := s.streams[output.Attempt]; stream != nil {
					select {
					case stream <- output:
					default:
						s.simulator.Cancel(output.Attempt)
					}
				}
			}
			s.mutex.Unlock()
		}
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := limit.ReadAll(r.Body, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := wire.DecodeGenerate(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(request.Prompt, CrashMarker) {
		s.Stop()
		panic(http.ErrAbortHandler)
	}
	stream, status := s.submit(request)
	if stream == nil {
		http.Error(w, "refused", status)
		return
	}
	defer s.removeStream(request.Attempt)
	s.writeStream(w, r, request, stream)
}

// submit starts an attempt. It returns the stream of its output, or nil and the HTTP
// status of the refusal.
func (s *Server) submit(request wire.GenerateRequest) (chan sched.Output, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.faults.Refuse {
		return nil, http.StatusServiceUnavailable
	}
	if !s.hasModel(request.Model) {
		return nil, http.StatusNotFound
	}
	job := sched.Job{
		Attempt: request.Attempt, Owner: request.Owner, Tokens: (len(request.Prompt) + 3) / caller.BytesPerToken,
		MaxTokens: request.MaxTokens, Prefixes: caller.PrefixHashes(request.Prompt), Priority: request.Priority,
		Resume: request.ResumeAfter, Lease: request.Lease,
	}
	if err := s.simulator.Submit(clock.FromTime(time.Now()), job); err != nil {
		return nil, http.StatusTooManyRequests
	}
	s.runs++
	stream := make(chan sched.Output, outputBufferSize)
	s.streams[request.Attempt] = stream
	return stream, http.StatusOK
}

func (s *Server) hasModel(name ident.Model) bool {
	for _, loaded := range s.models {
		if loaded.Model == name {
			return true
		}
	}
	return false
}

// removeStream removes the stream of an attempt. When the client has disconnected, the
// memory of the attempt stays allocated until a cancel request or the end of the lease.
func (s *Server) removeStream(attempt ident.Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, attempt)
}

// writeStream sends the output of an attempt to the client, changed by the injected
// faults.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, request wire.GenerateRequest, stream chan sched.Output) {
	s.mutex.Lock()
	injected := s.faults
	s.mutex.Unlock()
	time.Sleep(injected.Delay.Duration())
	control := http.NewResponseController(w)
	attempt := request.Attempt
	if injected.WrongAttempt {
		attempt = "another/attempt"
	}
	sent := 0
	for {
		select {
		case output := <-stream:
			if injected.DisconnectAfter > 0 && sent >= injected.DisconnectAfter {
				panic(http.ErrAbortHandler)
			}
			if injected.TruncateAfter > 0 && sent >= injected.TruncateAfter {
				return
			}
			chunk := wire.Chunk{Attempt: attempt, Index: output.Index, Text: TokenText(request.Prompt, output.Index)}
			if output.End {
				chunk = wire.Chunk{Attempt: attempt, End: true, Tokens: output.Tokens, Cached: output.Cached}
			}
			if _, err := w.Write(wire.EncodeChunk(chunk)); err != nil {
				return
			}
			if err := control.Flush(); err != nil || output.End {
				return
			}
			sent++
		case <-r.Context().Done():
			return
		case <-s.done:
			panic(http.ErrAbortHandler)
		}
	}
}

// TokenText returns the token at an index of the answer to a prompt. It is the same on
// every engine, so that tests can verify resumed streams.
func TokenText(prompt string, index int) string {
	digest := xxhash.Sum64String(prompt) + uint64(index)
	return "w" + strconv.FormatUint(digest%9973, 36) + " "
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := limit.ReadAll(r.Body, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt, err := wire.DecodeCancel(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.IgnoreCancels {
		http.Error(w, "deaf", http.StatusServiceUnavailable)
		return
	}
	s.simulator.Cancel(ident.Attempt(attempt))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) report(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	s.mutex.Lock()
	report := s.simulator.Report(clock.FromTime(time.Now()), since)
	report.Boot = s.boot
	report.Fence = s.fence
	report.Models = append([]event.Loaded(nil), s.models...)
	report.Leaving = s.faults.Leaving
	skipInterval := s.faults.SkipCacheEvents
	s.mutex.Unlock()
	if skipInterval > 0 {
		report.CacheEvents = dropEvery(report.CacheEvents, skipInterval)
	}
	_, _ = w.Write(wire.EncodeReport(report))
}

// dropEvery removes the events whose sequence number is a multiple of the interval.
func dropEvery(events []event.CacheEvent, interval int) []event.CacheEvent {
	var kept []event.CacheEvent
	for _, cacheEvent := range events {
		if cacheEvent.Sequence%uint64(interval) != 0 {
			kept = append(kept, cacheEvent)
		}
	}
	return kept
}

func (s *Server) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := limit.ReadAll(r.Body, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	order, err := wire.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(loadDelay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	accepted := !s.checksFences || order.Fence >= s.fence
	s.orders = append(s.orders, Order{order.Fence, accepted})
	if !accepted {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	s.fence = order.Fence
	s.models = nil
	for _, model := range order.Models {
		s.models = append(s.models, toLoaded(model))
	}
	w.WriteHeader(http.StatusOK)
}

func toLoaded(model fleet.Model) event.Loaded {
	return event.Loaded{Model: model.Name, Version: model.Version, Adapters: model.Adapters}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := limit.ReadAll(r.Body, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	injected, err := faults.DecodeEngine(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(injected)
}
