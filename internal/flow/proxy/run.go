package proxy

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/place"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/setup"
	"mustardhook/internal/serve/conns"
	"mustardhook/internal/serve/limit"
)

const (
	// requestHeaderTimeout is how long a caller may take to send the header of a request.
	// An idle connection of a caller is closed after callerIdleTimeout.
	requestHeaderTimeout = 5 * time.Second
	callerIdleTimeout    = 60 * time.Second
	// maxRequestHeadBytes is the maximum size of the head of a request until a plan sets one, which
	// may be up to maxPlannedHeadBytes. On the ports for control, maxControlBytes is that of the
	// body, and controlTimeout is how long reading a request and writing the response may each take.
	maxRequestHeadBytes = 64 << 10
	maxPlannedHeadBytes = 1 << 20
	// headTimeReserve allows for the way of a head that its caller sends in the time of the plan.
	headTimeReserve = 1 * clock.Second
	// receiveBufferBytes bounds what the kernel holds of a connection that is not read.
	receiveBufferBytes = 256 << 10
	maxControlBytes    = 64 << 10
	controlTimeout     = 5 * time.Second
	// memoryLimitRatio is the soft limit of the Go runtime's memory, as a fraction of the
	// memory setting.
	memoryLimitRatio = 0.7
	megabyte         = 1 << 20
	// reservedDescriptors is the number of file descriptors kept for other uses than
	// requests. Connections of callers may use the fraction callerDescriptorRatio of the
	// rest, since each request may need a second descriptor for its send.
	reservedDescriptors   = 200
	callerDescriptorRatio = 0.45
	// The port for peers may have the fraction peersDescriptorRatio, and every port for control
	// controlConns at least.
	peersDescriptorRatio = 0.1
	controlConns         = 32
	// The port for readiness may have the fraction readyDescriptorRatio, up to maxReadyConns.
	readyDescriptorRatio = 0.04
	maxReadyConns        = 256

	callersPort = "callers"
	peersPort   = "peers"
	readyPort   = "ready"
	// drainPollInterval is the time between two checks whether all requests have ended.
	drainPollInterval = 20 * time.Millisecond
)

type (
	// ListenError reports that a port could not be opened.
	ListenError struct {
		Port    string
		Address string
		Err     error
	}

	controlPort struct {
		name, address string
		handler       http.Handler
	}
)

// Error returns a message with the port, its address and the cause.
func (e *ListenError) Error() string {
	return "open port " + e.Port + " at " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Reload applies changed settings of the core, such as the retry limits and the grace
// period. Changed addresses take effect at the next start. Reload waits until Run has
// started the core.
func (p *Proxy) Reload(settings setup.Settings) {
	select {
	case <-p.started:
	case <-p.lifetime.Done():
		return
	}
	p.Step(input.SettingsRead{Settings: settings.Core})
	p.logger.Part("entry").Info("Settings reloaded.", "grace", settings.Core.GracePeriod)
}

// Run serves until the context ends and then finishes the requests in flight, within the
// grace period. It returns a *ListenError if a port can't be opened. seed is the seed of
// the core's random decisions.
func (p *Proxy) Run(ctx context.Context, seed uint64) error {
	defer p.goroutines.Wait()
	defer p.cancel()
	news, err := openNewsSocket(p.settings.Peers, p.settings.NewsPort, p.logger)
	if err != nil {
		return &ListenError{"news", p.settings.Peers, err}
	}
	defer func() { _ = news.conn.Close() }()
	p.news = news
	// The core must have started before a port accepts a request.
	p.Step(input.Started{
		Self: p.settings.Entry, Epoch: uint64(time.Now().UnixMilli()), Domain: p.settings.Domain,
		Address: p.settings.Peers, Capacity: p.settings.Limits.ProcessorThousandths, Seeds: p.settings.Seeds, Seed: seed,
		Settings: p.settings.Core,
	})
	close(p.started)
	debug.SetMemoryLimit(int64(float64(p.settings.Limits.MemoryMegabytes) * megabyte * memoryLimitRatio))
	callers, listener, err := p.listen(callersPort, p.settings.Callers, p)
	if err != nil {
		return err
	}
	defer func() { _ = callers.Close() }()
	control := []controlPort{{readyPort, p.settings.Ready, p.readyHandler()}, {peersPort, p.settings.Peers, p.peerHandler()}}
	if p.settings.MetricsPort != 0 {
		host, _, err := net.SplitHostPort(p.settings.Peers)
		if err != nil {
			return &ListenError{"metrics", p.settings.Peers, err}
		}
		control = append(control, controlPort{"metrics", net.JoinHostPort(host, strconv.Itoa(p.settings.MetricsPort)), p.metricsHandler()})
	}
	for _, port := range control {
		server, _, err := p.listen(port.name, port.address, port.handler)
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
	}
	p.spawn(func() { p.news.receive(p.Step) })
	p.spawn(p.tick)
	p.spawn(p.readPublished)
	p.logger.Part("entry").Info("Entry serves.", "callers", p.settings.Callers)
	<-ctx.Done()
	p.stop(listener)
	return nil
}

// listen starts an HTTP server at the address. It limits the number of connections. Those of
// callers are tracked and bounded by memory; on other ports the size and the duration of requests
// are limited.
func (p *Proxy) listen(name, address string, handler http.Handler) (*http.Server, net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: boundReceiveBuffer}
	listener, err := config.Listen(p.lifetime, "tcp4", address)
	if err != nil {
		return nil, nil, &ListenError{name, address, err}
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: requestHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxRequestHeadBytes,
	}
	tracker, maxConns := p.conns, maxCallerConns(p.settings.Limits)
	if name == callersPort {
		server.MaxHeaderBytes = maxPlannedHeadBytes
	} else {
		memory := p.controlMemory
		maxConns = controlConns
		switch name {
		case peersPort:
			maxConns = max(maxConnsWithin(p.settings.Limits, peersDescriptorRatio, peerConnMemoryRatio), controlConns)
		case readyPort:
			memory = p.readyMemory
			maxConns = max(min(maxConnsWithin(p.settings.Limits, readyDescriptorRatio, readyConnMemoryRatio), maxReadyConns), controlConns)
		}
		server.Handler = http.MaxBytesHandler(boundControl(memory, handler), maxControlBytes)
		server.WriteTimeout = controlTimeout
		tracker = conns.New(conns.WithMemory(memory))
	}
	listener = tracker.Listen(listener, maxConns)
	tracker.Attach(server)
	p.spawn(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			p.logger.Part("entry").Warn("Port closed.", "port", name, "err", err)
		}
	})
	return server, listener, nil
}

