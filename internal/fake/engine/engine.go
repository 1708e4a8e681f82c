// Package engine is the stand-in of a model engine: the model of package motor
// behind the engines' protocol, with faults on demand.
package engine

import (
	"io"
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
	"mustardhook/internal/fake/motor"
	"mustardhook/internal/wire/caller"
	wire "mustardhook/internal/wire/engine"
	"mustardhook/internal/wire/faults"
)

const (
	// CrashMark makes an engine die when a prompt holds it.
	CrashMark = "CRASH-THE-ENGINE"

	pumpSpan    = 2 * time.Millisecond
	loadSpan    = 200 * time.Millisecond
	outputSpace = 4096
)

type (
	// Order is one order that the engine took or refused.
	Order struct {
		Fence fleet.Number
		Taken bool
	}

	// Server is one engine.
	Server struct {
		mutex   sync.Mutex
		model   *motor.Simulator
		config  motor.Config
		streams map[ident.Attempt]chan motor.Output
		faults  faults.Engine
		boot    uint64
		fence   fleet.Number
		fences  bool
		models  []event.Loaded
		orders  []Order
		runs    int
		router  *httprouter.Router
		died    chan struct{}
		dead    bool
	}

	// Option sets up a server.
	Option func(*Server)
)

// WithConfig sets the figures of the model.
func WithConfig(config motor.Config) Option { return func(s *Server) { s.config = config } }

// WithFences makes the engine refuse orders with an old number.
func WithFences() Option { return func(s *Server) { s.fences = true } }

// WithModel loads a model from the start.
func WithModel(model fleet.Model) Option {
	return func(s *Server) { s.models = append(s.models, loadedOf(model)) }
}

// New returns an engine that runs.
func New(options ...Option) *Server {
	s := &Server{
		config: motor.DefaultConfig(), streams: map[ident.Attempt]chan motor.Output{},
		boot: uint64(time.Now().UnixNano()), router: httprouter.New(), died: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	s.model = motor.New(s.config, clock.FromTime(time.Now()))
	s.router.POST(wire.PathGenerate, s.generate)
	s.router.POST(wire.PathCancel, s.cancel)
	s.router.GET(wire.PathReport, s.report)
	s.router.POST(wire.PathOrder, s.order)
	s.router.POST(faults.Path, s.setFaults)
	go s.pump()
	return s
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Died is closed when the engine died of a prompt.
func (s *Server) Died() <-chan struct{} { return s.died }

// Stop ends the engine.
func (s *Server) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.die()
}

func (s *Server) die() {
	if !s.dead {
		s.dead = true
		close(s.died)
	}
}

// SetFaults changes the faults.
func (s *Server) SetFaults(wanted faults.Engine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = wanted
}

// Orders returns all orders that came.
func (s *Server) Orders() []Order {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Order(nil), s.orders...)
}

// Models returns what is loaded.
func (s *Server) Models() []event.Loaded {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]event.Loaded(nil), s.models...)
}

// UsedTokens returns the tokens of memory that jobs hold.
func (s *Server) UsedTokens() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.UsedTokens()
}

// Runs returns how many attempts were taken.
func (s *Server) Runs() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs
}

