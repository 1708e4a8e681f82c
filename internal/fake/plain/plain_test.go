package plain_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/plain"
	"mustardhook/internal/wire/faults"
)

const endlessBytes = 64 << 20

// Guards against a request without end that the service reads into memory.
func TestEndlessRequestsAreRejected(t *testing.T) {
	t.Parallel()
	server := plain.New(plain.NewLedger(), false)
	body := bytes.NewReader(make([]byte, endlessBytes))
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, faults.Path, io.NopCloser(body)))
	require.Equal(t, http.StatusBadRequest, recorder.Code)
	require.Greater(t, body.Len(), endlessBytes/2)
	body.Reset(make([]byte, endlessBytes))
	require.Panics(t, func() {
		server.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/book", io.NopCloser(body)))
	})
	require.Greater(t, body.Len(), endlessBytes/2)
}
