package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/codec"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/serve/logs"
)

const (
	// maxDatagramBytes is the maximum payload of a UDP datagram over IPv4.
	maxDatagramBytes = 65507
	// maxEraAge is the largest age of an era that another entry may tell, in milliseconds.
	maxEraAge = 1 << 40
	// maxEraHold bounds how much longer another entry may tell that it holds what it knew before an era.
	maxEraHold = 60_000
)

type (
	// newsSocket sends news to other entries and receives theirs, by UDP.
	newsSocket struct {
		conn   *net.UDPConn
		logger logs.Logger
	}
)

// openNewsSocket opens a UDP socket on the host of the address and on newsPort.
func openNewsSocket(address string, newsPort int, logger logs.Logger) (*newsSocket, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse address")
	}
	local, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(host, strconv.Itoa(newsPort)))
	if err != nil {
		return nil, errors.Wrap(err, "parse address")
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	return &newsSocket{conn, logger.Part("news")}, nil
}

// send sends a batch of news to the given addresses. It logs errors and does not retry.
func (n *newsSocket) send(message output.SendBatch, now clock.Millis) {
	payload, err := codec.Encode(message.Batch, now)
	if err != nil {
		n.logger.Warn("News can't be encoded.", "err", err)
		return
	}
	for _, address := range message.Addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			n.logger.Warn("Address of an entry is invalid.", "address", address, "err", err)
			continue
		}
		if _, err := n.conn.WriteToUDP(payload, to); err != nil {
			n.logger.Debug("News was not sent.", "address", address, "err", err)
		}
	}
}

// receive passes each datagram that can be decoded to step, until the socket is closed.
func (n *newsSocket) receive(step func(input.Input)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := n.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.logger.Debug("Datagram was not read.", "err", err)
			continue
		}
		batch, err := codec.Decode(buffer[:count], Now())
		if err != nil {
			n.logger.Warn("Datagram can't be decoded.", "from", from, "err", err)
			continue
		}
		step(input.NewsReceived{Batch: batch})
	}
}

// GetPublished returns the published state that this entry has, as far as it is newer
// than that of the requesting entry. It implements the RPC of the same name.
func (p *Proxy) GetPublished(_ context.Context, request *newspb.PublishedAsk) (*newspb.PublishedGive, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	b := p.board
	reply := &newspb.PublishedGive{
		PlanVersion: uint64(b.Plan.Version), ListEra: b.ListAt.Era, ListRevision: b.ListAt.Revision,
		EraAgeMillis: uint64(max(b.Now-b.EraSince, 0)), EraHoldMillis: uint64(max(b.EraHoldUntil-b.Now, 0)),
	}
	if reply.PlanVersion > request.GetPlanVersion() {
		reply.Document = b.PlanDocument
	}
	if after := listPoint(request); b.ListAt.IsAfter(after) {
		fillList(b, reply, after)
	}
	return reply, nil
}

// listPoint returns the point of a list of endpoints that a message between entries names.
func listPoint(message interface {
	GetListEra() uint64
	GetListRevision() uint64
}) point.Point {
	return point.Point{Era: message.GetListEra(), Revision: message.GetListRevision()}
}

// fillList adds the changes of the endpoint list after the point to the reply, or
// the whole list if those changes are no longer available, and all evacuated failure domains.
func fillList(b *board.Board, reply *newspb.PublishedGive, after point.Point) {
	list, departed, isDelta := b.Pool.Delta(after, b.Now)
	if !isDelta {
		list, departed = b.Pool.Snapshot(b.Now), b.Pool.Departures(b.Now)
		reply.LastRevision = b.Pool.LastAt().Revision
	}
	reply.Endpoints = codec.EncodeList(list)
	reply.Changes = isDelta
	reply.Evacuated = codec.EncodeEvacuated(b.Pool.Evacuated())
	reply.Departed = codec.EncodeDepartures(departed)
}

func (p *Proxy) peerHandler() http.Handler { return newspb.NewShareServer(p) }

// decodeList returns the endpoint list in another entry's reply as an input of the core.
func decodeList(reply *newspb.PublishedGive) input.ListReceived {
	return input.ListReceived{
		List: codec.DecodeList(reply.GetEndpoints()), At: listPoint(reply), IsDelta: reply.GetChanges(),
		EraAge:    clock.Millis(min(reply.GetEraAgeMillis(), maxEraAge)),
		EraHold:   clock.Millis(min(reply.GetEraHoldMillis(), maxEraHold)),
		Departed:  codec.DecodeDepartures(reply.GetDeparted()),
		LastAt:    point.Point{Era: reply.GetListEra(), Revision: reply.GetLastRevision()},
		Evacuated: codec.DecodeEvacuated(reply.GetEvacuated()),
	}
}

// fetchPublished fetches newer published state from another entry and passes it to the
// core.
func (p *Proxy) fetchPublished(action output.FetchPublished) {
	defer p.Step(input.FetchEnded{})
	logger := p.logger.Part("share")
	ctx, cancel := context.WithTimeout(p.lifetime, peers.FetchTimeout.Duration())
	defer cancel()
	request := &newspb.PublishedAsk{
		PlanVersion: uint64(action.PlanVersion), ListEra: action.ListAt.Era, ListRevision: action.ListAt.Revision,
	}
	reply, err := newspb.NewShareProtobufClient("http://"+action.Address, p.peers).GetPublished(ctx, request)
	if err != nil {
		logger.Warn("Published state could not be fetched from another entry.", "address", action.Address, "err", err)
		return
	}
	if listPoint(reply).IsAfter(action.ListAt) {
		p.Step(decodeList(reply))
	}
	if len(reply.GetDocument()) == 0 {
		return
	}
	fetched, err := p.source.DecodePlan(reply.GetDocument())
	if err != nil {
		logger.Warn("Configuration from another entry can't be decoded.", "address", action.Address, "err", err)
		return
	}
	p.Step(input.PlanRead{Plan: fetched, Document: reply.GetDocument(), Origin: action.Address})
}
