package proxy

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"mustardhook/internal/fake/rawtcp"
	"mustardhook/internal/serve/answer"
)

// Guards against a dead endpoint that is not noticed before the deadline of a request with a
// long body: a user timeout replaces the limit on unanswered keep-alive probes.
func TestConnectionForLongBodyIsProbed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := newDialer(userTimeoutFor(smallBodyBytes+1)).DialContext(t.Context(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	options := map[int]int{
		unix.TCP_USER_TIMEOUT: 0, unix.TCP_KEEPIDLE: int(keepAliveInterval.Seconds()),
		unix.TCP_KEEPINTVL: int(keepAliveInterval.Seconds()), unix.TCP_KEEPCNT: keepAliveCount,
	}
	for option, expected := range options {
		var value int
		var optionErr error
		require.NoError(t, raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
		require.NoError(t, optionErr)
		require.Equal(t, expected, value, "option %d", option)
	}
}

// Guards against the part of an answer to a call without a length or chunks that counts as whole: it came before the
// request was written, and the connection was reset.
func TestResetDuringCallIsNoEnd(t *testing.T) {
	t.Parallel()
	const calls, callBytes = 50, 8 << 20
	listener, err := rawtcp.Serve(rawtcp.AnswerAndReset("HTTP/1.1 200 OK\r\n\r\n{}"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	for range calls {
		response, err := NewClient().Post("http://"+listener.Addr().String(), "text/plain", bytes.NewReader(make([]byte, callBytes)))
		if err != nil {
			continue
		}
		content, err := io.ReadAll(response.Body)
		require.Error(t, err, "%q counts as complete", content)
		require.NoError(t, response.Body.Close())
	}
}

// Guards against a client that takes a broken answer to an order, a peer or the store for an answer.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\n{}",
	} {
		listener, err := rawtcp.Serve(rawtcp.Answer(text))
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		_, err = NewClient().Get("http://" + listener.Addr().String())
		var headErr *answer.HeadError
		require.ErrorAs(t, err, &headErr, text)
	}
}
