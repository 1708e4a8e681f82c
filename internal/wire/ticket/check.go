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

// LocateErrors returns the errors of a ticket's check with the positions in the file at
// which they occur, each as strict.FileErrors. An error about a reference gets the position
// at which the missing object is named, any other the start of the file.
func LocateErrors(file string, ticket fleet.Ticket, checkErrors []error) []error {
	located := make([]error, 0, len(checkErrors))
	for _, checkError := range checkErrors {
		var reference *fleet.ReferenceError
		quoted := ""
		if errors.As(checkError, &reference) {
			quoted = strconv.Quote(reference.Target.Name)
		}
		located = append(located, strict.FileErrors{errorAt(file, ticket.Text, quoted, checkError.Error())})
	}
	return located
}

func errorAt(file string, text []byte, quoted, reason string) strict.FileError {
	offset := max(bytes.Index(text, []byte(quoted)), 0)
	before := text[:offset]
	return strict.FileError{
		File: file, Line: bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - bytes.LastIndexByte(before, '\n'), Reason: reason,
	}
}

// CheckNumber returns an error if the number of the ticket was used before or is lower than
// the highest one of the state. An entry accepts such tickets, since they may arrive in any
// order; a list of files that an operator checks must not contain them.
func CheckNumber(file string, ticket fleet.Ticket, before fleet.State, merge fleet.MergeResult) error {
	var reason string
	switch {
	case merge == fleet.ConflictLost || merge == fleet.ConflictWon:
		reason = fmt.Sprintf("number %d was filed before with another body", ticket.Number)
	case merge == fleet.Accepted && ticket.Number < before.Highest():
		reason = fmt.Sprintf("number %d is lower than %d, which came before", ticket.Number, before.Highest())
	default:
		return nil
	}
	return strict.FileErrors{errorAt(file, ticket.Text, `"number"`, reason)}
}

// Diff describes the objects that the tickets set to different values, in order of their
// names. Objects that both tickets set take two lines, others one.
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
