package proxy

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/serve/limit"
)

const (
	// leaseTTL is how long a lease lasts after its last renewal. Memory must be free
	// 4 s after the last request that used it, even if the entry has crashed.
	leaseTTL = 3 * clock.Second
	// renewInterval is the time between two renewals of a lease.
	renewInterval = 1 * time.Second
	// orderTimeout is the timeout of one order.
	orderTimeout = 400 * time.Millisecond
	// releaseAttempts is the maximum number of attempts to release a lease.
	releaseAttempts = 3
	// lateOrderTimeout is how long after an order without an answer an endpoint may still carry
	// it out. lateReleaseInterval is the time between two releases until then.
	lateOrderTimeout    = 5 * time.Second
	lateReleaseInterval = 1 * time.Second
	// maxOrderAnswerBytes is the maximum size of the answer to an order.
	maxOrderAnswerBytes = 64 << 10
)

type (
	// leases holds the memory leases of one send and renews them until they are
	// released.
	leases struct {
		session *session
		// reserved are the endpoints that granted a lease, or may have done so.
		reserved []call.Helper
		cancel   context.CancelFunc
		// mutex guards unanswered, which holds the time of the last order without an answer
		// by the name of the lease.
		mutex      sync.Mutex
		unanswered map[string]time.Time
	}

	// OrderError reports that an endpoint refused an order.
	OrderError struct {
		Address string
		Status  int
	}
)

// Error returns a message with the endpoint's address and status code.
func (e *OrderError) Error() string {
	return "order to endpoint " + e.Address + " failed with status " + itoa(e.Status)
}

// reserve acquires all leases of a send and starts to renew them. If one fails it returns
// an error, and the caller must release the returned leases, which include the failed one.
// Orders are sent in the order of the endpoints' names, so that two sends can't wait for
// each other. If an endpoint of the send is evacuated meanwhile, the error is an EvacuatedError.
func (s *session) reserve(ctx context.Context, target call.Send) (*leases, error) {
	acquired := &leases{session: s, unanswered: map[string]time.Time{}}
	withLease := slices.DeleteFunc(slices.Clone(target.Helpers), func(h call.Helper) bool { return h.Lease == "" })
	slices.SortFunc(withLease, func(a, b call.Helper) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	for _, helper := range withLease {
		// If the answer is lost, the endpoint may still have reserved the memory, so
		// release this lease too.
		acquired.reserved = append(acquired.reserved, helper)
		if err := acquired.order(ctx, helper, helper.LeaseTokens); err != nil {
			return acquired, err
		}
		if err := s.proxy.checkEvacuated(target); err != nil {
			return acquired, err
		}
	}
	if len(acquired.reserved) > 0 {
		renewCtx, cancel := context.WithCancel(ctx)
		acquired.cancel = cancel
		s.proxy.spawn(func() { acquired.renew(renewCtx) })
	}
	return acquired, nil
}

// renew renews all leases at each renewInterval until the context ends.
func (l *leases) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, helper := range l.reserved {
			if err := l.order(ctx, helper, helper.LeaseTokens); err != nil && ctx.Err() == nil {
				l.session.proxy.logger.Part("lease").Warn("Lease was not renewed.", "lease", helper.Lease,
					"endpoint", helper.Endpoint, "err", err)
			}
		}
	}
}

// release stops the renewals and releases all leases in the background.
func (l *leases) release() {
	if l.cancel != nil {
		l.cancel()
	}
	for _, helper := range l.reserved {
		l.session.proxy.spawn(func() { l.releaseOne(helper) })
	}
}

// releaseOne releases one lease, with up to releaseAttempts attempts. An endpoint may carry out
// an order that it has not answered after the release, and would then keep the memory, so the
// release is repeated until lateOrderTimeout after such an order.
func (l *leases) releaseOne(helper call.Helper) {
	// The context of the request may be cancelled already; the release must still be sent.
	ctx := l.session.proxy.lifetime
	var err error
	for range releaseAttempts {
		if err = l.session.sendOrder(ctx, helper, 0); err == nil {
			break
		}
	}
	l.mutex.Lock()
	until := l.unanswered[helper.Lease].Add(lateOrderTimeout)
	l.mutex.Unlock()
	for time.Now().Add(lateReleaseInterval).Before(until) && ctx.Err() == nil {
		l.session.proxy.sleep(clock.Millis(lateReleaseInterval.Milliseconds()))
		err = l.session.sendOrder(ctx, helper, 0)
	}
	if err != nil {
		l.session.proxy.logger.Part("lease").Warn("Lease was not released and will expire.", "lease", helper.Lease,
			"endpoint", helper.Endpoint, "err", err)
	}
}

// order reserves or renews a lease, and records that it was not answered.
func (l *leases) order(ctx context.Context, helper call.Helper, tokens int) error {
	err := l.session.sendOrder(ctx, helper, tokens)
	var refused *OrderError
	if err != nil && !errors.As(err, &refused) {
		l.mutex.Lock()
		l.unanswered[helper.Lease] = time.Now()
		l.mutex.Unlock()
	}
	return err
}

// sendOrder reserves memory at an endpoint or renews the lease on it. If tokens is zero,
// it releases the lease.
func (s *session) sendOrder(ctx context.Context, helper call.Helper, tokens int) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	path, body, err := s.proxy.dialect.Order(call.LeaseOrder{Lease: helper.Lease, Tokens: tokens, TTL: leaseTTL})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+helper.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request for order")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Connection", "close")
	response, err := s.proxy.peers.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, limit.NewReader(response.Body, maxOrderAnswerBytes)); err != nil {
		return errors.Wrap(err, "read answer to order")
	}
	if response.StatusCode != http.StatusOK {
		return &OrderError{helper.Address, response.StatusCode}
	}
	return nil
}
