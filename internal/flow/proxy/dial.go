package proxy

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds opening a connection; instances are milliseconds apart.
	dialTimeout = 250 * time.Millisecond
	// keepAliveSpan is the time between probes of a silent connection, and
	// keepAliveCount how many go unanswered before it is closed.
	keepAliveSpan  = 1 * time.Second
	keepAliveCount = 2
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second

	idleTimeout = 30 * time.Second
)

func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveSpan, Interval: keepAliveSpan, Count: keepAliveCount}
}

// setUserTimeout lets a connection end whose peer is gone without a word.
func setUserTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// NewClient returns a client for calls that may be repeated, whose connections
// end when the other side is gone.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer().DialContext, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxIdleConnsPerHost: 2,
	}}
}
