package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/port"
	"mustardhook/internal/flow/setup"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/logs"
)

const (
	testMemoryMegabytes = 16
	// testTimeout is shorter than a read to the end of an endless body would take.
	testTimeout = 20 * time.Second
)

// testDialect is a dialect for orders and reports. It can't read the requests of callers.
type testDialect struct{ port.Dialect }

func (testDialect) ReadRequest(*http.Request) (call.Request, error) {
	return call.Request{}, http.ErrNotSupported
}

func (testDialect) Order(call.LeaseOrder) (string, []byte, error) { return "/order", nil, nil }
func (testDialect) ReportPath() string                            { return "/report" }
func (testDialect) ReadPace([]byte) (float64, error)              { return 1, nil }

func newTestProxy(t *testing.T) *Proxy {
	p := New(Config{
		Settings: setup.Settings{Limits: setup.Limits{MemoryMegabytes: testMemoryMegabytes, Descriptors: 400}},
		Dialect:  testDialect{}, Logger: logs.Discard(),
	})
	t.Cleanup(func() {
		p.cancel()
		p.goroutines.Wait()
	})
	return p
}

// startEndless starts a server whose response bodies have no end, and returns its address.
func startEndless(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for piece := strings.Repeat(" ", 1<<16); ; {
			if _, err := io.WriteString(w, piece); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against an answer to an order without end that counts as the grant of a lease.
func TestEndlessAnswerToOrderIsNoGrant(t *testing.T) {
	t.Parallel()
	s := &session{proxy: newTestProxy(t)}
	err := s.sendOrder(t.Context(), call.Helper{Address: startEndless(t), Lease: "l1"}, 100)
	var exceeded *limit.ExceededError
	require.ErrorAs(t, err, &exceeded)
}

// Guards against a report without end whose first part is read as the whole.
func TestEndlessReportIsRejected(t *testing.T) {
	t.Parallel()
	_, err := newTestProxy(t).fetchPace(startEndless(t))
	var exceeded *limit.ExceededError
	require.ErrorAs(t, err, &exceeded)
}

// Guards against published state without end that is read into memory until the timeout.
func TestEndlessPublishedStateIsRejected(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	client := newspb.NewShareProtobufClient("http://"+startEndless(t), NewClient())
	_, err := client.GetPublished(ctx, &newspb.PublishedAsk{})
	var exceeded *limit.ExceededError
	require.ErrorAs(t, err, &exceeded)
}

// Guards against a head of a response without end: the call fails long before the default
// limit of net/http.
func TestEndlessHeadOfResponseIsRejected(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 200<<10))
	}))
	t.Cleanup(server.Close)
	_, err := NewClient().Get(server.URL)
	require.ErrorContains(t, err, "exceeded")
}
