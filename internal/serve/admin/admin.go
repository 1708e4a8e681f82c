// Package admin serves the operators' port: status, audit trail, metrics,
// recorded events and the entry's own stop.
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
	headerDropped = "Mustardhook-Trail-Dropped"
)

type (
	// Admin handles the requests of operators.
	Admin struct {
		shell  *shell.Shell
		router *httprouter.Router
	}
)

// NewAdmin returns the handler of the operators' port.
func NewAdmin(s *shell.Shell) *Admin {
	a := &Admin{shell: s, router: httprouter.New()}
	a.router.GET(wire.PathStatus, a.status)
	a.router.GET(wire.PathAudit, a.audit)
	a.router.GET(wire.PathMetrics, a.metrics)
	a.router.GET(wire.PathTrail, a.trail)
	a.router.POST(wire.PathDrain, a.drain)
	return a
}

// ServeHTTP handles one request.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wanted := a.shell.Settings().Operators.Key
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(wire.HeaderOperatorKey)), []byte(wanted)) != 1 {
		http.Error(w, "operator key is wrong", http.StatusForbidden)
		return
	}
	a.router.ServeHTTP(w, r)
}

func (a *Admin) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var status wire.Status
	a.shell.Look(func(b *board.Board) { status = StatusOf(b, a.shell.Now()) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(wire.EncodeStatus(status))
}

// audit answers with records; with follow it goes on until the client leaves.
func (a *Admin) audit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	control := http.NewResponseController(w)
	for {
		records, changed := a.shell.Audit().Since(since, query.Get("object"))
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
		case <-a.shell.Exited():
			return
		}
	}
}

func (a *Admin) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	a.shell.Stats().Write(w)
}

func (a *Admin) trail(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set(headerDropped, strconv.Itoa(a.shell.Trail().Dropped()))
	if err := a.shell.Trail().Write(w); err != nil {
		a.shell.Logger().Part("admin").Warn("Trail was cut short.", "err", err)
	}
}

func (a *Admin) drain(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	a.shell.Step(event.StopAsked{})
	w.WriteHeader(http.StatusAccepted)
}

// StatusOf reads the status off the core's memory.
func StatusOf(b *board.Board, now clock.Millis) wire.Status {
	status := wire.Status{
		Entry: b.Self, Domain: b.Domain, Synced: b.Synced, MayOrder: order.MayOrder(b), Stopping: b.Stopping,
		HighestTicket: b.State.Highest(), StateDigest: b.State.Sum(), Objects: b.State.Len(),
		Prompts: len(b.Completions), Calls: len(b.Calls), Cancels: len(b.Cancellations),
		Platform: wire.Platform{Revision: b.Platform.Revision, Failures: b.Platform.Failures, LastReadAge: -1},
	}
	if b.Platform.LastRead > 0 {
		status.Platform.LastReadAge = now - b.Platform.LastRead
	}
	for _, pending := range b.PendingTickets {
		status.PendingTickets = append(status.PendingTickets, pending.Number)
	}
	for _, name := range board.Sorted(b.Peers) {
		status.Peers = append(status.Peers, peerOf(b, b.Peers[name], now))
	}
	for _, object := range b.State.Objects() {
		if endpoint, is := object.(fleet.Endpoint); is {
			status.Endpoints = append(status.Endpoints, endpointOf(b, endpoint, now))
		}
	}
	return status
}

func peerOf(b *board.Board, peer *board.Peer, now clock.Millis) wire.Peer {
	row := wire.Peer{
		Entry: peer.Member.Incarnation, Domain: peer.Member.Domain, Address: peer.Member.Address,
		Live: roster.IsLive(b, peer), Leaving: peer.Member.Leaving, LastSeenAge: -1,
	}
	if peer.LastSeenAt > 0 {
		row.LastSeenAge = now - peer.LastSeenAt
	}
	return row
}

func endpointOf(b *board.Board, endpoint fleet.Endpoint, now clock.Millis) wire.Endpoint {
	row := wire.Endpoint{
		Name: endpoint.Name, Domain: endpoint.Domain, Address: endpoint.Address, Service: endpoint.Service,
		Leaving: b.IsLeaving(endpoint.Name), MatchesOrder: true, LastReportAge: -1,
	}
	load := b.Endpoints[endpoint.Name]
	if load == nil || !endpoint.IsEngine() {
		return row
	}
	row.Down = loads.IsDown(load)
	row.MatchesOrder = order.Matches(load.Report, order.Desired(b, endpoint))
	row.Queued = load.Report.QueuedTokens
	row.Free = load.Report.FreeTokens
	if load.ReadAt > 0 {
		row.LastReportAge = now - load.ReadAt
	}
	return row
}
