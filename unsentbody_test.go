package mustardhook_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/stack"
)

// Guards against a refusal that waits without a limit for the body of its request.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	s := startCluster(t, stack.Spec{Entries: 1, Engines: 1})
	for _, path := range []string{"/v1/completions", "/v1/keys"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := dialEntry(t, s.Entries[0])
			_, _ = io.WriteString(c.conn, "POST "+path+" HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 9\r\n\r\n")
			require.NoError(t, c.conn.SetReadDeadline(time.Now().Add(35*time.Second)))
			_, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
		})
	}
}
