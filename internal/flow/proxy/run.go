package proxy

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/place"
	"mustardhook/internal/flow/setup"
)

const (
	// headTimeout bounds the time a caller takes for the head of a request, and
	// callerIdle how long its connection may stay idle.
	headTimeout = 5 * time.Second
	callerIdle  = 60 * time.Second
	// memoryShare is the part of the instance's memory that the collector aims at.
	memoryShare = 0.7
	megabyte    = 1 << 20
	// reservedDescriptors are kept for files; of the others callers may hold
	// callerShare, since each of them may need another one for its send.
	reservedDescriptors = 200
	callerShare         = 0.45

	portCallers = "callers"
	// drainPoll is the time between two looks whether all requests have ended.
	drainPoll = 20 * time.Millisecond
	// exitMargin is left of the grace for the end of the process.
	exitMargin = 500 * time.Millisecond
)

type (
	// ListenError says which port could not be opened.
	ListenError struct {
		Port    string
		Address string
		Err     error
	}
)

// Error names the port and the cause.
func (e *ListenError) Error() string {
	return "open port " + e.Port + " at " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Reload takes changed settings: the bounds of retries and of the stop. Addresses
// are taken at the next start.
func (p *Proxy) Reload(settings setup.Settings) {
	p.Step(input.SettingsRead{Settings: settings.Core})
	p.logger.Part("entry").Info("Settings read anew.", "grace", settings.Core.GracePeriod)
}

// Run serves until the context ends, then finishes the requests in flight.
func (p *Proxy) Run(ctx context.Context, seed uint64) error {
	defer p.group.Wait()
	defer p.cancel()
	news, err := openNews(p.settings.Peers, p.settings.NewsPort, p.logger)
	if err != nil {
		return &ListenError{"news", p.settings.Peers, err}
	}
	defer func() { _ = news.conn.Close() }()
	p.news = news
	debug.SetMemoryLimit(int64(float64(p.settings.Limits.MemoryMegabytes) * megabyte * memoryShare))
	callers, err := p.listen(portCallers, p.settings.Callers, p)
	if err != nil {
		return err
	}
	defer func() { _ = callers.Close() }()
	others := map[string]http.Handler{p.settings.Ready: p.readyHandler(), p.settings.Peers: p.peerHandler()}
	if p.settings.MetricsPort != 0 {
		host, _, err := net.SplitHostPort(p.settings.Peers)
		if err != nil {
			return &ListenError{"metrics", p.settings.Peers, err}
		}
		others[net.JoinHostPort(host, strconv.Itoa(p.settings.MetricsPort))] = p.metricsHandler()
	}
	for address, handler := range others {
		server, err := p.listen("control", address, handler)
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
	}
	p.Step(input.Started{
		Self: p.settings.Entry, Epoch: uint64(time.Now().UnixMilli()), Domain: p.settings.Domain,
		Address: p.settings.Peers, Capacity: p.settings.Limits.ProcessorThousandths, Seeds: p.settings.Seeds, Seed: seed,
		Settings: p.settings.Core,
	})
	p.spawn(func() { p.news.listen(p.Step) })
	p.spawn(p.tick)
	p.spawn(p.readPublished)
	p.logger.Part("entry").Info("Entry serves.", "callers", p.settings.Callers)
	<-ctx.Done()
	p.stop(callers)
	return nil
}

func (p *Proxy) listen(name, address string, handler http.Handler) (*http.Server, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive()}
	listener, err := config.Listen(p.lifetime, "tcp4", address)
	if err != nil {
		return nil, &ListenError{name, address, err}
	}
	if name == portCallers {
		most := int(float64(p.settings.Limits.Descriptors-reservedDescriptors) * callerShare)
		listener = netutil.LimitListener(listener, max(most, 1))
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: callerIdle}
	p.spawn(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.logger.Part("entry").Warn("Port closed.", "port", name, "err", err)
		}
	})
	return server, nil
}

// stop says not ready, goes on accepting until the balancer has noticed, and
// finishes what runs within the grace.
func (p *Proxy) stop(callers *http.Server) {
	p.logger.Part("entry").Info("Entry stops.", "active", p.active.Load())
	deadline := time.Now().Add(p.grace().Duration() - exitMargin)
	p.Step(input.StopRequested{})
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(place.StopNotice.Duration())
	for p.active.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	p.logger.Part("entry").Info("Entry ends.", "active", p.active.Load())
}

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

func (p *Proxy) grace() clock.Millis {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.board.Settings.GracePeriod
}
