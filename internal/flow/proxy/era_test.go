package proxy

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/cycle"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
)

type (
	// listRecorder is a controller that records the lists of other entries.
	listRecorder chan input.ListReceived
)

// Step handles one input.
func (r listRecorder) Step(_ *board.Board, in input.Input) {
	if received, isList := in.(input.ListReceived); isList {
		r <- received
	}
}

// Guards against entries that act on a new era at different times, because a list doesn't tell when its era began and
// what was removed before: what the receiver then does is a matter of the core.
func TestListTellsItsEraAndWhatWasRemoved(t *testing.T) {
	t.Parallel()
	source := newEvacuationProxy(t, "north", "south")
	source.board.ListAt = point.Point{Era: 2, Revision: 5}
	source.board.Now = 10_000
	source.board.EraSince = 9_300
	source.board.EraHoldUntil = 14_300
	source.board.Pool.SetPoint(source.board.ListAt)
	source.board.Pool.Replace([]pool.Listing{{Name: "north", Epoch: 1}}, point.Point{Era: 2, Revision: 8}, pool.Era{}, source.board.Now)
	server := httptest.NewServer(source.peerHandler())
	t.Cleanup(server.Close)
	received := make(chan input.ListReceived, 1)
	p := newTestProxy(t)
	p.cycle = cycle.New(board.Registration{Priority: 1, Controller: listRecorder(received)})
	ask := func(at point.Point) {
		p.fetchPublished(output.FetchPublished{Address: strings.TrimPrefix(server.URL, "http://"), ListAt: at})
	}
	ask(point.Point{Era: 1, Revision: 90})
	list := <-received
	require.Equal(t, point.Point{Era: 2, Revision: 5}, list.At)
	require.Equal(t, point.Point{Era: 2, Revision: 8}, list.LastAt)
	require.EqualValues(t, 700, list.EraAge)
	require.False(t, list.IsDelta)
	require.Equal(t, []pool.Departure{{Name: "south", Epoch: 1, At: point.Point{Era: 2, Revision: 8}}}, list.Departed)
	require.EqualValues(t, 4300, list.EraHold)
	require.Len(t, list.List, 1)
	ask(point.Point{Era: 3, Revision: 1})
	ask(point.Point{Era: 2, Revision: 5})
	require.Empty(t, received)
}
