// Package limit bounds the bytes that a process reads from others.
package limit

import (
	"io"
	"net/http"
	"strconv"
)

type (
	// ExceededError reports that a reader had more than Bytes bytes.
	ExceededError struct{ Bytes int64 }

	// reader fails once the source has more than bytes bytes.
	reader struct {
		source io.Reader
		bytes  int64
		left   int64
	}

	// limitedBody is a response body with a limit.
	limitedBody struct {
		io.Reader
		io.Closer
	}

	// transport bounds the bodies of responses.
	transport struct {
		base  http.RoundTripper
		bytes int64
	}
)

// Error returns a message with the limit.
func (e *ExceededError) Error() string {
	return "more than " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// NewReader returns a reader of at most the given number of bytes. If the source has more,
// reading fails with an *ExceededError, so that the part up to the limit is never taken for
// the whole.
func NewReader(source io.Reader, bytes int64) io.Reader {
	return &reader{source: source, bytes: bytes, left: bytes}
}

// Read implements io.Reader.
func (r *reader) Read(buffer []byte) (int, error) {
	// One byte more than is left tells the end of the source from a source over the limit.
	if int64(len(buffer)) > r.left+1 {
		buffer = buffer[:r.left+1]
	}
	count, err := r.source.Read(buffer)
	if int64(count) > r.left {
		count = int(r.left)
		r.left = 0
		return count, &ExceededError{r.bytes}
	}
	r.left -= int64(count)
	return count, err
}

// ReadAll reads the source to its end. If it has more than the given number of bytes, it
// returns an *ExceededError and no bytes.
func ReadAll(source io.Reader, bytes int64) ([]byte, error) {
	content, err := io.ReadAll(NewReader(source, bytes))
	if err != nil {
		return nil, err
	}
	return content, nil
}

// NewTransport returns a RoundTripper whose response bodies fail with an *ExceededError
// after the given number of bytes.
func NewTransport(base http.RoundTripper, bytes int64) http.RoundTripper {
	return &transport{base, bytes}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = limitedBody{NewReader(response.Body, t.bytes), response.Body}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t *transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
