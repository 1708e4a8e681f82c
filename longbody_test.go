package mustardhook_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/stack"
)

// Guards against a refusal of a body over the limit that waits for more of the body.
func TestRefusalOfLongBodyDoesNotWaitForItsEnd(t *testing.T) {
	s := startCluster(t, stack.Spec{Entries: 1, Engines: 1})
	c := dialEntry(t, s.Entries[0])
	body := strings.Repeat("x", int(s.Entries[0].Settings.Limits.BodyBytes)+1000)
	text := requestText(http.MethodPost, "/v1/completions", body)
	c.send(text[:len(text)-500])
	require.NoError(t, c.conn.SetReadDeadline(time.Now().Add(6*time.Second)))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}
