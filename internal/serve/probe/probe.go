// Package probe finds out whether the process at an address lives.
package probe

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// SettleTime is the time between two probes that show that a process lives. The kernel closes the sockets of a
// process that was killed one after the other, the listening one among the last.
const SettleTime = 100 * time.Millisecond

// Dial opens a connection, like the method of net.Dialer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// IsRefused opens a connection and closes it at once. It reports whether the connection was refused, which means that
// the process at the address has exited. Any other error means nothing.
func IsRefused(ctx context.Context, dial Dial, address string) (bool, error) {
	conn, err := dial(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	return false, conn.Close()
}

// HasExited reports whether the process at the address has exited, or exits at the moment. It takes SettleTime to
// find that it lives. A connection that opened while the listening socket was closed may stay open without a peer, so
// another one is opened after that time. If nothing can be found out, it reports false.
func HasExited(ctx context.Context, dial Dial, address string) bool {
	if isGone(ctx, dial, address) {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(SettleTime):
	}
	return isGone(ctx, dial, address)
}

// isGone reports whether the address refuses a connection, or resets it while it is opened.
func isGone(ctx context.Context, dial Dial, address string) bool {
	isRefused, err := IsRefused(ctx, dial, address)
	return isRefused || errors.Is(err, syscall.ECONNRESET)
}

// HasFraming reports whether an answer has a length or chunks, and doesn't end with its connection.
func HasFraming(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
