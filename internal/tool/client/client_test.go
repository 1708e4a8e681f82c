package client_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/rawtcp"
	"mustardhook/internal/serve/answer"
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

// Guards against a broken answer that counts as one in a load test.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	listener, err := rawtcp.Serve(rawtcp.Answer("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	_, err = client.New("city").SendCall(t.Context(), "http://"+listener.Addr().String(), client.Call{Method: http.MethodPost})
	var headErr *answer.HeadError
	require.ErrorAs(t, err, &headErr)
}
