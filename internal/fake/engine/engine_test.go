package engine_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/engine"
	wire "mustardhook/internal/wire/engine"
	"mustardhook/internal/wire/faults"
)

const endlessBytes = 64 << 20

// Guards against a request without end that the engine reads into memory.
func TestEndlessRequestsAreRejected(t *testing.T) {
	t.Parallel()
	server := engine.New()
	t.Cleanup(server.Stop)
	for _, path := range []string{wire.PathGenerate, wire.PathCancel, wire.PathOrder, faults.Path} {
		body := bytes.NewReader(make([]byte, endlessBytes))
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, io.NopCloser(body)))
		require.Equal(t, http.StatusBadRequest, recorder.Code, path)
		require.Greater(t, body.Len(), endlessBytes/2, path)
	}
}
