package proxy

import (
	"context"
	"net"
	"net/url"
	"syscall"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/serve/probe"
)

// probeTimeout is how long a probe waits for a connection.
const probeTimeout = 400 * clock.Millis(1)

// probeEndpoint finds out whether the process of an endpoint has exited and passes that to the core.
func (p *Proxy) probeEndpoint(action output.ProbeEndpoint) {
	ctx, cancel := context.WithTimeout(p.lifetime, probeTimeout.Duration())
	defer cancel()
	hasExited, err := probe.IsRefused(ctx, dialProbe, action.Address)
	outcome := input.ProbeUnknown
	switch {
	case hasExited:
		outcome = input.ProbeRefused
	case err == nil && action.WantsReport:
		outcome, err = p.probeReport(action.Address)
	}
	p.logger.Part("probe").Info("Endpoint probed.", "endpoint", action.Endpoint, "outcome", outcome, "err", err)
	p.Step(input.EndpointProbed{Endpoint: action.Endpoint, Epoch: action.Epoch, Outcome: outcome})
}

// probeReport finds out whether an endpoint that accepts connections answers the call for its report. Any
// answer shows that its process lives. A connection that it closes may be one too many for it.
func (p *Proxy) probeReport(address string) (input.ProbeOutcome, error) {
	_, err := p.fetchPace(address)
	var callErr *url.Error
	switch {
	case p.lifetime.Err() != nil:
		return input.ProbeUnknown, err
	case errors.Is(err, syscall.ECONNREFUSED):
		return input.ProbeRefused, err
	case errors.As(err, &callErr) && callErr.Timeout():
		return input.ProbeSilent, err
	case callErr != nil:
		return input.ProbeUnknown, err
	}
	return input.ProbeAnswered, err
}

// dialProbe opens a connection for a probe.
func dialProbe(ctx context.Context, network, address string) (net.Conn, error) {
	return newDialer(userTimeoutFor(0)).DialContext(ctx, network, address)
}
