package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/rawtcp"
	"mustardhook/internal/serve/answer"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/wire/admin"
)

// runAgainst runs a command against an entry that serves every request with the handler.
func runAgainst(t *testing.T, cmd *cobra.Command, handler http.HandlerFunc) error {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	cmd.SetArgs([]string{"--entry", strings.TrimPrefix(server.URL, "http://")})
	cmd.SetOut(io.Discard)
	cmd.SetErr(io.Discard)
	return cmd.ExecuteContext(t.Context())
}

// Guards against a response without end whose first part is printed as the whole.
func TestEndlessStatusIsRejected(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusOK, http.StatusForbidden} {
		err := runAgainst(t, newStatus(), func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, err := io.WriteString(w, "{}")
			for blank := strings.Repeat(" ", 1<<16); err == nil; {
				_, err = io.WriteString(w, blank)
			}
		})
		var exceeded *limit.ExceededError
		require.ErrorAs(t, err, &exceeded)
	}
}

// Guards against an entry that answers byte by byte and keeps the operator waiting without
// end.
func TestDribbledAnswerToOperatorEnds(t *testing.T) {
	t.Parallel()
	for name, cmd := range map[string]*cobra.Command{"Status": newStatus(), "Audit": newAudit()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			startedAt := time.Now()
			err := runAgainst(t, cmd, func(w http.ResponseWriter, r *http.Request) {
				for r.Context().Err() == nil && time.Since(startedAt) < 3*callTimeout {
					_, _ = io.WriteString(w, " ")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond)
				}
			})
			require.Error(t, err)
			require.Less(t, time.Since(startedAt), 2*callTimeout)
		})
	}
}

// Guards against a broken answer that is printed as that of an entry.
func TestBrokenHeadIsNoAnswerToOperator(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"HTTP/1.1 000 OK\r\nContent-Length: 2", "HTTP/1.1 200 OK\r\nContent-Length : 2"} {
		listener, err := rawtcp.Serve(rawtcp.Answer(head + "\r\n\r\n{}"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		_, err = (&operator{address: listener.Addr().String()}).call(t.Context(), http.MethodGet, admin.PathStatus)
		var headErr *answer.HeadError
		require.ErrorAs(t, err, &headErr, head)
	}
}
