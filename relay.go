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
	// Relay is one instance that relays callers' requests to endpoints as they are,
	// driven by the configuration that a platform publishes.
	Relay interface {
		// Run serves until the context ends, then finishes all requests in flight
		// and returns. An error means that a port could not be opened.
		Run(ctx context.Context) error
		// Reload takes changed settings; addresses are taken at the next start.
		Reload(settings setup.Settings)
	}

	// RelayOption sets up a relay.
	RelayOption func(*relay)

	relay struct {
		*proxy.Proxy
		logger logs.Logger
		seed   uint64
	}
)

// WithRelayLogger sets the logger; the default writes nothing.
func WithRelayLogger(logger logs.Logger) RelayOption { return func(r *relay) { r.logger = logger } }

// WithRelaySeed sets the seed of random decisions; the default is random.
func WithRelaySeed(seed uint64) RelayOption { return func(r *relay) { r.seed = seed } }

// NewRelay returns a relay that has not started. The dialect translates requests
// and answers, the source reads published state.
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

// Run serves until the context ends.
func (r *relay) Run(ctx context.Context) error { return r.Proxy.Run(ctx, r.seed) }
