package proxy

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
)

const (
	// leaseSpan is how long reserved memory outlives an entry that ends; memory
	// must be free 4 s after the last request that used it.
	leaseSpan = 3 * clock.Second
	// renewSpan is the time between two renewals.
	renewSpan = 1 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 400 * time.Millisecond
	// releaseTries is how often a release is sent until it is answered.
	releaseTries = 3
	orderBytes   = 64 << 10
)

type (
	// leases are the reserved memory of one send.
	leases struct {
		session *session
		held    []call.Helper
		cancel  context.CancelFunc
	}

	// OrderError is an endpoint's refusal of an order.
	OrderError struct {
		Address string
		Status  int
	}
)

// Error names the endpoint and the status.
func (e *OrderError) Error() string {
	return "order to " + e.Address + " was answered with status " + itoa(e.Status)
}

// reserve takes all leases of a send or none. Endpoints are asked in the order of
// their names, so that two sends never wait for one another.
func (s *session) reserve(ctx context.Context, helpers []call.Helper) (*leases, error) {
	taken := &leases{session: s}
	wanted := slices.DeleteFunc(slices.Clone(helpers), func(h call.Helper) bool { return h.Lease == "" })
	slices.SortFunc(wanted, func(a, b call.Helper) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	for _, helper := range wanted {
		// An order without an answer may have been carried out, so it is released too.
		taken.held = append(taken.held, helper)
		if err := s.order(ctx, helper, helper.LeaseTokens); err != nil {
			return taken, err
		}
	}
	if len(taken.held) > 0 {
		renewing, cancel := context.WithCancel(ctx)
		taken.cancel = cancel
		s.proxy.spawn(func() { taken.renew(renewing) })
	}
	return taken, nil
}

func (l *leases) renew(ctx context.Context) {
	ticker := time.NewTicker(renewSpan)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, helper := range l.held {
			if err := l.session.order(ctx, helper, helper.LeaseTokens); err != nil && ctx.Err() == nil {
				l.session.proxy.logger.Part("lease").Warn("Lease was not renewed.", "lease", helper.Lease,
					"endpoint", helper.Endpoint, "err", err)
			}
		}
	}
}

// end stops the renewals and releases the memory.
func (l *leases) end() {
	if l.cancel != nil {
		l.cancel()
	}
	for _, helper := range l.held {
		l.session.proxy.spawn(func() { l.release(helper) })
	}
}

func (l *leases) release(helper call.Helper) {
	// The caller may be gone; the release goes out all the same.
	ctx := l.session.proxy.lifetime
	var err error
	for range releaseTries {
		if err = l.session.order(ctx, helper, 0); err == nil {
			return
		}
	}
	l.session.proxy.logger.Part("lease").Warn("Lease was not released and will expire.", "lease", helper.Lease,
		"endpoint", helper.Endpoint, "err", err)
}

// order reserves or renews memory at an endpoint, or with no tokens releases it.
func (s *session) order(ctx context.Context, helper call.Helper, tokens int) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	path, body, err := s.proxy.dialect.Order(call.LeaseOrder{Lease: helper.Lease, Tokens: tokens, TTL: leaseSpan})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+helper.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make order")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Connection", "close")
	response, err := s.proxy.peers.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, orderBytes)); err != nil {
		return errors.Wrap(err, "read answer to order")
	}
	if response.StatusCode != http.StatusOK {
		return &OrderError{helper.Address, response.StatusCode}
	}
	return nil
}
