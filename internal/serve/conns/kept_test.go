package conns

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/limit"
)

const (
	keptRequests = 200
	keptMemory   = 64 << 20
)

var keptRequest = "GET / HTTP/1.1\r\nHost: desk.example\r\nA: " + strings.Repeat("x", 500) + "\r\n\r\n"

// Guards against requests that are refused as too large since those before them, which were
// pipelined, still count as buffered.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	server := startServer(t, nil, nil, answerDone, withBudget(limit.NewBudget(keptMemory), Limits{HeadBytes: 16 << 10}))
	client, reader := server.dial()
	go func() { _, _ = io.WriteString(client, strings.Repeat(keptRequest, keptRequests)) }()
	for number := range keptRequests {
		response, _ := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode, "answer %d", number)
	}
}

// Guards against requests that are refused as too large since their first bytes were read during
// the answers before them.
func TestRequestsBegunDuringAnswersAreAnswered(t *testing.T) {
	server := startServer(t, nil, nil, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "done")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * time.Millisecond)
	}, withBudget(limit.NewBudget(keptMemory), Limits{HeadBytes: 16 << 10}))
	client, reader := server.dial()
	for number := range keptRequests {
		send(t, client, keptRequest)
		response, _ := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode, "answer %d", number)
	}
}
