// Package mustardhook is a serving layer for prompts of widely different lengths. An
// Entry routes requests of callers to endpoints. Its configuration consists of change
// tickets that the platform publishes.
package mustardhook

import (
	"context"
	"crypto/tls"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"mustardhook/internal/core/event"
	"mustardhook/internal/serve/admin"
	"mustardhook/internal/serve/conns"
	"mustardhook/internal/serve/front"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/serve/parts"
	"mustardhook/internal/serve/shell"
	"mustardhook/internal/wire/setup"
)

const (
	// headerTimeout is the time limit for reading the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// closeDelay is the shortest time between the request to stop and the closing of the
	// ports. Callers that send on a kept connection in this time are told to open another
	// one elsewhere, and load balancers notice that the entry is not ready.
	closeDelay = 1 * time.Second
	// closeTimeout is the time limit for closing all ports, from the exit of the core or
	// from the stop timeout, whichever is later.
	closeTimeout = 5 * time.Second
	// messageTimeout is the time limit for the last messages to other entries.
	messageTimeout = 1 * time.Second
	// requestMemoryRatio is the part of the memory setting that callers may take with heads and
	// bodies of requests and with connections. Of it, connections may take connMemoryRatio of the
	// memory setting, heads headMemoryRatio and bodies bodyMemoryRatio.
	requestMemoryRatio = 0.6
	connMemoryRatio    = 0.25
	headMemoryRatio    = 0.25
	bodyMemoryRatio    = 0.4
	// controlMemoryRatio is the part that connections of peers and operators may each take, and the
	// heads of their requests together.
	controlMemoryRatio = 0.04
	// memoryLimitRatio is the soft limit of the Go runtime's memory, as a fraction of the memory
	// setting.
	memoryLimitRatio = 0.7
	megabyte         = 1 << 20
	callersPort      = "callers"
)

type (
	// Entry is one entry of the serving layer.
	Entry interface {
		// Run serves until the context is done, finishes the requests in flight, at most
		// until the stop timeout of the settings, and returns. It returns an error, a
		// *ListenError, only if a port can't be opened or its TLS files can't be read.
		Run(ctx context.Context) error
	}

	// Option configures an Entry.
	Option func(*entry)

	// ListenError reports that a port could not be opened. Port is its name in the
	// settings.
	ListenError struct {
		Port    string
		Address string
		Err     error
	}

	entry struct {
		settings setup.Settings
		logger   logs.Logger
		seed     uint64
		shell    *shell.Shell
		ports    []*openPort
		memory   budgets
	}

	// budgets bounds what requests take: their heads and bodies at the port for callers, and their
	// heads at the others.
	budgets struct{ heads, bodies, control *limit.Budget }

	// openPort is an open port with its server.
	openPort struct {
		name     string
		listener net.Listener
		server   *http.Server
		tracker  *conns.Tracker
	}
)

// Error returns the message with the port, its address and the cause.
func (e *ListenError) Error() string {
	return "open port " + e.Port + " at " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger logs.Logger) Option { return func(e *entry) { e.logger = logger } }

// WithSeed sets the seed of the entry's random decisions. By default the seed is random.
func WithSeed(seed uint64) Option { return func(e *entry) { e.seed = seed } }

// New returns an entry. Run starts it.
func New(settings setup.Settings, options ...Option) Entry {
	e := &entry{settings: settings, logger: logs.Discard(), seed: rand.Uint64()}
	for _, option := range options {
		option(e)
	}
	return e
}

// Run implements Entry.
func (e *entry) Run(ctx context.Context) error {
	shellOptions := []shell.Option{shell.WithLogger(e.logger)}
	if e.settings.Peers.TLS.Enabled() {
		config, err := clientTLS(e.settings.Peers.TLS)
		if err != nil {
			return &ListenError{"peers", e.settings.Peers.Address, err}
		}
		shellOptions = append(shellOptions, shell.WithPeerTLS(config))
	}
	e.shell = shell.NewShell(parts.NewCore(), e.settings, shellOptions...)
	e.memory = newBudgets(e.settings.Limits)
	if limits := e.settings.Limits; limits.HasMemory {
		debug.SetMemoryLimit(int64(memoryOf(limits, memoryLimitRatio)))
	}
	var group conc.WaitGroup
	defer group.Wait()
	defer e.close()
	if err := e.openPorts(&group); err != nil {
		return err
	}
	e.shell.Start(e.seed)
	e.logger.Part("entry").Info("Entry serves.", "callers", e.settings.Callers.Address)
	select {
	case <-ctx.Done():
		e.shell.Step(event.StopAsked{})
	case <-e.shell.Stopping():
	}
	stoppedAt := time.Now()
	for _, opened := range e.ports {
		opened.tracker.Announce()
	}
	<-e.shell.Exited()
	time.Sleep(time.Until(stoppedAt.Add(closeDelay)))
	e.shutdown(stoppedAt.Add(e.settings.Core.StopTimeout.Duration()))
	return nil
}

