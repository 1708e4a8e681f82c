package ticket

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/fleet"
	"mustardhook/internal/wire/strict"
)

// LocateErrors gives faults of references their line in the ticket's file.
func LocateErrors(file string, ticket fleet.Ticket, faults []error) []error {
	placed := make([]error, 0, len(faults))
	for _, fault := range faults {
		var reference *fleet.ReferenceError
		quoted := ""
		if errors.As(fault, &reference) {
			quoted = strconv.Quote(reference.Target.Name)
		}
		placed = append(placed, strict.FileErrors{placeAt(file, ticket.Text, quoted, fault.Error())})
	}
	return placed
}

func placeAt(file string, text []byte, quoted, reason string) strict.FileError {
	offset := max(bytes.Index(text, []byte(quoted)), 0)
	before := text[:offset]
	return strict.FileError{
		File: file, Line: bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - bytes.LastIndexByte(before, '\n'), Reason: reason,
	}
}

// CheckNumber reports a number that was filed before, or that goes back. The
// entry takes both, since tickets may arrive in any order; a file list that an
// operator checks must not hold them.
func CheckNumber(file string, ticket fleet.Ticket, before fleet.State, merge fleet.MergeResult) error {
	var reason string
	switch {
	case merge == fleet.ConflictLost || merge == fleet.ConflictWon:
		reason = fmt.Sprintf("number %d was filed before with another body", ticket.Number)
	case merge == fleet.Accepted && ticket.Number < before.Highest():
		reason = fmt.Sprintf("number %d goes back behind %d", ticket.Number, before.Highest())
	default:
		return nil
	}
	return strict.FileErrors{placeAt(file, ticket.Text, `"number"`, reason)}
}

// Diff describes the objects that the tickets set differently, one a line, in
// order of their names.
func Diff(first, second fleet.Ticket) []string {
	values := map[fleet.Ref][2]fleet.Object{}
	for i, ticket := range []fleet.Ticket{first, second} {
		for _, object := range ticket.Objects {
			pair := values[object.Ref()]
			pair[i] = object
			values[object.Ref()] = pair
		}
	}
	refs := make([]fleet.Ref, 0, len(values))
	for ref := range values {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b fleet.Ref) int { return cmp.Compare(a.String(), b.String()) })
	var lines []string
	for _, ref := range refs {
		lines = append(lines, diffObject(ref, values[ref])...)
	}
	return lines
}

func diffObject(ref fleet.Ref, pair [2]fleet.Object) []string {
	switch {
	case pair[1] == nil:
		return []string{"only in the first:  " + ref.String()}
	case pair[0] == nil:
		return []string{"only in the second: " + ref.String()}
	case reflect.DeepEqual(pair[0], pair[1]):
		return nil
	}
	return []string{
		fmt.Sprintf("- %s %+v", ref, pair[0]),
		fmt.Sprintf("+ %s %+v", ref, pair[1]),
	}
}
