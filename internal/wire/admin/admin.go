// Package admin encodes and decodes the status and the audit records that an entry
// serves as JSON on its operators' port.
package admin

import (
	"encoding/json"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/serve/audit"
)

const (
	// PathStatus serves the status of the entry.
	PathStatus = "/status"
	// PathAudit serves audit records, one JSON object per line.
	PathAudit = "/audit"
	// PathMetrics serves the metrics as one JSON object.
	PathMetrics = "/metrics"
	// PathTrail serves the recorded events, one JSON object per line.
	PathTrail = "/trail"
	// PathDrain makes the entry finish its requests and exit.
	PathDrain = "/drain"
	// HeaderOperatorKey is the header that carries the shared key of the operators' port.
	HeaderOperatorKey = "Mustardhook-Operator-Key"
)

type (
	// FormatError reports a response of an entry that could not be decoded.
	FormatError struct{ Err error }

	// Status is the state of an entry as the entry itself reports it.
	Status struct {
		Entry  ident.Incarnation
		Domain ident.Domain
		// Synced reports whether the entry's tickets are confirmed to be the newest: by a
		// synced peer, or by the platform if there are no peers.
		Synced bool
		// MayOrder reports whether the entry is allowed to send orders to engines.
		MayOrder bool
		Stopping bool
		// HighestTicket is the highest ticket number in force.
		HighestTicket fleet.Number
		// StateDigest is the digest of the state that results from all tickets.
		StateDigest fleet.Digest
		Objects     int
		// PendingTickets lists the tickets that refer to objects not declared yet. The entry
		// retries them when other tickets arrive.
		PendingTickets []fleet.Number
		// Prompts and Calls count the requests in flight.
		Prompts int
		Calls   int
		// Cancels counts the cancellations that endpoints have not confirmed yet.
		Cancels   int
		Platform  Platform
		Peers     []Peer
		Endpoints []Endpoint
	}

	// Platform is the state of the connection to the configuration service.
	Platform struct {
		// Era and Revision are the point in the platform's history up to which it was read.
		Era      uint64
		Revision uint64
		// Failures counts the reads that failed in a row.
		Failures int
		// LastReadAge is the time since the last successful read, or -1 if none succeeded.
		LastReadAge clock.Millis
	}

	// Peer is the state of another entry as this entry sees it.
	Peer struct {
		Entry   ident.Incarnation
		Domain  ident.Domain
		Address string
		Live    bool
		Leaving bool
		// LastSeenAge is the time since the last message, or -1 if none was received.
		LastSeenAge clock.Millis
	}

	// Endpoint is the state of an endpoint as this entry sees it.
	Endpoint struct {
		Name    ident.Endpoint
		Domain  ident.Domain
		Address string
		Service ident.Service
		Leaving bool
		Down    bool
		// MatchesOrder reports whether an engine runs what its order demands. It is true
		// for endpoints that are not engines.
		MatchesOrder bool
		// Queued and Free are the queued and the free tokens of an engine.
		Queued int
		Free   int
		// LastReportAge is the time since the last load report, or -1 if none was read.
		LastReportAge clock.Millis
	}

	statusWire struct {
		Entry          string         `json:"entry"`
		Domain         string         `json:"failureDomain"`
		Synced         bool           `json:"synced"`
		MayOrder       bool           `json:"mayOrder"`
		Stopping       bool           `json:"stopping"`
		HighestTicket  uint64         `json:"highestTicket"`
		StateDigest    uint64         `json:"stateSum,string"`
		Objects        int            `json:"objects"`
		PendingTickets []uint64       `json:"refusedTickets"`
		Prompts        int            `json:"prompts"`
		Calls          int            `json:"calls"`
		Cancels        int            `json:"cancels"`
		Platform       platformWire   `json:"platform"`
		Peers          []peerWire     `json:"peers"`
		Endpoints      []endpointWire `json:"endpoints"`
	}

	platformWire struct {
		Era               uint64 `json:"era"`
		Revision          uint64 `json:"revision"`
		Failures          int    `json:"failures"`
		LastReadAgeMillis int64  `json:"readAgoMillis"`
	}

	peerWire struct {
		Entry             string `json:"entry"`
		Domain            string `json:"failureDomain"`
		Address           string `json:"address"`
		Live              bool   `json:"live"`
		Leaving           bool   `json:"leaving"`
		LastSeenAgeMillis int64  `json:"heardAgoMillis"`
	}

	endpointWire struct {
		Name                string `json:"name"`
		Domain              string `json:"failureDomain"`
		Address             string `json:"address"`
		Service             string `json:"service,omitempty"`
		Leaving             bool   `json:"leaving"`
		Down                bool   `json:"down"`
		MatchesOrder        bool   `json:"agrees"`
		QueuedTokens        int    `json:"queuedTokens"`
		FreeTokens          int    `json:"freeTokens"`
		LastReportAgeMillis int64  `json:"readAgoMillis"`
	}

	counterWire struct {
		Count int `json:"count"`
	}

	recordWire struct {
		Sequence uint64 `json:"sequence"`
		AtMillis int64  `json:"atMillis"`
		Kind     string `json:"kind"`
		Object   string `json:"object"`
		Number   uint64 `json:"ticket"`
		Text     string `json:"text"`
	}
)

