package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const lingerAnswerBytes = 8 << 20

// startLongAnswer starts a server and a caller that has sent two requests and begins to read the long answer to
// the first one, which ends the connection.
func startLongAnswer(t *testing.T) (*testServer, net.Conn, *http.Response) {
	server := startServer(t, nil, nil, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(lingerAnswerBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", lingerAnswerBytes))
	})
	server.tracker.Announce()
	client, reader := server.dial()
	send(t, client, plainRequest+plainRequest)
	response, err := http.ReadResponse(bufio.NewReaderSize(reader, 64), nil)
	require.NoError(t, err)
	return server, client, response
}

// waitLingering waits until the server has written the whole answer and closed its side. The caller reads what
// does not fit the buffers of the kernel.
func waitLingering(t *testing.T, server *testServer, response *http.Response) (read int64) {
	for {
		server.tracker.mutex.Lock()
		isLingering := false
		for c := range server.tracker.open {
			isLingering = isLingering || c.isLingering
		}
		server.tracker.mutex.Unlock()
		if isLingering {
			return read
		}
		count, err := io.CopyN(io.Discard, response.Body, 16<<10)
		require.NoError(t, err)
		read += count
		time.Sleep(time.Millisecond)
	}
}

func (s *testServer) requireNoneOpen(within time.Duration) {
	isClosed := func() bool { return s.tracker.Open() == Counts{} }
	require.Eventually(s.t, isClosed, within, time.Millisecond)
}

// Guards against a shutdown that ends while a caller still takes its answer.
func TestShutdownWaitsForTheEndOfAnAnswer(t *testing.T) {
	t.Parallel()
	server, _, response := startLongAnswer(t)
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		ended <- server.tracker.Shutdown(ctx, server.listener)
	}()
	read := waitLingering(t, server, response)
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.EqualValues(t, lingerAnswerBytes, read+int64(len(rest)))
	require.NoError(t, <-ended)
}

// Guards against connections that stay open for callers who take nothing, or who are gone.
func TestLingeringIsBounded(t *testing.T) {
	t.Parallel()
	t.Run("takes nothing", func(t *testing.T) {
		t.Parallel()
		server, _, response := startLongAnswer(t)
		waitLingering(t, server, response)
		startedAt := time.Now()
		server.requireNoneOpen(lingerTimeout + timeout)
		require.Greater(t, time.Since(startedAt), lingerTimeout/2)
	})
	t.Run("is gone", func(t *testing.T) {
		t.Parallel()
		server, client, response := startLongAnswer(t)
		waitLingering(t, server, response)
		require.NoError(t, client.(*net.TCPConn).SetLinger(0))
		require.NoError(t, client.Close())
		server.requireNoneOpen(lingerTimeout / 2)
	})
	t.Run("server closes", func(t *testing.T) {
		t.Parallel()
		server, _, response := startLongAnswer(t)
		waitLingering(t, server, response)
		server.tracker.mutex.Lock()
		var lingering []*conn
		for c := range server.tracker.open {
			lingering = append(lingering, c)
		}
		server.tracker.mutex.Unlock()
		for _, c := range lingering {
			require.NoError(t, c.Close())
		}
		server.requireNoneOpen(lingerTimeout / 2)
	})
}

// Guards against a caller that is kept waiting for the end of a short answer.
func TestShortAnswerEndsAtOnce(t *testing.T) {
	t.Parallel()
	server := startServer(t, nil, nil, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "roof") })
	server.tracker.Announce()
	client, reader := server.dial()
	send(t, client, plainRequest)
	_, body := readAnswer(t, reader)
	require.Equal(t, "roof", body)
	requireClosed(t, reader)
	server.requireNoneOpen(timeout)
}
