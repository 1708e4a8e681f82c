package client_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/limit"
	"mustardhook/internal/tool/client"
)

// Guards against a response without end that the client reads into memory.
func TestEndlessResponsesAreRejected(t *testing.T) {
	t.Parallel()
	for name, piece := range map[string]string{"Blank": " ", "Lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				var err error
				for sent, text := 0, strings.Repeat(piece, 1<<16); err == nil && sent < 256<<20; sent += len(text) {
					_, err = io.WriteString(w, text)
				}
			}))
			t.Cleanup(server.Close)
			c := client.New("city")
			var exceeded *limit.ExceededError
			_, err := c.SendCall(t.Context(), server.URL, client.Call{Method: http.MethodPost, Path: "/book"})
			require.ErrorAs(t, err, &exceeded)
			if piece == "\n" {
				_, err = c.Complete(t.Context(), server.URL, client.Prompt{})
				require.ErrorAs(t, err, &exceeded)
			}
		})
	}
}
