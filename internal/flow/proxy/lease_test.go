package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/port"
)

type (
	// orderDialect is a dialect whose orders are calls with the operation as path.
	orderDialect struct{ port.Dialect }

	// lateEndpoint is an endpoint that carries out the first order late, without an answer.
	lateEndpoint struct {
		mutex   sync.Mutex
		isHeld  bool
		isLate  bool
		reserve chan struct{}
	}
)

func (orderDialect) Order(order call.LeaseOrder) (string, []byte, error) {
	if order.Tokens == 0 {
		return "/release", nil, nil
	}
	return "/reserve", nil, nil
}

// ServeHTTP answers an order. The first one to reserve memory is carried out after delay.
func (e *lateEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if r.URL.Path == "/reserve" && !e.isLate {
		e.isLate = true
		time.AfterFunc(1500*time.Millisecond, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.isHeld = true
			close(e.reserve)
		})
		panic(http.ErrAbortHandler)
	}
	e.isHeld = r.URL.Path == "/reserve"
}

// Guards against memory that nobody uses: an order without an answer is carried out after the
// release of its lease.
func TestLeaseOfLateOrderIsReleased(t *testing.T) {
	t.Parallel()
	endpoint := &lateEndpoint{reserve: make(chan struct{})}
	server := httptest.NewServer(endpoint)
	t.Cleanup(server.Close)
	p := newTestProxy(t)
	p.dialect = orderDialect{}
	s := &session{proxy: p}
	helper := call.Helper{Address: strings.TrimPrefix(server.URL, "http://"), Endpoint: "e1", Lease: "l1", LeaseTokens: 100}
	acquired, err := s.reserve(t.Context(), call.Send{Helpers: []call.Helper{helper}})
	require.Error(t, err)
	acquired.release()
	<-endpoint.reserve
	require.Eventually(t, func() bool {
		endpoint.mutex.Lock()
		defer endpoint.mutex.Unlock()
		return !endpoint.isHeld
	}, 3*time.Second, 20*time.Millisecond)
}
