package fleet

import (
	"fmt"
)

type (
	// Number is the sequence number of a ticket. A ticket with a higher number takes
	// precedence over one with a lower number.
	Number uint64

	// Digest is a 64-bit hash of the canonical text of a ticket.
	Digest uint64

	// Ticket is one change. It contains the complete new value of every object that it
	// sets. Text is the file from which it was read and Digest the hash of Text.
	Ticket struct {
		Number  Number
		Digest  Digest
		Objects []Object
		Text    []byte
	}

	// Stamp identifies a ticket by its number and digest.
	Stamp struct {
		Number Number
		Digest Digest
	}

	// ReferenceError reports that a field of Object refers to Target, which is not
	// declared.
	ReferenceError struct {
		Object Ref
		Field  string
		Target Ref
	}

	// ShareError reports that the shares of all organisations add up to more than one.
	ShareError struct {
		Sum float64
	}
)

// Stamp returns the number and digest of the ticket.
func (t Ticket) Stamp() Stamp { return Stamp{t.Number, t.Digest} }

// Error implements the error interface.
func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: %s names %s, which is not declared", e.Object, e.Field, e.Target)
}

// Error implements the error interface.
func (e *ShareError) Error() string {
	return fmt.Sprintf("organisation shares sum to %.4f, which is over 1", e.Sum)
}
