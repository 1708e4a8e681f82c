package proxy

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mustardhook/internal/serve/answer"
	"mustardhook/internal/serve/limit"
)

const (
	// dialTimeout is the timeout for opening a connection. Round trips between
	// instances take milliseconds.
	dialTimeout = 250 * time.Millisecond
	// keepAliveInterval is the time between keep-alive probes on an idle connection.
	// The connection is closed after keepAliveCount unanswered probes.
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// smallBodyBytes is the size of the largest request body that every endpoint
	// receives at once. The kernel also counts the time in which a peer with a full receive
	// buffer reads nothing, so tcpUserTimeout does not apply to requests with larger bodies.
	// A dead endpoint of these is noticed by the keep-alive probes, which a user timeout of
	// any length would suspend.
	smallBodyBytes = 4 << 10

	// idleConnTimeout is how long an unused connection stays open.
	idleConnTimeout = 30 * time.Second

	// maxResponseBytes is the maximum size of the body of a response to a call, and
	// maxResponseHeadBytes that of its head.
	maxResponseBytes     = 16 << 20
	maxResponseHeadBytes = 64 << 10
)

// newDialer returns a dialer whose connections fail if sent bytes stay unacknowledged for the
// given time; zero for no limit.
func newDialer(userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAliveConfig(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setTCPUserTimeout(raw, userTimeout) },
	}
}

// userTimeoutFor returns how long the bytes of a request with a body of the given size may stay
// unacknowledged; zero for no limit.
func userTimeoutFor(bodyBytes int) time.Duration {
	if bodyBytes > smallBodyBytes {
		return 0
	}
	return tcpUserTimeout
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}
}

// setTCPUserTimeout makes a connection fail if its peer stops acknowledging data, for
// example because it lost power.
func setTCPUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// NewClient returns an HTTP client for calls that are safe to repeat. Its connections fail
// soon after the peer has disappeared, and reading a response fails over maxResponseBytes.
func NewClient() *http.Client {
	transport := &http.Transport{
		DialContext: answer.NewDial(newDialer(tcpUserTimeout).DialContext), IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
	return &http.Client{Transport: limit.NewTransport(answer.NewTransport(transport), maxResponseBytes)}
}
