package answer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/answer"
)

// openPair returns both ends of a connection, the first one of NewDial.
func openPair(t *testing.T) (net.Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client, err := answer.NewDial((&net.Dialer{}).DialContext)(t.Context(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server.(*net.TCPConn)
}

// writeUntilError writes to the connection until that fails, and returns the error.
func writeUntilError(conn net.Conn) error {
	for piece := make([]byte, 64<<10); ; {
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
}

func reset(t *testing.T, conn *net.TCPConn) {
	require.NoError(t, conn.SetLinger(0))
	require.NoError(t, conn.Close())
}

// Guards against the part of an answer before a reset that is taken for the whole, since the write of the
// request got the error of the connection.
func TestResetIsNoEnd(t *testing.T) {
	t.Parallel()
	client, server := openPair(t)
	_, err := io.WriteString(server, "ro")
	require.NoError(t, err)
	reset(t, server)
	require.ErrorIs(t, writeUntilError(client), syscall.ECONNRESET)
	content, err := io.ReadAll(client)
	require.Equal(t, "ro", string(content))
	var resetErr *answer.ResetError
	require.ErrorAs(t, err, &resetErr)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a reset that is taken for an end if it comes while a write is blocked.
func TestResetDuringWriteIsNoEnd(t *testing.T) {
	t.Parallel()
	for range 50 {
		client, server := openPair(t)
		written := make(chan error, 1)
		go func() { written <- writeUntilError(client) }()
		_, err := io.WriteString(server, "ro")
		require.NoError(t, err)
		reset(t, server)
		content, err := io.ReadAll(client)
		require.ErrorIs(t, err, syscall.ECONNRESET, "read %q", content)
		_ = client.Close()
		require.Error(t, <-written)
	}
}

// Guards against a whole answer that is taken for a broken one: its sender has ended it in order, and reads
// nothing more, or resets the connection afterwards.
func TestEndBeforeWriteFailsIsAnEnd(t *testing.T) {
	t.Parallel()
	for name, isReset := range map[string]bool{"open": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := openPair(t)
			_, err := io.WriteString(server, "roof")
			require.NoError(t, err)
			require.NoError(t, server.CloseWrite())
			written := make(chan error, 1)
			go func() { written <- writeUntilError(client) }()
			if isReset {
				reset(t, server)
				require.ErrorIs(t, <-written, syscall.EPIPE)
			}
			content, err := io.ReadAll(client)
			require.NoError(t, err)
			require.Equal(t, "roof", string(content))
			if !isReset {
				require.Error(t, <-written)
			}
		})
	}
}

// timedOut is a connection whose timeout a write has got.
type timedOut struct{ net.Conn }

func (timedOut) Write([]byte) (int, error)        { return 0, syscall.ETIMEDOUT }
func (timedOut) Read([]byte) (int, error)         { return 0, io.EOF }
func (timedOut) SetWriteDeadline(time.Time) error { return nil }

// Guards against the part of an answer before a timeout that is taken for the whole.
func TestTimeoutIsNoEnd(t *testing.T) {
	t.Parallel()
	client, err := answer.NewDial(func(context.Context, string, string) (net.Conn, error) {
		return timedOut{}, nil
	})(t.Context(), "tcp4", "")
	require.NoError(t, err)
	require.ErrorIs(t, writeUntilError(client), syscall.ETIMEDOUT)
	_, err = io.ReadAll(client)
	require.ErrorIs(t, err, syscall.ETIMEDOUT)
}

// Guards against a dial that fails and returns a connection.
func TestFailedDialReturnsNoConnection(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	conn, err := answer.NewDial((&net.Dialer{}).DialContext)(t.Context(), "tcp4", listener.Addr().String())
	require.True(t, errors.Is(err, syscall.ECONNREFUSED))
	require.Nil(t, conn)
}
