package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/parts"
	"mustardhook/internal/serve/shell"
	"mustardhook/internal/wire/setup"
)

// Guards against an entry that has just started and tells callers that their organisation is
// unknown, before it has read any ticket.
func TestEntryWithoutTicketsIsUnavailable(t *testing.T) {
	settings := setup.Settings{}
	settings.Limits.BodyBytes = 1 << 10
	settings.Limits.CallBytes = 1 << 10
	handler := NewHandler(shell.NewShell(parts.NewCore(), settings))
	for _, path := range []string{"/v1/completions", "/services/crew-app/book"} {
		request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
		request.Header.Set("Mustardhook-Organisation", "city-north")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		require.Equal(t, http.StatusServiceUnavailable, recorder.Code, recorder.Body.String())
		require.Equal(t, "1", recorder.Header().Get("Retry-After"))
	}
}
