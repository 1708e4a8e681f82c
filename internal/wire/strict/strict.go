// Package strict reads JSON with comments field by field. It collects all errors of a
// file, each with its line, column and field path, and rejects unknown fields.
package strict

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// ReasonMissing is the reason for a required field that is absent.
	ReasonMissing = "is missing"
	// ReasonUnknown is the reason for a field that the format does not have.
	ReasonUnknown = "is not a known field"
	// ReasonOtherCase begins the reason for a field whose name differs from a known one by its case.
	ReasonOtherCase = "must be spelled "
	// ReasonDuplicate is the reason for a field that occurs twice in one object.
	ReasonDuplicate = "stands twice"
)

type (
	// FileError is one error in a file.
	FileError struct {
		File string
		// Line and Column count from one, Column in bytes.
		Line   int
		Column int
		// Field is the path of the field, such as endpoints[2].address. It is empty for
		// errors that concern the whole file.
		Field  string
		Reason string
	}

	// FileErrors lists all errors in a file.
	FileErrors []FileError

	// Document is a file that is being read. It collects the errors in it.
	Document struct {
		file   string
		text   []byte
		errors FileErrors
	}

	// Object is one JSON object of a document. Reading a field marks it as consumed;
	// ReportUnknown adds an error for each field that was never read.
	Object struct {
		doc         *Document
		path        string
		offset      int
		members     map[string]hujson.Value
		nameOffsets map[string]int
		consumed    map[string]bool
		names       []string
		// inner are the objects that were read from this one.
		inner []*Object
	}

	// Item is one element of an array.
	Item struct {
		outer *Object
		doc   *Document
		path  string
		value hujson.Value
	}
)

// Error returns the file, the position, the field and the reason.
func (f FileError) Error() string {
	position := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Field == "" {
		return position + ": " + f.Reason
	}
	return position + ": " + f.Field + " " + f.Reason
}

