package shell

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/event"
	"mustardhook/internal/fake/rawtcp"
	"mustardhook/internal/serve/answer"
	"mustardhook/internal/wire/engine"
)

// brokenHeads are answers that net/http accepts. They echo the name of the attempt a1.
var brokenHeads = []string{
	"HTTP/1.1 000 OK\r\nMustardhook-Attempt: a1\r\nContent-Length: 4\r\n\r\nroof",
	"HTTP/1.1 999 OK\r\nMustardhook-Attempt: a1\r\nContent-Length: 4\r\n\r\nroof",
	"HTTP/1.1 200 OK\r\nMustardhook-Attempt: a1\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nroof\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nMustardhook-Attempt: a1\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\n4\r\nroof\r\n0\r\n\r\n",
}

// serveText starts a server that answers with the text, and returns its address.
func serveText(t *testing.T, text string) string {
	listener, err := rawtcp.Serve(rawtcp.Answer(text))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Guards against a broken answer of a service that reaches the caller and is kept for its idempotency key, and against
// one that any other client of the entry takes for an answer.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	s := newTestShell(t)
	for _, text := range brokenHeads {
		address := serveText(t, text)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/book", nil)
		require.NoError(t, err)
		received, err := s.readAnswer(request, "a1")
		var headErr *answer.HeadError
		require.ErrorAs(t, err, &headErr, "status %d, body %q", received.Status, received.Body)
		for _, client := range []*http.Client{s.engines, s.services, s.control, s.outboxes.client} {
			_, err := client.Get("http://" + address)
			require.ErrorAs(t, err, &headErr, text)
		}
	}
}

// Guards against a broken answer of an engine that is taken for a refusal of the prompt.
func TestBrokenHeadIsNoRefusal(t *testing.T) {
	t.Parallel()
	for _, text := range brokenHeads {
		result := newTestShell(t).RunAttempt(t.Context(), AttemptRequest{
			Start:   action.StartAttempt{Attempt: "a1", Address: serveText(t, text)},
			Prompt:  engine.GenerateRequest{Attempt: "a1", MaxTokens: 1},
			OnToken: func(engine.Chunk) error { return nil },
		})
		require.Equal(t, event.VerdictBroken, result.Verdict, text)
	}
}
