package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/share"
	"mustardhook/internal/serve/logs"
)

const (
	// datagramBytes is the largest datagram that UDP carries.
	datagramBytes = 65507
)

type (
	// newsSocket sends and takes datagrams between entries.
	newsSocket struct {
		conn   *net.UDPConn
		logger logs.Logger
	}
)

func openNews(address string, newsPort int, logger logs.Logger) (*newsSocket, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "read address")
	}
	local, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(host, strconv.Itoa(newsPort)))
	if err != nil {
		return nil, errors.Wrap(err, "read address")
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	return &newsSocket{conn, logger.Part("news")}, nil
}

func (n *newsSocket) tell(wanted output.SendBatch, now clock.Millis) {
	text, err := share.Encode(wanted.Batch, now)
	if err != nil {
		n.logger.Warn("News can't be encoded.", "err", err)
		return
	}
	for _, address := range wanted.Addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			n.logger.Warn("Address of an entry can't be read.", "address", address, "err", err)
			continue
		}
		if _, err := n.conn.WriteToUDP(text, to); err != nil {
			n.logger.Debug("News was not sent.", "address", address, "err", err)
		}
	}
}

// listen takes datagrams until the socket is closed.
func (n *newsSocket) listen(step func(input.Input)) {
	buffer := make([]byte, datagramBytes)
	for {
		count, from, err := n.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.logger.Debug("Datagram was not read.", "err", err)
			continue
		}
		batch, err := share.Decode(buffer[:count], Now())
		if err != nil {
			n.logger.Warn("Datagram can't be decoded.", "from", from, "err", err)
			continue
		}
		step(input.NewsReceived{Batch: batch})
	}
}

// GetPublished hands out the published state that this entry knows.
func (p *Proxy) GetPublished(_ context.Context, ask *newspb.PublishedAsk) (*newspb.PublishedGive, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	b := p.board
	given := &newspb.PublishedGive{PlanVersion: uint64(b.Plan.Version), ListRevision: b.ListRevision}
	if given.PlanVersion > ask.GetPlanVersion() {
		given.Document = b.PlanDocument
	}
	if given.ListRevision > ask.GetListRevision() {
		giveList(b, given, ask.GetListRevision())
	}
	return given, nil
}

// giveList gives the changes after the revision, or the whole list where they are not
// known any more.
func giveList(b *board.Board, given *newspb.PublishedGive, after uint64) {
	list, gone, isKnown := b.Pool.Delta(after, b.Now)
	if !isKnown {
		list = b.Pool.Snapshot(b.Now)
	}
	given.Endpoints = share.EncodeList(list)
	given.Changes = isKnown
	for _, name := range gone {
		given.Gone = append(given.Gone, string(name))
	}
}

func (p *Proxy) peerHandler() http.Handler { return newspb.NewShareServer(p) }

func toldList(given *newspb.PublishedGive) input.ListReceived {
	told := input.ListReceived{
		List: share.DecodeList(given.GetEndpoints()), Revision: given.GetListRevision(), IsDelta: given.GetChanges(),
	}
	for _, name := range given.GetGone() {
		told.Removed = append(told.Removed, ident.Endpoint(name))
	}
	return told
}

// fetchPublished takes the published state that another entry knows.
func (p *Proxy) fetchPublished(wanted output.FetchPublished) {
	defer p.Step(input.FetchEnded{})
	logger := p.logger.Part("share")
	ctx, cancel := context.WithTimeout(p.lifetime, peers.FetchTimeout.Duration())
	defer cancel()
	ask := &newspb.PublishedAsk{PlanVersion: uint64(wanted.PlanVersion), ListRevision: wanted.ListRevision}
	given, err := newspb.NewShareProtobufClient("http://"+wanted.Address, p.peers).GetPublished(ctx, ask)
	if err != nil {
		logger.Warn("Entry gave no published state.", "address", wanted.Address, "err", err)
		return
	}
	if len(given.GetEndpoints()) > 0 || given.GetChanges() {
		p.Step(toldList(given))
	}
	if len(given.GetDocument()) == 0 {
		return
	}
	read, err := p.source.DecodePlan(given.GetDocument())
	if err != nil {
		logger.Warn("Configuration of an entry can't be read.", "address", wanted.Address, "err", err)
		return
	}
	p.Step(input.PlanRead{Plan: read, Document: given.GetDocument()})
}