// openPorts opens the ports for callers, peers and operators and serves them.
func (e *entry) openPorts(group *conc.WaitGroup) error {
	ports := []struct {
		name     string
		listener setup.Listener
		handler  http.Handler
	}{
		{callersPort, e.settings.Callers, front.NewHandler(e.shell, e.memory.bodies)},
		{"peers", e.settings.Peers, e.shell.PeerHandler()},
		{"operators", e.settings.Operators, admin.NewHandler(e.shell)},
	}
	for _, settings := range ports {
		listener, err := e.listen(settings.listener)
		if err != nil {
			return &ListenError{settings.name, settings.listener.Address, err}
		}
		server := &http.Server{
			Handler: settings.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: e.settings.Limits.HeaderBytes,
		}
		heads, ratio := e.memory.control, controlMemoryRatio
		if settings.name == callersPort {
			heads, ratio = e.memory.heads, connMemoryRatio
		}
		opened := &openPort{name: settings.name, server: server, tracker: conns.New(conns.WithMemory(heads))}
		opened.listener = opened.tracker.Listen(listener, maxConns(e.settings.Limits, ratio))
		opened.tracker.Attach(server)
		e.ports = append(e.ports, opened)
		group.Go(func() { e.serve(opened) })
	}
	return nil
}

// newBudgets returns the budgets of a memory setting. Without one, bodies are not bounded together.
func newBudgets(limits setup.Limits) budgets {
	control := limit.NewBudget(int64(memoryOf(limits, controlMemoryRatio)))
	if !limits.HasMemory {
		return budgets{limit.NewBudget(int64(memoryOf(limits, headMemoryRatio))), limit.NewBudget(math.MaxInt64), control}
	}
	connBytes := maxConns(limits, connMemoryRatio) * conns.ConnBytes
	whole := limit.NewBudget(int64(memoryOf(limits, requestMemoryRatio)) - int64(connBytes))
	return budgets{
		whole.NewPart(int64(memoryOf(limits, headMemoryRatio))), whole.NewPart(int64(memoryOf(limits, bodyMemoryRatio))), control,
	}
}

// memoryOf returns a part of the memory setting, in bytes.
func memoryOf(limits setup.Limits, ratio float64) float64 {
	return float64(limits.MemoryMegabytes) * megabyte * ratio
}

// maxConns returns how many connections a port may have that may take a part of the memory setting, if
// there is one.
func maxConns(limits setup.Limits, ratio float64) int {
	if !limits.HasMemory {
		return limits.Connections
	}
	return min(limits.Connections, int(memoryOf(limits, ratio)/conns.ConnBytes))
}

func (e *entry) listen(port setup.Listener) (net.Listener, error) {
	listener, err := net.Listen("tcp", port.Address)
	if err != nil {
		return nil, err
	}
	if !port.TLS.Enabled() {
		return listener, nil
	}
	config, err := serverTLS(port.TLS)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return tls.NewListener(listener, config), nil
}

func (e *entry) serve(opened *openPort) {
	err := opened.server.Serve(opened.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		e.logger.Part("entry").Warn("Port closed.", "port", opened.name, "err", err)
	}
}

// shutdown closes the ports and waits until every request that was read has its answer and
// every message to a peer was delivered, at most for closeTimeout after now or after the end
// of the stop timeout.
func (e *entry) shutdown(stopTimeoutEnd time.Time) {
	deadline := time.Now()
	if deadline.Before(stopTimeoutEnd) {
		deadline = stopTimeoutEnd
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(closeTimeout))
	defer cancel()
	for _, opened := range e.ports {
		if err := opened.tracker.Shutdown(ctx, opened.listener); err != nil {
			e.logger.Part("entry").Warn("Port did not close in time.", "port", opened.name, "err", err)
		}
	}
	ctx, cancel = context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	e.shell.FlushMessages(ctx)
}

func (e *entry) close() {
	for _, opened := range e.ports {
		_ = opened.server.Close()
	}
	e.shell.Stop()
}
