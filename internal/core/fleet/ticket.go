package fleet

import (
	"fmt"
)

type (
	// Number orders tickets; a higher number goes before a lower one.
	Number uint64

	// Digest is a 64-bit hash of a ticket's canonical text.
	Digest uint64

	// Ticket is one change: the whole new value of each object it touches. Text
	// is the file it was read from; Digest is the hash of Text.
	Ticket struct {
		Number  Number
		Digest  Digest
		Objects []Object
		Text    []byte
	}

	// Stamp names one ticket by number and digest.
	Stamp struct {
		Number Number
		Digest Digest
	}

	// ReferenceError says that an object names another one that is not declared.
	ReferenceError struct {
		Object Ref
		Field  string
		Target Ref
	}

	// ShareError says that the shares of all organisations sum to more than one.
	ShareError struct {
		Sum float64
	}
)

// Stamp returns the ticket's number and digest.
func (t Ticket) Stamp() Stamp { return Stamp{t.Number, t.Digest} }

// Error returns the text of the fault.
func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: %s names %s, which is not declared", e.Object, e.Field, e.Target)
}

// Error returns the text of the fault.
func (e *ShareError) Error() string {
	return fmt.Sprintf("organisation shares sum to %.4f, which is over 1", e.Sum)
}
