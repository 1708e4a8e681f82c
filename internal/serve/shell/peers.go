package shell

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/peerpb"
	"mustardhook/internal/wire/peers"
)

const (
	// HeaderPeerKey is the header with the shared key of the peers' port.
	HeaderPeerKey = "Mustardhook-Peer-Key"

	maxQueuedMessages = 512
	// maxEnvelopeBytes is the maximum size of an envelope with several messages.
	maxEnvelopeBytes = 16 << 20
	// envelopeTimeout is how long a peer may take to send an envelope.
	envelopeTimeout = 5 * time.Second
)

type (
	// outboxes holds a queue of messages for each peer address. All messages that are
	// queued for an address at the time of a delivery share one envelope.
	outboxes struct {
		shell  *Shell
		client *http.Client
		scheme string
		mutex  sync.Mutex
		boxes  map[string]*outbox
		// removed has a value after an outbox was removed.
		removed chan struct{}
	}

	// outbox is the queue of messages for one peer. A goroutine drains it while active
	// is true.
	outbox struct {
		address string
		client  peerpb.Peer
		queue   []msgs.Message
		active  bool
	}
)

func newOutboxes(s *Shell) *outboxes {
	return &outboxes{shell: s, client: s.control, scheme: "http://", boxes: map[string]*outbox{}, removed: make(chan struct{}, 1)}
}

// WithPeerTLS sends messages to other entries over TLS with the given configuration.
func WithPeerTLS(config *tls.Config) Option {
	return func(s *Shell) {
		transport := newTransport(true)
		transport.TLSClientConfig = config
		s.outboxes.client = newControlClient(transport)
		s.outboxes.scheme = "https://"
	}
}

// enqueue adds a message to the queue of its address. If the queue is full, the
// message is dropped and counted as lost.
func (o *outboxes) enqueue(act action.SendMessage) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	box := o.boxes[act.Address]
	if box == nil {
		client := peerpb.NewPeerProtobufClient(o.scheme+act.Address, o.client)
		box = &outbox{address: act.Address, client: client}
		o.boxes[act.Address] = box
	}
	if len(box.queue) >= maxQueuedMessages {
		o.shell.metrics.MessagesLost.Inc(1)
		return
	}
	box.queue = append(box.queue, act.Message)
	if !box.active {
		box.active = true
		o.shell.goUntilStop(func() { o.drain(box) })
	}
}

// flush waits until all queued messages were delivered or lost, or the context ends.
func (o *outboxes) flush(ctx context.Context) {
	for {
		o.mutex.Lock()
		left := len(o.boxes)
		o.mutex.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-o.removed:
		case <-ctx.Done():
			return
		}
	}
}

// drain delivers queued messages until the outbox is empty, then removes the outbox.
func (o *outboxes) drain(box *outbox) {
	for {
		o.mutex.Lock()
		batch := box.queue
		box.queue = nil
		if len(batch) == 0 {
			box.active = false
			delete(o.boxes, box.address)
			o.mutex.Unlock()
			select {
			case o.removed <- struct{}{}:
			default:
			}
			return
		}
		o.mutex.Unlock()
		o.deliver(box, batch)
	}
}

// deliver sends the messages in one envelope, or in several if one would be too large.
func (o *outboxes) deliver(box *outbox, batch []msgs.Message) {
	var from msgs.Member
	o.shell.ReadBoard(func(b *board.Board) { from = b.SelfMember() })
	envelope := peers.EncodeEnvelope(from, batch)
	if count := len(batch); count > 1 && proto.Size(envelope) > maxEnvelopeBytes {
		o.deliver(box, batch[:count/2])
		o.deliver(box, batch[count/2:])
		return
	}
	ctx, cancel := context.WithTimeout(o.shell.lifetime, controlTimeout)
	defer cancel()
	ctx = o.withKey(ctx)
	_, err := box.client.Deliver(ctx, envelope)
	o.shell.metrics.MessagesOut.Inc(int64(len(batch)))
	o.shell.metrics.BytesOut.Inc(int64(proto.Size(envelope)))
	if err == nil || o.shell.lifetime.Err() != nil {
		return
	}
	o.shell.metrics.MessagesLost.Inc(int64(len(batch)))
	for _, message := range batch {
		o.shell.Step(event.MessageLost{To: box.address, Message: message})
	}
}

func (o *outboxes) withKey(ctx context.Context) context.Context {
	key := o.shell.settings.Peers.Key
	if key == "" {
		return ctx
	}
	header := http.Header{}
	header.Set(HeaderPeerKey, key)
	// WithHTTPRequestHeaders fails only for headers that twirp reserves.
	keyed, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return ctx
	}
	return keyed
}

// Deliver receives an envelope from another entry and passes each of its messages to
// the core.
func (s *Shell) Deliver(_ context.Context, envelope *peerpb.Envelope) (*peerpb.Receipt, error) {
	from, messages := peers.DecodeEnvelope(envelope)
	s.metrics.MessagesIn.Inc(int64(len(messages)))
	s.metrics.BytesIn.Inc(int64(proto.Size(envelope)))
	for _, message := range messages {
		s.Step(event.MessageCame{From: from, Message: message})
	}
	return &peerpb.Receipt{}, nil
}

// PeerHandler returns the HTTP handler of the peers' port. It rejects requests without
// the shared peer key, and bounds the size and the time of the others.
func (s *Shell) PeerHandler() http.Handler {
	server := peerpb.NewPeerServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := []byte(r.Header.Get(HeaderPeerKey))
		if subtle.ConstantTimeCompare(key, []byte(s.settings.Peers.Key)) != 1 {
			http.Error(w, "peer key is wrong", http.StatusForbidden)
			return
		}
		// If the writer supports no deadlines, only the timeouts of the server apply.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(envelopeTimeout))
		// An envelope with a single message may exceed maxEnvelopeBytes by its content.
		r.Body = http.MaxBytesReader(w, r.Body, maxEnvelopeBytes+s.settings.Limits.CallBytes)
		server.ServeHTTP(w, r)
	})
}
