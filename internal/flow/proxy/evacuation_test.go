package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/cycle"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/evac"
	"mustardhook/internal/flow/intake"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/port"
)

// sendDialect is a dialect for orders and sends, whose answers count for nothing.
type sendDialect struct{ orderDialect }

func (sendDialect) EndpointHeader(http.Header, call.Send, string) http.Header { return http.Header{} }
func (sendDialect) ReadAnswer(*http.Response) port.AnswerHead                 { return port.AnswerHead{} }

// newEvacuationProxy returns a proxy with an endpoint of the same name in each of the failure domains.
func newEvacuationProxy(t *testing.T, domains ...ident.Domain) *Proxy {
	p := newTestProxy(t)
	p.dialect = sendDialect{}
	for _, domain := range domains {
		p.board.Pool.Put(pool.Listing{Name: ident.Endpoint(domain), Domain: domain, Epoch: 1}, 0)
	}
	return p
}

func (p *Proxy) evacuateForTest(points map[ident.Domain]point.Point) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.board.Pool.SetEvacuated(evac.NewSet(points), 1)
}

// Guards against memory that stays reserved, and a request that is sent, if an endpoint of the send is
// evacuated while the memory is reserved or the connection opened, whichever endpoint it is.
func TestSendIsWithdrawnAndItsLeasesReleased(t *testing.T) {
	t.Parallel()
	for _, evacuated := range []ident.Domain{"first", "second", "lead"} {
		for _, hasLeases := range []bool{true, false} {
			p := newEvacuationProxy(t, "first", "second", "lead")
			var mutex sync.Mutex
			var received []string
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				p.evacuateForTest(map[ident.Domain]point.Point{evacuated: {Revision: 7}})
				mutex.Lock()
				defer mutex.Unlock()
				received = append(received, r.URL.Path)
			}))
			t.Cleanup(server.Close)
			address := strings.TrimPrefix(server.URL, "http://")
			target := call.Send{Endpoint: "lead", Address: address, TimeLeft: 2000}
			for _, name := range []ident.Endpoint{"first", "second"} {
				helper := call.Helper{Endpoint: name, Address: address}
				if hasLeases {
					helper.Lease, helper.LeaseTokens = "l-"+string(name), 100
				}
				target.Helpers = append(target.Helpers, helper)
			}
			if !hasLeases {
				p.evacuateForTest(map[ident.Domain]point.Point{evacuated: {Revision: 7}})
			}
			s := &session{proxy: p, head: httptest.NewRequest(http.MethodPost, "/x", nil)}
			s.sending, s.cancel = context.WithCancel(t.Context())
			result := s.send(target)
			require.True(t, result.Withdrawn && result.End == call.EndNotRun && !result.Unreachable, "%+v", result)
			p.goroutines.Wait()
			expected := []string(nil)
			if hasLeases {
				expected = []string{"/reserve", "/release"}
			}
			mutex.Lock()
			require.Equal(t, expected, received)
			mutex.Unlock()
			require.EqualValues(t, 1, p.countEvacuated())
		}
	}
}

// Guards against an entry that can't read the store and misses an instruction of its peers: one without a change
// of the list, two at once, and the end of all.
func TestEvacuationsAreFetchedFromAnotherEntry(t *testing.T) {
	t.Parallel()
	p := newTestProxy(t)
	p.cycle = cycle.New(board.Registration{Priority: 1, Controller: intake.NewController()})
	source := newEvacuationProxy(t, "north")
	server := httptest.NewServer(source.peerHandler())
	t.Cleanup(server.Close)
	north, south := point.Point{Era: 1, Revision: 2}, point.Point{Era: 1, Revision: 3}
	for i, points := range []map[ident.Domain]point.Point{{}, {"north": north}, {"north": north, "south": south}, {}} {
		source.evacuateForTest(points)
		source.board.ListAt = point.Point{Era: 1, Revision: uint64(i) + 1}
		p.fetchPublished(output.FetchPublished{Address: strings.TrimPrefix(server.URL, "http://"), ListAt: p.board.ListAt})
		require.Equal(t, evac.NewSet(points), p.board.Pool.Evacuated())
		require.Equal(t, source.board.ListAt, p.board.ListAt)
	}
}
