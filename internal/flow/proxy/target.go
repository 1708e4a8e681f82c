package proxy

import (
	"net/http"
	"strings"
)

// originForm returns the target of a request in origin form, which endpoints get. A target in absolute form
// loses its scheme and its authority, from which net/http has taken the host (RFC 9112, section 3.2.2); any
// other one stays as it is.
func originForm(r *http.Request) string {
	isAbsolute := r.URL.Host != "" && (r.URL.Scheme == "http" || r.URL.Scheme == "https")
	_, rest, hasScheme := strings.Cut(r.RequestURI, "://")
	if strings.HasPrefix(r.RequestURI, "/") || !isAbsolute || !hasScheme {
		return r.RequestURI
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}
