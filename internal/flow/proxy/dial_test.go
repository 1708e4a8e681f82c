package proxy

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
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
