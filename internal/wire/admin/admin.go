// Package admin maps the operators' port: status and audit records as JSON.
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
	// PathStatus answers with the status.
	PathStatus = "/status"
	// PathAudit answers with audit records.
	PathAudit = "/audit"
	// PathMetrics answers with the metrics.
	PathMetrics = "/metrics"
	// PathTrail answers with the recorded events.
	PathTrail = "/trail"
	// PathDrain asks the entry to finish its requests and exit.
	PathDrain = "/drain"
	// HeaderOperatorKey carries the shared key of the operators' port.
	HeaderOperatorKey = "Mustardhook-Operator-Key"
)

type (
	// FormatError says that an answer of an entry can't be read.
	FormatError struct{ Err error }

	// Status is an entry's own account.
	Status struct {
		Entry          ident.Incarnation
		Domain         ident.Domain
		Synced         bool
		MayOrder       bool
		Stopping       bool
		HighestTicket  fleet.Number
		StateDigest    fleet.Digest
		Objects        int
		PendingTickets []fleet.Number
		Prompts        int
		Calls          int
		Cancels        int
		Platform       Platform
		Peers          []Peer
		Endpoints      []Endpoint
	}

	// Platform is the state of the reads of the platform.
	Platform struct {
		Revision uint64
		Failures int
		// LastReadAge is how long ago the last read succeeded; negative means never.
		LastReadAge clock.Millis
	}

	// Peer is one other entry.
	Peer struct {
		Entry       ident.Incarnation
		Domain      ident.Domain
		Address     string
		Live        bool
		Leaving     bool
		LastSeenAge clock.Millis
	}

	// Endpoint is one endpoint as the entry sees it.
	Endpoint struct {
		Name          ident.Endpoint
		Domain        ident.Domain
		Address       string
		Service       ident.Service
		Leaving       bool
		Down          bool
		MatchesOrder  bool
		Queued        int
		Free          int
		LastReportAge clock.Millis
	}

	statusWire struct {
		Entry     string         `json:"entry"`
		Domain    string         `json:"failureDomain"`
		Synced    bool           `json:"synced"`
		MayOrder  bool           `json:"mayOrder"`
		Stopping  bool           `json:"stopping"`
		Highest   uint64         `json:"highestTicket"`
		Sum       uint64         `json:"stateSum,string"`
		Objects   int            `json:"objects"`
		Pending   []uint64       `json:"refusedTickets"`
		Prompts   int            `json:"prompts"`
		Calls     int            `json:"calls"`
		Cancels   int            `json:"cancels"`
		Platform  platformWire   `json:"platform"`
		Peers     []peerWire     `json:"peers"`
		Endpoints []endpointWire `json:"endpoints"`
	}

	platformWire struct {
		Revision      uint64 `json:"revision"`
		Failures      int    `json:"failures"`
		ReadAgoMillis int64  `json:"readAgoMillis"`
	}

	peerWire struct {
		Entry          string `json:"entry"`
		Domain         string `json:"failureDomain"`
		Address        string `json:"address"`
		Live           bool   `json:"live"`
		Leaving        bool   `json:"leaving"`
		HeardAgoMillis int64  `json:"heardAgoMillis"`
	}

	endpointWire struct {
		Name          string `json:"name"`
		Domain        string `json:"failureDomain"`
		Address       string `json:"address"`
		Service       string `json:"service,omitempty"`
		Leaving       bool   `json:"leaving"`
		Down          bool   `json:"down"`
		Agrees        bool   `json:"agrees"`
		QueuedTokens  int    `json:"queuedTokens"`
		FreeTokens    int    `json:"freeTokens"`
		ReadAgoMillis int64  `json:"readAgoMillis"`
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

// Error names the cause.
func (e *FormatError) Error() string { return "entry answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// EncodeStatus maps a status.
func EncodeStatus(s Status) []byte {
	w := statusWire{
		Entry: s.Entry.String(), Domain: string(s.Domain), Synced: s.Synced, MayOrder: s.MayOrder, Stopping: s.Stopping,
		Highest: uint64(s.HighestTicket), Sum: uint64(s.StateDigest), Objects: s.Objects, Prompts: s.Prompts, Calls: s.Calls,
		Cancels: s.Cancels, Pending: []uint64{}, Peers: []peerWire{}, Endpoints: []endpointWire{},
		Platform: platformWire{s.Platform.Revision, s.Platform.Failures, int64(s.Platform.LastReadAge)},
	}
	for _, number := range s.PendingTickets {
		w.Pending = append(w.Pending, uint64(number))
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
	return encode(w)
}

// DecodeStatus maps a status back.
func DecodeStatus(text []byte) (Status, error) {
	var w statusWire
	if err := json.Unmarshal(text, &w); err != nil {
		return Status{}, &FormatError{err}
	}
	s := Status{
		Entry: ident.ParseIncarnation(w.Entry), Domain: ident.Domain(w.Domain), Synced: w.Synced, MayOrder: w.MayOrder,
		Stopping: w.Stopping, HighestTicket: fleet.Number(w.Highest), StateDigest: fleet.Digest(w.Sum), Objects: w.Objects,
		Prompts: w.Prompts, Calls: w.Calls, Cancels: w.Cancels,
		Platform: Platform{w.Platform.Revision, w.Platform.Failures, clock.Millis(w.Platform.ReadAgoMillis)},
	}
	for _, number := range w.Pending {
		s.PendingTickets = append(s.PendingTickets, fleet.Number(number))
	}
	for _, p := range w.Peers {
		s.Peers = append(s.Peers, Peer{
			ident.ParseIncarnation(p.Entry), ident.Domain(p.Domain), p.Address, p.Live, p.Leaving,
			clock.Millis(p.HeardAgoMillis),
		})
	}
	for _, e := range w.Endpoints {
		s.Endpoints = append(s.Endpoints, Endpoint{
			ident.Endpoint(e.Name), ident.Domain(e.Domain), e.Address, ident.Service(e.Service), e.Leaving, e.Down,
			e.Agrees, e.QueuedTokens, e.FreeTokens, clock.Millis(e.ReadAgoMillis),
		})
	}
	return s, nil
}

// EncodeRecord maps one audit record to a line.
func EncodeRecord(r audit.Record) []byte {
	w := recordWire{r.Sequence, int64(r.At), string(r.Kind), r.Object, uint64(r.Number), r.Text}
	return append(encode(w), '\n')
}

// DecodeRecord maps one line back to an audit record.
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

// Counter returns the count of a counter in the answer of PathMetrics.
func Counter(text []byte, name string) int {
	counters := map[string]counterWire{}
	if json.Unmarshal(text, &counters) != nil {
		return 0
	}
	return counters[name].Count
}

// encode maps wire structs, which hold nothing that can fail to encode.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
