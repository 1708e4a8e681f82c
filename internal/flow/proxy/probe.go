package proxy

import (
	"context"
	"net/url"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
)

const (
	// probeTimeout is how long a probe waits for a connection.
	probeTimeout = 400 * clock.Millis(1)
	// endSettleTime is the time between two probes that show that a process lives. The kernel closes the sockets of a
	// process that was killed one after the other, the listening one among the last.
	endSettleTime = 100 * time.Millisecond
)

// probeEndpoint finds out whether the process of an endpoint has exited and passes that to the core.
func (p *Proxy) probeEndpoint(action output.ProbeEndpoint) {
	ctx, cancel := context.WithTimeout(p.lifetime, probeTimeout.Duration())
	defer cancel()
	hasExited, err := probe(ctx, action.Address)
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

// probe opens a connection and closes it at once. A refused connection means that the process at the
// address has exited. Silence means nothing.
func probe(ctx context.Context, address string) (hasExited bool, err error) {
	conn, err := newDialer(userTimeoutFor(0)).DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	return false, conn.Close()
}

// hasExited reports whether the process at the address has exited, or exits at the moment. It takes endSettleTime
// to find that it lives. A connection that opened while the listening socket was closed may stay open without a peer, so
// another one is opened after that time. If nothing can be found out, it reports false.
func hasExited(ctx context.Context, address string) bool {
	if isRefused(ctx, address) {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(endSettleTime):
	}
	return isRefused(ctx, address)
}

// isRefused reports whether the address refuses a connection, or resets it while it is opened.
func isRefused(ctx context.Context, address string) bool {
	isGone, err := probe(ctx, address)
	return isGone || errors.Is(err, syscall.ECONNRESET)
}
