package conns

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is dropped because only its first byte had been read when
// the answer before it ended.
func TestRequestReadDuringAnswerIsAnswered(t *testing.T) {
	flushed, proceed := make(chan struct{}), make(chan struct{})
	reads := newGate()
	server := startServer(t, reads, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			answerDone(w, r)
			return
		}
		_, _ = io.WriteString(w, "done")
		_ = http.NewResponseController(w).Flush()
		close(flushed)
		<-proceed
	})
	client, reader := server.dial()
	send(t, client, plainRequest)
	<-reads.reached
	close(reads.opened)
	<-flushed
	send(t, client, "GET /second HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	<-reads.reached
	server.tracker.Retire()
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	_, body := readAnswer(t, reader)
	require.Equal(t, "done", body)
	_, err := http.ReadResponse(reader, nil)
	require.NoError(t, err, "the first byte of the second request was read")
	require.True(t, server.wait(timeout))
}
