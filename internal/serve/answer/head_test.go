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

// Guards against a client that takes a field for another one, or for none, since its name has a space or a control
// character.
func TestInvalidFieldNameIsRejected(t *testing.T) {
	t.Parallel()
	for _, field := range []string{"Content-Length : 4", "Transfer-Encoding : chunked", "No te: x", "Note : x"} {
		body, err := get(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n4\r\nroof\r\n0\r\n\r\n")
		var headErr *answer.HeadError
		require.ErrorAs(t, err, &headErr, "%s: %q", field, body)
	}
	for _, field := range []string{"Content-Length\t: 4", "No\x00te: x", "No\x01te: x", "No\rte: x", "Note\x7f: x", ": x"} {
		_, err := get(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nroof")
		require.Error(t, err, "%q", field)
	}
}