// Error returns the text of the decoding error.
func (e *FormatError) Error() string { return "entry answer: " + e.Err.Error() }

// Unwrap returns the decoding error.
func (e *FormatError) Unwrap() error { return e.Err }

// EncodeStatus encodes a status as JSON.
func EncodeStatus(s Status) []byte {
	w := statusWire{
		Entry: s.Entry.String(), Domain: string(s.Domain), Synced: s.Synced, MayOrder: s.MayOrder, Stopping: s.Stopping,
		HighestTicket: uint64(s.HighestTicket), StateDigest: uint64(s.StateDigest), Objects: s.Objects, Prompts: s.Prompts, Calls: s.Calls,
		Cancels: s.Cancels, PendingTickets: []uint64{}, Peers: []peerWire{}, Endpoints: []endpointWire{},
		Platform: platformWire{s.Platform.Era, s.Platform.Revision, s.Platform.Failures, int64(s.Platform.LastReadAge)},
	}
	for _, number := range s.PendingTickets {
		w.PendingTickets = append(w.PendingTickets, uint64(number))
	}
	for _, p := range s.Peers {
		w.Peers = append(w.Peers, peerWire{
			p.Entry.String(), string(p.Domain), p.Address, p.Live, p.Leaving, int64(p.LastSeenAge),
		})
	}
	for _, e := range s.Endpoints {
		w.Endpoints = append(w.Endpoints, endpointWire{
			string(e.Name), string(e.Domain), e.Address, string(e.Service), e.Leaving, e.Down, e.MatchesOrder,
			e.Queued, e.Free, int64(e.LastReportAge),
		})
	}
	return mustEncode(w)
}

// DecodeStatus decodes a status. The error is a *FormatError.
func DecodeStatus(text []byte) (Status, error) {
	var w statusWire
	if err := json.Unmarshal(text, &w); err != nil {
		return Status{}, &FormatError{err}
	}
	s := Status{
		Entry: ident.ParseIncarnation(w.Entry), Domain: ident.Domain(w.Domain), Synced: w.Synced, MayOrder: w.MayOrder,
		Stopping: w.Stopping, HighestTicket: fleet.Number(w.HighestTicket), StateDigest: fleet.Digest(w.StateDigest), Objects: w.Objects,
		Prompts: w.Prompts, Calls: w.Calls, Cancels: w.Cancels,
		Platform: Platform{w.Platform.Era, w.Platform.Revision, w.Platform.Failures, clock.Millis(w.Platform.LastReadAgeMillis)},
	}
	for _, number := range w.PendingTickets {
		s.PendingTickets = append(s.PendingTickets, fleet.Number(number))
	}
	for _, p := range w.Peers {
		s.Peers = append(s.Peers, Peer{
			ident.ParseIncarnation(p.Entry), ident.Domain(p.Domain), p.Address, p.Live, p.Leaving,
			clock.Millis(p.LastSeenAgeMillis),
		})
	}
	for _, e := range w.Endpoints {
		s.Endpoints = append(s.Endpoints, Endpoint{
			ident.Endpoint(e.Name), ident.Domain(e.Domain), e.Address, ident.Service(e.Service), e.Leaving, e.Down,
			e.MatchesOrder, e.QueuedTokens, e.FreeTokens, clock.Millis(e.LastReportAgeMillis),
		})
	}
	return s, nil
}

// EncodeRecord encodes an audit record as a line of JSON.
func EncodeRecord(r audit.Record) []byte {
	w := recordWire{r.Sequence, int64(r.At), string(r.Kind), r.Object, uint64(r.Number), r.Text}
	return append(mustEncode(w), '\n')
}

// DecodeRecord decodes a line of JSON into an audit record. The error is a *FormatError.
func DecodeRecord(line []byte) (audit.Record, error) {
	var w recordWire
	if err := json.Unmarshal(line, &w); err != nil {
		return audit.Record{}, &FormatError{err}
	}
	return audit.Record{
		Sequence: w.Sequence, At: clock.Millis(w.AtMillis), Kind: action.AuditKind(w.Kind), Object: w.Object,
		Number: fleet.Number(w.Number), Text: w.Text,
	}, nil
}

// Counter returns the value of the named counter in a response of PathMetrics, or zero
// if the response is invalid or lacks the counter.
func Counter(text []byte, name string) int {
	counters := map[string]counterWire{}
	if json.Unmarshal(text, &counters) != nil {
		return 0
	}
	return counters[name].Count
}

// mustEncode encodes a wire struct. These contain no values that fail to encode.
func mustEncode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
