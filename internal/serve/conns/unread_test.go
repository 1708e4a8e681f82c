package conns

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that is cut off because its connection is closed while bytes of
// its caller are unread.
func TestAnswerIsWholeThoughNextRequestIsNotRead(t *testing.T) {
	const size = 8 << 20
	proceed := make(chan struct{})
	server := startServer(t, nil, nil, func(w http.ResponseWriter, _ *http.Request) {
		<-proceed
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write([]byte(strings.Repeat("x", size)))
	})
	client, _ := server.dial()
	send(t, client, plainRequest)
	time.Sleep(20 * time.Millisecond)
	send(t, client, plainRequest)
	server.tracker.Announce()
	close(proceed)
	reader := bufio.NewReader(slowReader{client})
	response, body := readAnswer(t, reader)
	require.True(t, response.Close)
	require.Len(t, body, size)
}

type slowReader struct {
	inner interface{ Read([]byte) (int, error) }
}

func (r slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.inner.Read(buffer[:min(len(buffer), 16<<10)])
}

// Guards against more open connections than the process has descriptors for.
func TestConnectionOverLimitWaits(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := New().Listen(inner, 1)
	for range 2 {
		client, err := net.Dial("tcp4", inner.Addr().String())
		require.NoError(t, err)
		defer func() { _ = client.Close() }()
	}
	first, err := listener.Accept()
	require.NoError(t, err)
	accepted := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		accepted <- err
	}()
	select {
	case err := <-accepted:
		t.Fatalf("accepted a connection over the limit, or failed: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	require.NoError(t, first.Close())
	require.NoError(t, <-accepted)
	_, err = func() (net.Conn, error) {
		time.AfterFunc(20*time.Millisecond, func() { _ = listener.Close() })
		return listener.Accept()
	}()
	require.ErrorIs(t, err, net.ErrClosed)
}
