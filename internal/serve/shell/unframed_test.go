package shell

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/rawtcp"
)

// Guards against an answer of a service without a length or chunks whose endpoint is killed, and that counts as
// whole: its port closes after its connections.
func TestUnframedAnswerOfService(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nMustardhook-Attempt: a1\r\n"
	for name, c := range map[string]struct {
		text       string
		exitsAfter time.Duration
		body       string
	}{
		"whole":              {head + "\r\nroof", 0, "roof"},
		"with a length":      {head + "Content-Length: 4\r\n\r\nroof", 10 * time.Millisecond, "roof"},
		"killed in the body": {head + "\r\nro", 20 * time.Millisecond, ""},
		"exits at its end":   {head + "\r\nro", time.Nanosecond, ""},
		"without a body":     {head + "\r\n", 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				if c.exitsAfter > 0 {
					time.AfterFunc(c.exitsAfter, func() { _ = listener.Close() })
				}
				_, _ = io.WriteString(conn, c.text)
				_ = conn.Close()
			}()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/book", nil)
			require.NoError(t, err)
			answer, err := newTestShell(t).readAnswer(request, "a1")
			if c.body == "" {
				var truncated *truncatedError
				require.ErrorAs(t, err, &truncated)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.body, string(answer.Body))
		})
	}
}

// Guards against the part of an answer of a service without a length or chunks that counts as whole: its endpoint
// answered before it had read the request, and reset the connection.
func TestResetDuringCallIsNoEnd(t *testing.T) {
	t.Parallel()
	const calls, callBytes = 50, 8 << 20
	listener, err := rawtcp.Serve(rawtcp.AnswerAndReset("HTTP/1.1 200 OK\r\nMustardhook-Attempt: a1\r\n\r\nro"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := newTestShell(t)
	body := make([]byte, callBytes)
	for range calls {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String()+"/book", bytes.NewReader(body))
		require.NoError(t, err)
		answer, err := s.readAnswer(request, "a1")
		require.Error(t, err, "%q counts as complete", answer.Body)
	}
}
