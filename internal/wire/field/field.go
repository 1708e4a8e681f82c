// Package field reads fields of HTTP heads.
package field

import (
	"net/http"
	"strings"
)

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
