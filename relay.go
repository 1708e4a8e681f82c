package mustardhook

import (
	"context"
	"math/rand/v2"
	"strconv"

	"mustardhook/internal/flow/parts"
	"mustardhook/internal/flow/port"
	"mustardhook/internal/flow/proxy"
	"mustardhook/internal/flow/setup"
	"mustardhook/internal/serve/logs"
)

type (
	// Relay forwards the requests of callers to endpoints according to the
	// configuration that a platform publishes.
	Relay interface {
		// Run serves until the context is done, finishes all requests in flight and
		// returns. It returns an error only if a port can't be opened.
		Run(ctx context.Context) error
		// Reload applies changed settings. Changed addresses take effect only at the
		// next start. Reload waits until Run has started the relay.
		Reload(settings setup.Settings)
	}

	// RelayOption configures a Relay.
	RelayOption func(*relay)

	relay struct {
		*proxy.Proxy
		logger logs.Logger
		seed   uint64
	}
)

// WithRelayLogger sets the logger. By default nothing is logged.
func WithRelayLogger(logger logs.Logger) RelayOption { return func(r *relay) { r.logger = logger } }

// WithRelaySeed sets the seed of random decisions. By default the seed is random.
func WithRelaySeed(seed uint64) RelayOption { return func(r *relay) { r.seed = seed } }

// NewRelay returns a relay; Run starts it. The dialect translates requests and answers
// between callers and endpoints. The source reads the published configuration.
func NewRelay(settings setup.Settings, dialect port.Dialect, source port.Source, options ...RelayOption) Relay {
	r := &relay{logger: logs.Discard(), seed: rand.Uint64()}
	for _, option := range options {
		option(r)
	}
	r.Proxy = proxy.New(proxy.Config{
		Settings: settings, Dialect: dialect, Source: source, Logger: r.logger,
		Controllers: parts.Controllers(strconv.Itoa(settings.NewsPort)),
	})
	return r
}

// Run implements Relay.
func (r *relay) Run(ctx context.Context) error { return r.Proxy.Run(ctx, r.seed) }
