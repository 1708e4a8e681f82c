package shell

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/peerpb"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/parts"
	"mustardhook/internal/wire/engine"
	"mustardhook/internal/wire/setup"
)

const testTimeout = 20 * time.Second

func newTestShell(t *testing.T) *Shell {
	settings := setup.Settings{Entry: "e1", Domain: "north"}
	settings.Limits.CallBytes = setup.DefaultCallBytes
	settings.Limits.AuditRecords = setup.DefaultAuditRecords
	settings.Limits.TrailEvents = setup.DefaultTrailEvents
	s := NewShell(parts.NewCore(), settings)
	s.Start(1)
	t.Cleanup(s.Stop)
	return s
}

// serveEndless starts a server that sends the prefix and then the pieces without end, and
// returns its address.
func serveEndless(t *testing.T, prefix string, piece func(number int) []byte) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, prefix)
		for number := 0; err == nil; number++ {
			_, err = w.Write(piece(number))
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a report or platform page without end whose first part is taken for the
// whole.
func TestEndlessControlResponseIsRejected(t *testing.T) {
	t.Parallel()
	blank := []byte(strings.Repeat(" ", 1<<16))
	address := serveEndless(t, "{}", func(int) []byte { return blank })
	_, err := newTestShell(t).get("http://"+address, testTimeout)
	var exceeded *limit.ExceededError
	require.ErrorAs(t, err, &exceeded)
}

// Guards against the head of a response without end.
func TestEndlessHeadIsRejected(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 200<<10))
	}))
	t.Cleanup(server.Close)
	s := newTestShell(t)
	for _, client := range []*http.Client{s.engines, s.services, s.control} {
		_, err := client.Get(server.URL)
		require.ErrorContains(t, err, "exceeded")
	}
}

// Guards against an engine that sends more tokens than the prompt asks for, without end:
// the attempt ends with the last token that was asked for.
func TestEndlessTokensAreRejected(t *testing.T) {
	t.Parallel()
	const maxTokens = 50
	address := serveEndless(t, "", func(number int) []byte {
		return engine.EncodeChunk(engine.Chunk{Attempt: "a1", Index: number, Text: "x"})
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	received := 0
	result := newTestShell(t).RunAttempt(ctx, AttemptRequest{
		Start:  action.StartAttempt{Attempt: "a1", Address: address},
		Prompt: engine.GenerateRequest{Attempt: "a1", MaxTokens: maxTokens},
		OnToken: func(engine.Chunk) error {
			received++
			if received > 2*maxTokens {
				return errors.New("too many tokens")
			}
			return nil
		},
	})
	require.Equal(t, maxTokens, received)
	require.NotEqual(t, event.VerdictComplete, result.Verdict)
}

// Guards against an envelope without end that is read into memory.
func TestEndlessEnvelopeIsRejected(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(newTestShell(t).PeerHandler())
	t.Cleanup(server.Close)
	reader, writer := io.Pipe()
	var sent atomic.Int64
	go func() {
		piece := []byte(strings.Repeat("x", 1<<16))
		for {
			count, err := writer.Write(piece)
			sent.Add(int64(count))
			if err != nil {
				return
			}
			if sent.Load() > 1<<30 {
				_ = writer.Close()
				return
			}
		}
	}()
	response, err := http.Post(server.URL+peerpb.PeerPathPrefix+"Deliver", "application/protobuf", reader)
	if err == nil {
		require.GreaterOrEqual(t, response.StatusCode, http.StatusBadRequest)
		require.NoError(t, response.Body.Close())
	}
	_ = reader.Close()
	require.Less(t, sent.Load(), int64(4*maxEnvelopeBytes))
}

// Guards against a batch of messages that the receiver rejects for its size: it is sent in
// several envelopes.
func TestLargeBatchIsSplit(t *testing.T) {
	t.Parallel()
	receiver := newTestShell(t)
	server := httptest.NewServer(receiver.PeerHandler())
	t.Cleanup(server.Close)
	sender := newTestShell(t)
	body := []byte(strings.Repeat("x", setup.DefaultCallBytes))
	var batch []msgs.Message
	for range 3 * maxEnvelopeBytes / len(body) {
		batch = append(batch, msgs.Forward{Content: msgs.Content{Body: body}})
	}
	box := &outbox{address: "receiver", client: peerpb.NewPeerProtobufClient(server.URL, sender.control)}
	sender.outboxes.deliver(box, batch)
	require.Equal(t, int64(len(batch)), receiver.metrics.MessagesIn.Count())
	require.Zero(t, sender.metrics.MessagesLost.Count())
}