// boundControl refuses requests whose bodies together exceed the memory of their port, and bounds the time
// of each body. http.Server.ReadTimeout would begin when a connection is accepted.
func boundControl(memory *limit.Budget, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A connection that refuses a deadline is closed already.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(controlTimeout))
		share := memory.NewShare()
		defer share.Release()
		length := r.ContentLength
		if length < 0 || length > maxControlBytes {
			length = maxControlBytes
		}
		// The body is held as it came and decoded.
		if share.Take(2*length) != nil {
			conns.DropBody(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// maxCallerConns returns how many connections callers may have open.
func maxCallerConns(limits setup.Limits) int {
	return max(maxConnsWithin(limits, callerDescriptorRatio, connMemoryRatio), 1)
}

// maxConnsWithin returns how many connections fit into the parts of the descriptors and of the
// memory.
func maxConnsWithin(limits setup.Limits, descriptorRatio, memoryRatio float64) int {
	byDescriptors := float64(limits.Descriptors-reservedDescriptors) * descriptorRatio
	byMemory := float64(limits.MemoryMegabytes) * megabyte * memoryRatio / conns.ConnBytes
	return int(min(byDescriptors, byMemory))
}

// boundReceiveBuffer sets the receive buffer of a listening socket, which its connections inherit.
// Without it the kernel lets them grow to megabytes.
func boundReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(descriptor uintptr) {
		// A system without the option keeps its own bound.
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

// connLimits returns the limits of connections of callers under a plan.
func connLimits(limits plan.Limits) conns.Limits {
	converted := conns.Limits{HeadBytes: maxRequestHeadBytes, IdleTime: limits.IdleTimeout.Duration()}
	if limits.HeaderBytes > 0 {
		converted.HeadBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		converted.HeadTime = (limits.HeaderTimeout + headTimeReserve).Duration()
	}
	return converted
}

// stop makes the readiness check fail and accepts requests until the load balancer has
// noticed that. It then waits until every request that was read has been answered. The core
// ends the requests that are left shortly before the end of the grace period.
func (p *Proxy) stop(callers net.Listener) {
	p.logger.Part("entry").Info("Entry stops.", "active", p.active.Load())
	p.Step(input.StopRequested{})
	grace, serviceTime := p.stopTimes()
	// One half of the reserve is for the last answers, the other one for the exit.
	exit, cancel := context.WithTimeout(context.Background(), (grace+serviceTime).Duration()/2)
	defer cancel()
	service, cancel := context.WithTimeout(exit, serviceTime.Duration())
	defer cancel()
	p.conns.Retire()
	wait(service, min(place.StopNotice, grace/2).Duration())
	for p.active.Load() > 0 && service.Err() == nil {
		wait(service, drainPollInterval)
	}
	if err := p.conns.Shutdown(exit, callers); err != nil {
		p.logger.Part("entry").Warn("Port of callers was not shut down in time.", "err", err)
	}
	p.logCutRequests()
	open := p.conns.Open()
	p.logger.Part("entry").Info("Entry stopped.", "active", p.active.Load(), "busy", open.Busy, "idle", open.Idle,
		"unused", open.Unused)
}

// wait waits for the given time or until the context ends.
func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// logCutRequests logs each request that the exit of the process cuts off.
func (p *Proxy) logCutRequests() {
	p.sessions.Range(func(_, value any) bool {
		s := value.(*session)
		p.logger.Part("request").Warn("Request cut off by the exit.", "request", s.request.Name, "stage", s.stage.Load(),
			"millis", time.Since(s.startedAt).Milliseconds(), "promptTokens", s.request.PromptTokens)
		return true
	})
}

// readyHandler answers the readiness check with status 200 or 503.
func (p *Proxy) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (p *Proxy) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { p.metrics.write(w) })
}

// stopTimes returns the grace period and the part of it in which requests are answered.
func (p *Proxy) stopTimes() (grace, service clock.Millis) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.board.Settings.GracePeriod, p.board.StopEndsAt - p.board.StoppingAt
}
