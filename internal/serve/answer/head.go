package answer

import (
	"net/http"
	"strconv"
	"strings"
)

// The status codes that an answer can have (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

type (
	// HeadError reports an answer whose head the protocol doesn't allow.
	HeadError struct{ Reason string }

	// transport rejects broken answers.
	transport struct{ base http.RoundTripper }
)

// Error returns a message with the reason.
func (e *HeadError) Error() string { return "head of an answer: " + e.Reason }

// CheckHead returns a *HeadError if the head of an answer, which net/http has parsed, is not valid. An answer that
// switches protocols is not, since no request asks for that.
func CheckHead(response *http.Response) error {
	status := response.StatusCode
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &HeadError{"status " + strconv.Itoa(status)}
	}
	for name := range response.Header {
		// net/http rejects all other names that are no tokens.
		if strings.Contains(name, " ") {
			return &HeadError{"space in field name " + strconv.Quote(name)}
		}
	}
	return nil
}

// NewTransport returns a RoundTripper that fails with a *HeadError where CheckHead does.
func NewTransport(base http.RoundTripper) http.RoundTripper { return &transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t *transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