// pump moves the model on with real time and hands tokens to their streams.
func (s *Server) pump() {
	ticker := time.NewTicker(pumpSpan)
	defer ticker.Stop()
	for {
		select {
		case <-s.died:
			return
		case now := <-ticker.C:
			s.mutex.Lock()
			for _, output := range s.model.Advance(clock.FromTime(now)) {
				if stream := s.streams[output.Attempt]; stream != nil {
					select {
					case stream <- output:
					default:
						s.model.Cancel(output.Attempt)
					}
				}
			}
			s.mutex.Unlock()
		}
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	asked, err := wire.DecodeGenerate(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(asked.Prompt, CrashMark) {
		s.Stop()
		panic(http.ErrAbortHandler)
	}
	stream, status := s.submit(asked)
	if stream == nil {
		http.Error(w, "refused", status)
		return
	}
	defer s.forget(asked.Attempt)
	s.answer(w, r, asked, stream)
}

func (s *Server) submit(asked wire.GenerateRequest) (chan motor.Output, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.dead || s.faults.Refuse {
		return nil, http.StatusServiceUnavailable
	}
	if !s.hasModel(asked.Model) {
		return nil, http.StatusNotFound
	}
	job := motor.Job{
		Attempt: asked.Attempt, Owner: asked.Owner, Tokens: (len(asked.Prompt) + 3) / caller.BytesPerToken,
		MaxTokens: asked.MaxTokens, Prefixes: caller.PrefixHashes(asked.Prompt), Priority: asked.Priority,
		Resume: asked.ResumeAfter, Lease: asked.Lease,
	}
	if err := s.model.Submit(clock.FromTime(time.Now()), job); err != nil {
		return nil, http.StatusTooManyRequests
	}
	s.runs++
	stream := make(chan motor.Output, outputSpace)
	s.streams[asked.Attempt] = stream
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

// forget drops the stream of an attempt. The memory of an attempt whose client
// went away stays held until it is cancelled or its lease runs out.
func (s *Server) forget(attempt ident.Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, attempt)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, asked wire.GenerateRequest, stream chan motor.Output) {
	s.mutex.Lock()
	wrong := s.faults
	s.mutex.Unlock()
	time.Sleep(wrong.Delay.Duration())
	control := http.NewResponseController(w)
	name := asked.Attempt
	if wrong.WrongAttempt {
		name = "another/attempt"
	}
	sent := 0
	for {
		select {
		case output := <-stream:
			if wrong.DisconnectAfter > 0 && sent >= wrong.DisconnectAfter {
				panic(http.ErrAbortHandler)
			}
			if wrong.TruncateAfter > 0 && sent >= wrong.TruncateAfter {
				return
			}
			piece := wire.Chunk{Attempt: name, Index: output.Index, Text: TokenText(asked.Prompt, output.Index)}
			if output.End {
				piece = wire.Chunk{Attempt: name, End: true, Tokens: output.Tokens, Cached: output.Cached}
			}
			if _, err := w.Write(wire.EncodeChunk(piece)); err != nil {
				return
			}
			if err := control.Flush(); err != nil || output.End {
				return
			}
			sent++
		case <-r.Context().Done():
			return
		case <-s.died:
			panic(http.ErrAbortHandler)
		}
	}
}

// TokenText returns the token that every engine generates for the prompt at the
// index, so that a resumed stream can be checked.
func TokenText(prompt string, index int) string {
	digest := xxhash.Sum64String(prompt) + uint64(index)
	return "w" + strconv.FormatUint(digest%9973, 36) + " "
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name, err := wire.DecodeCancel(body)
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
	s.model.Cancel(ident.Attempt(name))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) report(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	s.mutex.Lock()
	report := s.model.Report(clock.FromTime(time.Now()), since)
	report.Boot = s.boot
	report.Fence = s.fence
	report.Models = append([]event.Loaded(nil), s.models...)
	report.Leaving = s.faults.Leaving
	skip := s.faults.SkipCacheEvents
	s.mutex.Unlock()
	if skip > 0 {
		report.CacheEvents = skipEach(report.CacheEvents, skip)
	}
	_, _ = w.Write(wire.EncodeReport(report))
}

func skipEach(events []event.CacheEvent, each int) []event.CacheEvent {
	var kept []event.CacheEvent
	for _, change := range events {
		if change.Sequence%uint64(each) != 0 {
			kept = append(kept, change)
		}
	}
	return kept
}

func (s *Server) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	order, err := wire.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(loadSpan)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := !s.fences || order.Fence >= s.fence
	s.orders = append(s.orders, Order{order.Fence, taken})
	if !taken {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	s.fence = order.Fence
	s.models = nil
	for _, model := range order.Models {
		s.models = append(s.models, loadedOf(model))
	}
	w.WriteHeader(http.StatusOK)
}

func loadedOf(model fleet.Model) event.Loaded {
	return event.Loaded{Model: model.Name, Version: model.Version, Adapters: model.Adapters}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	wanted, err := faults.DecodeEngine(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(wanted)
}
