package answer_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/rawtcp"
	"mustardhook/internal/serve/answer"
)

// get sends a request to a server that answers with the text, and returns the body of the answer.
func get(t *testing.T, text string) (string, error) {
	t.Helper()
	listener, err := rawtcp.Serve(rawtcp.Answer(text))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client := &http.Client{Transport: answer.NewTransport(&http.Transport{DisableKeepAlives: true})}
	response, err := client.Get("http://" + listener.Addr().String())
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a client that takes a status for that of an answer although none can have it.
func TestInvalidStatusIsRejected(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "001", "099", "-00", "+99", "101", "600", "999"} {
		_, err := get(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 4\r\n\r\nroof")
		var headErr *answer.HeadError
		require.ErrorAs(t, err, &headErr, status)
	}
	for _, status := range []string{"200", "299", "300", "404", "503", "599"} {
		body, err := get(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" OK\r\nContent-Length: 4\r\n\r\nroof")
		require.NoError(t, err, status)
		require.Equal(t, "roof", body)
	}
}
