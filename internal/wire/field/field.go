// Package field reads and removes fields of HTTP heads.
package field

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the fields that apply to a single connection (RFC 9110, section 7.6.1), by their canonical names.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// AmbiguousError reports a field that a request must have once and has with unlike values.
type AmbiguousError struct{ Name string }

// Error returns a message with the name of the field.
func (e *AmbiguousError) Error() string {
	return "header " + e.Name + " stands twice with unlike values"
}

// CheckSingular returns an *AmbiguousError if one of the fields, whose names are in canonical form, occurs with
// unlike values. Receivers that take another one of them than the sender of the request would act on another request.
func CheckSingular(header http.Header, names ...string) error {
	for _, name := range names {
		values := header[name]
		for i := 1; i < len(values); i++ {
			if strings.TrimSpace(values[i]) != strings.TrimSpace(values[0]) {
				return &AmbiguousError{name}
			}
		}
	}
	return nil
}

// IsHopByHop reports whether the field with the canonical name applies to a single connection whatever the
// Connection field says.
func IsHopByHop(name string) bool { return slices.Contains(hopByHop, name) }

// RemoveHopByHop removes the fields that apply to a single connection: those of IsHopByHop, and those that the
// Connection field names unless they are, by their canonical names, among endToEnd.
func RemoveHopByHop(header http.Header, endToEnd []string) {
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(endToEnd, name) {
				delete(header, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}
