// Package ident defines a distinct type for each kind of name, so that the compiler
// rejects a name of the wrong kind.
package ident

import (
	"strconv"
	"strings"
)

type (
	// Domain is the name of a failure domain.
	Domain string
	// Region is the name of a group of failure domains.
	Region string
	// Endpoint is the name of an engine or of an instance of a plain service.
	Endpoint string
	// Entry is the name of a gateway process that serves callers. It stays the same
	// across restarts.
	Entry string
	// Model is the name of a model.
	Model string
	// Adapter is the name of an adapter of a model.
	Adapter string
	// Organisation is the name of a customer.
	Organisation string
	// Service is the name of a plain service.
	Service string
	// Request is the name of one request of a caller at one entry.
	Request string
	// Attempt is the name of one attempt to run a request at one endpoint.
	Attempt string

	// Incarnation identifies one run of an entry's process. Every restart creates a new
	// incarnation.
	Incarnation struct {
		Entry Entry
		// Epoch increases with every restart of the entry.
		Epoch uint64
	}
)

// MaxNameBytes is the maximum length of a name that entries send to each other.
const MaxNameBytes = 200

// IsName reports whether the text can name something: it fits a header and a message to another entry.
func IsName(text string) bool {
	isControl := func(r rune) bool { return r <= ' ' || r == 0x7f }
	return text != "" && len(text) <= MaxNameBytes && !strings.ContainsFunc(text, isControl)
}

// IsZero reports whether i is the zero value.
func (i Incarnation) IsZero() bool { return i.Entry == "" }

// String formats the incarnation as entry and epoch, separated by '#'.
func (i Incarnation) String() string {
	if i.IsZero() {
		return ""
	}
	return string(i.Entry) + "#" + strconv.FormatUint(i.Epoch, 10)
}

// ParseIncarnation parses the format of String. It returns the zero incarnation if text
// is malformed.
func ParseIncarnation(text string) Incarnation {
	name, epoch, ok := strings.Cut(text, "#")
	if !ok {
		return Incarnation{}
	}
	number, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return Incarnation{}
	}
	return Incarnation{Entry: Entry(name), Epoch: number}
}

// Less reports whether i sorts before other, by entry and then by epoch.
func (i Incarnation) Less(other Incarnation) bool {
	if i.Entry != other.Entry {
		return i.Entry < other.Entry
	}
	return i.Epoch < other.Epoch
}
