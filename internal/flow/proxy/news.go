package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/share"
	"mustardhook/internal/serve/logs"
)

const (
	// datagramBytes is the largest datagram that UDP carries.
	datagramBytes = 65507
	fetchTimeout  = 1 * time.Second
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

func (n *newsSocket) tell(wanted output.Tell, now clock.Millis) {
	text, err := share.Encode(wanted.News, now)
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
		news, err := share.Decode(buffer[:count], Now())
		if err != nil {
			n.logger.Warn("Datagram can't be decoded.", "from", from, "err", err)
			continue
		}
		step(input.NewsCame{News: news})
	}
}

// GetPlan hands out the newest configuration that this entry knows.
func (p *Proxy) GetPlan(context.Context, *newspb.PlanAsk) (*newspb.PlanGive, error) {
	version, document := p.planDocument()
	return &newspb.PlanGive{Version: uint64(version), Document: document}, nil
}

func (p *Proxy) peerHandler() http.Handler { return newspb.NewShareServer(p) }

// fetchPlan takes the configuration that another entry knows.
func (p *Proxy) fetchPlan(address string) {
	ctx, cancel := context.WithTimeout(p.lifetime, fetchTimeout)
	defer cancel()
	given, err := newspb.NewShareProtobufClient("http://"+address, p.peers).GetPlan(ctx, &newspb.PlanAsk{})
	if err != nil {
		p.logger.Part("share").Warn("Entry gave no configuration.", "address", address, "err", err)
		return
	}
	read, err := p.source.DecodePlan(given.GetDocument())
	if err != nil {
		p.logger.Part("share").Warn("Configuration of an entry can't be read.", "address", address, "err", err)
		return
	}
	p.Step(input.PlanRead{Plan: read, Document: given.GetDocument()})
}