// Error returns all errors, one per line.
func (f FileErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, fileError := range f {
		lines = append(lines, fileError.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse parses the text as one JSON object with comments; file is the name that errors
// carry. If that fails, the object is nil and the document's Err returns the error.
func Parse(file string, text []byte) (*Document, *Object) {
	doc := &Document{file: file, text: text}
	if !utf8.Valid(text) {
		doc.addError(firstInvalidByte(text), "", "is not valid UTF-8")
		return doc, nil
	}
	value, err := hujson.Parse(text)
	if err != nil {
		doc.addSyntaxError(err)
		return doc, nil
	}
	return doc, doc.newObject(value, "")
}

// Err returns the collected errors as FileErrors, or nil if there are none.
func (d *Document) Err() error {
	if len(d.errors) == 0 {
		return nil
	}
	return d.errors
}

func firstInvalidByte(text []byte) int {
	offset := 0
	for offset < len(text) {
		char, size := utf8.DecodeRune(text[offset:])
		if char == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return offset
}

// addSyntaxError adds an error of the parser. It reads line and column from the text of
// the error, which has no fields for them.
func (d *Document) addSyntaxError(err error) {
	fileError := FileError{File: d.file, Line: 1, Column: 1, Reason: "is not JSON: " + err.Error()}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		fileError.Line = line
		fileError.Column = column
		_, fileError.Reason, _ = strings.Cut(err.Error(), ": ")
		_, fileError.Reason, _ = strings.Cut(fileError.Reason, ": ")
		fileError.Reason = "not JSON: " + fileError.Reason
	}
	d.errors = append(d.errors, fileError)
}

func (d *Document) addError(offset int, field, reason string) {
	d.errors = append(d.errors, d.locate(offset, field, reason))
}

func (d *Document) locate(offset int, field, reason string) FileError {
	before := d.text[:min(offset, len(d.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return FileError{File: d.file, Line: line, Column: column, Field: field, Reason: reason}
}

func (d *Document) newObject(value hujson.Value, path string) *Object {
	composite, ok := value.Value.(*hujson.Object)
	if !ok {
		d.addError(value.StartOffset, path, "must be an object")
		return nil
	}
	object := &Object{
		doc: d, path: path, offset: value.StartOffset,
		members: map[string]hujson.Value{}, nameOffsets: map[string]int{}, consumed: map[string]bool{},
	}
	for _, member := range composite.Members {
		object.addMember(member)
	}
	return object
}

func (o *Object) addMember(member hujson.ObjectMember) {
	literal, _ := member.Name.Value.(hujson.Literal)
	name := literal.String()
	if _, duplicate := o.members[name]; duplicate {
		o.doc.addError(member.Name.StartOffset, o.fieldPath(name), ReasonDuplicate)
		return
	}
	o.members[name] = member.Value
	o.nameOffsets[name] = member.Name.StartOffset
	o.names = append(o.names, name)
}

func (o *Object) fieldPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// AddError adds an error at the field, or at the object if the field is absent or the name is empty.
func (o *Object) AddError(name, reason string) {
	o.doc.errors = append(o.doc.errors, o.Locate(name, reason))
}

// Locate returns an error at the field, or at the object if the field is absent or the name is empty. It
// does not add it.
func (o *Object) Locate(name, reason string) FileError {
	offset := o.offset
	if value, present := o.members[name]; present {
		offset = value.StartOffset
	}
	path := o.path
	if name != "" {
		path = o.fieldPath(name)
	}
	return o.doc.locate(offset, path, reason)
}

// Has reports whether the field is present.
func (o *Object) Has(name string) bool {
	_, present := o.members[name]
	return present
}

// ReportUnknown adds an error for each field that was not read.
func (o *Object) ReportUnknown() {
	for _, name := range o.names {
		if !o.consumed[name] {
			o.doc.addError(o.nameOffsets[name], o.fieldPath(name), ReasonUnknown)
		}
	}
}

// ReportOtherCase adds an error for each field that was not read and whose name, but for its case, is that
// of a field that was, in the object and in all that were read from it.
func (o *Object) ReportOtherCase() {
	for _, name := range o.names {
		if o.consumed[name] {
			continue
		}
		for known := range o.consumed {
			if strings.EqualFold(name, known) {
				o.doc.addError(o.nameOffsets[name], o.fieldPath(name), ReasonOtherCase+known)
			}
		}
	}
	for _, inner := range o.inner {
		inner.ReportOtherCase()
	}
}

// literal reads an optional field that must be a literal of the given kind, and reports
// whether it is present and valid. The error for an invalid field names expected.
func (o *Object) literal(name string, kind hujson.Kind, expected string) (hujson.Literal, bool) {
	o.consumed[name] = true
	value, present := o.members[name]
	if !present {
		return nil, false
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		o.AddError(name, "must be "+expected)
		return nil, false
	}
	return literal, true
}

// String reads an optional string field. It returns an empty string if the field is
// absent or invalid.
func (o *Object) String(name string) string {
	literal, _ := o.literal(name, '"', "a string")
	return literal.String()
}

// RequiredString reads a required string field that must not be empty.
func (o *Object) RequiredString(name string) string {
	if !o.Has(name) {
		o.consumed[name] = true
		o.AddError(name, ReasonMissing)
		return ""
	}
	text := o.String(name)
	if literal, ok := o.members[name].Value.(hujson.Literal); ok && literal.Kind() == '"' && text == "" {
		o.AddError(name, "must not be empty")
	}
	return text
}

// NonEmptyString reads an optional string field that must not be empty if it is present. It is for fields whose
// absence permits something.
func (o *Object) NonEmptyString(name string) string {
	if !o.Has(name) {
		o.consumed[name] = true
		return ""
	}
	return o.RequiredString(name)
}

// OneOf reads an optional string field that must have one of the values. It returns the
// first of them if the field is absent or invalid.
func (o *Object) OneOf(name string, values ...string) string {
	text := o.String(name)
	if !o.Has(name) {
		return values[0]
	}
	for _, value := range values {
		if text == value {
			return text
		}
	}
	o.AddError(name, "must be one of "+strings.Join(values, ", "))
	return values[0]
}

// Bool reads an optional boolean field. It returns false if the field is absent or
// invalid.
func (o *Object) Bool(name string) bool {
	o.consumed[name] = true
	value, present := o.members[name]
	if !present {
		return false
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		o.AddError(name, "must be true or false")
		return false
	}
	return literal.Bool()
}

// Int reads an optional integer field from minimum to maximum, both included. It returns
// defaultValue if the field is absent or invalid.
func (o *Object) Int(name string, minimum, maximum, defaultValue int64) int64 {
	literal, present := o.literal(name, '0', "a whole number")
	if !present {
		return defaultValue
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		o.AddError(name, "must be a whole number")
		return defaultValue
	}
	if number < minimum || number > maximum {
		o.AddError(name, fmt.Sprintf("must be from %d to %d", minimum, maximum))
		return defaultValue
	}
	return number
}

// Float reads an optional number field from minimum to maximum, both included. It returns
// zero if the field is absent or invalid.
func (o *Object) Float(name string, minimum, maximum float64) float64 {
	literal, present := o.literal(name, '0', "a number")
	if !present {
		return 0
	}
	number := literal.Float()
	if !(number >= minimum && number <= maximum) {
		o.AddError(name, fmt.Sprintf("must be from %g to %g", minimum, maximum))
		return 0
	}
	return number
}

// Object reads an optional object field. It returns nil if the field is absent or invalid.
func (o *Object) Object(name string) *Object {
	o.consumed[name] = true
	value, present := o.members[name]
	if !present {
		return nil
	}
	return o.addInner(o.doc.newObject(value, o.fieldPath(name)))
}

func (o *Object) addInner(inner *Object) *Object {
	if inner != nil {
		o.inner = append(o.inner, inner)
	}
	return inner
}

// Items reads an optional array field. It returns nil if the field is absent or invalid.
func (o *Object) Items(name string) []Item {
	o.consumed[name] = true
	value, present := o.members[name]
	if !present {
		return nil
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.AddError(name, "must be an array")
		return nil
	}
	items := make([]Item, 0, len(array.Elements))
	for i, element := range array.Elements {
		items = append(items, Item{o, o.doc, fmt.Sprintf("%s[%d]", o.fieldPath(name), i), element})
	}
	return items
}

// Strings reads an optional array of strings that must not be empty. It leaves out
// invalid elements.
func (o *Object) Strings(name string) []string {
	var texts []string
	for _, item := range o.Items(name) {
		if text, ok := item.String(); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// Object returns the element as an object, or nil if it is not one.
func (i Item) Object() *Object { return i.outer.addInner(i.doc.newObject(i.value, i.path)) }

// String returns the element, and reports whether it is a string that is not empty.
func (i Item) String() (string, bool) {
	literal, ok := i.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' || literal.String() == "" {
		i.doc.addError(i.value.StartOffset, i.path, "must be a string that is not empty")
		return "", false
	}
	return literal.String(), true
}
