// Package admin serves the operators' port: status, audit trail, metrics, the recording of
// events, and requests to drain the entry.
package admin

import (
	"crypto/subtle"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/order"
	"mustardhook/internal/peer/roster"
	"mustardhook/internal/route/loads"
	"mustardhook/internal/serve/shell"
	wire "mustardhook/internal/wire/admin"
)

const (
	headerDroppedEvents = "Mustardhook-Trail-Dropped"
)

type (
	// Handler is the HTTP handler of the operators' port.
	Handler struct {
		shell  *shell.Shell
		router *httprouter.Router
	}
)

// NewHandler returns the handler of the operators' port for a shell.
func NewHandler(s *shell.Shell) *Handler {
	h := &Handler{shell: s, router: httprouter.New()}
	h.router.GET(wire.PathStatus, h.status)
	h.router.GET(wire.PathAudit, h.audit)
	h.router.GET(wire.PathMetrics, h.metrics)
	h.router.GET(wire.PathTrail, h.trail)
	h.router.POST(wire.PathDrain, h.drain)
	return h
}

// ServeHTTP handles one request. It rejects requests without the operator key.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := h.shell.Settings().Operators.Key
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(wire.HeaderOperatorKey)), []byte(key)) != 1 {
		http.Error(w, "operator key is wrong", http.StatusForbidden)
		return
	}
	h.router.ServeHTTP(w, r)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var status wire.Status
	h.shell.ReadBoard(func(b *board.Board) { status = NewStatus(b, h.shell.Now()) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(wire.EncodeStatus(status))
}

// audit writes the audit records after the given sequence number. With the follow
// parameter it streams new records until the client disconnects or the entry exits.
func (h *Handler) audit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	control := http.NewResponseController(w)
	for {
		records, changed := h.shell.Audit().Since(since, query.Get("object"))
		for _, record := range records {
			since = record.Sequence
			if _, err := w.Write(wire.EncodeRecord(record)); err != nil {
				return
			}
		}
		if query.Get("follow") == "" {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-h.shell.Exited():
			return
		}
	}
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	h.shell.Stats().Write(w)
}

func (h *Handler) trail(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set(headerDroppedEvents, strconv.Itoa(h.shell.Trail().Dropped()))
	if err := h.shell.Trail().Write(w); err != nil {
		h.shell.Logger().Part("admin").Warn("Writing the trail failed.", "err", err)
	}
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h.shell.Step(event.StopAsked{})
	w.WriteHeader(http.StatusAccepted)
}

// NewStatus returns the status of the entry, read from the board of its core.
func NewStatus(b *board.Board, now clock.Millis) wire.Status {
	status := wire.Status{
		Entry: b.Self, Domain: b.Domain, Synced: b.Synced, MayOrder: order.MayOrder(b), Stopping: b.Stopping,
		HighestTicket: b.State.Highest(), StateDigest: b.State.Sum(), Objects: b.State.Len(),
		Prompts: len(b.Completions), Calls: len(b.Calls), Cancels: len(b.Cancellations),
		Platform: wire.Platform{
			Era: b.Platform.Era, Revision: b.Platform.Revision, Failures: b.Platform.Failures, LastReadAge: -1,
		},
	}
	if b.Platform.LastRead > 0 {
		status.Platform.LastReadAge = now - b.Platform.LastRead
	}
	for _, pending := range b.PendingTickets {
		status.PendingTickets = append(status.PendingTickets, pending.Number)
	}
	for _, name := range board.Sorted(b.Peers) {
		status.Peers = append(status.Peers, peerStatus(b, b.Peers[name], now))
	}
	for _, object := range b.State.Objects() {
		if endpoint, ok := object.(fleet.Endpoint); ok {
			status.Endpoints = append(status.Endpoints, endpointStatus(b, endpoint, now))
		}
	}
	return status
}

func peerStatus(b *board.Board, peer *board.Peer, now clock.Millis) wire.Peer {
	row := wire.Peer{
		Entry: peer.Member.Incarnation, Domain: peer.Member.Domain, Address: peer.Member.Address,
		Live: roster.IsLive(b, peer), Leaving: peer.Member.Leaving, LastSeenAge: -1,
	}
	if peer.LastSeenAt > 0 {
		row.LastSeenAge = now - peer.LastSeenAt
	}
	return row
}

func endpointStatus(b *board.Board, endpoint fleet.Endpoint, now clock.Millis) wire.Endpoint {
	row := wire.Endpoint{
		Name: endpoint.Name, Domain: endpoint.Domain, Address: endpoint.Address, Service: endpoint.Service,
		Leaving: b.IsLeaving(endpoint.Name), MatchesOrder: true, LastReportAge: -1,
	}
	status := b.Endpoints[endpoint.Name]
	if status == nil || !endpoint.IsEngine() {
		return row
	}
	row.Down = loads.IsDown(status)
	row.MatchesOrder = order.Matches(status.Report, order.Desired(b, endpoint))
	row.Queued = status.Report.QueuedTokens
	row.Free = status.Report.FreeTokens
	if status.ReadAt > 0 {
		row.LastReportAge = now - status.ReadAt
	}
	return row
}
