// Package strict reads JSON with comments field by field and reports every
// fault with its line, column and field path.
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
	// ReasonMissing means that a required field is absent.
	ReasonMissing = "is missing"
	// ReasonUnknown means that the format has no such field.
	ReasonUnknown = "is not a known field"
	// ReasonTwice means that a field stands twice in one object.
	ReasonTwice = "stands twice"
)

type (
	// FileError is one thing wrong with a file.
	FileError struct {
		File   string
		Line   int
		Column int
		// Field is the path of the field, such as endpoints[2].address.
		Field  string
		Reason string
	}

	// FileErrors are all things wrong with a file, as one error.
	FileErrors []FileError

	// Document is a file that is being read.
	Document struct {
		file   string
		text   []byte
		faults FileErrors
	}

	// Object is one JSON object of a document. Each read marks its field as
	// known; Done reports the others.
	Object struct {
		doc     *Document
		path    string
		offset  int
		members map[string]hujson.Value
		offsets map[string]int
		known   map[string]bool
		order   []string
	}

	// Item is one element of an array: its value and place.
	Item struct {
		doc   *Document
		path  string
		value hujson.Value
	}
)

// Error returns the place, the field and the reason.
func (f FileError) Error() string {
	place := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Field == "" {
		return place + ": " + f.Reason
	}
	return place + ": " + f.Field + " " + f.Reason
}

// Error returns all faults, one a line.
func (f FileErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse reads the text as one JSON object with comments. On a fault the object
// is nil and the document holds the fault.
func Parse(file string, text []byte) (*Document, *Object) {
	doc := &Document{file: file, text: text}
	if !utf8.Valid(text) {
		doc.faultAt(firstInvalid(text), "", "is not valid UTF-8")
		return doc, nil
	}
	value, err := hujson.Parse(text)
	if err != nil {
		doc.syntaxFault(err)
		return doc, nil
	}
	return doc, doc.object(value, "")
}

// Err returns the faults as an error, or nil when there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return d.faults
}

func firstInvalid(text []byte) int {
	offset := 0
	for offset < len(text) {
		symbol, size := utf8.DecodeRune(text[offset:])
		if symbol == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return offset
}

// syntaxFault takes line and column out of the parser's error, which has no
// fields for them.
func (d *Document) syntaxFault(err error) {
	fault := FileError{File: d.file, Line: 1, Column: 1, Reason: "is not JSON: " + err.Error()}
	var line, column int
	if _, scanned := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanned == nil {
		fault.Line = line
		fault.Column = column
		_, fault.Reason, _ = strings.Cut(err.Error(), ": ")
		_, fault.Reason, _ = strings.Cut(fault.Reason, ": ")
		fault.Reason = "not JSON: " + fault.Reason
	}
	d.faults = append(d.faults, fault)
}

func (d *Document) faultAt(offset int, field, reason string) {
	before := d.text[:min(offset, len(d.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	d.faults = append(d.faults, FileError{File: d.file, Line: line, Column: column, Field: field, Reason: reason})
}

func (d *Document) object(value hujson.Value, path string) *Object {
	composite, is := value.Value.(*hujson.Object)
	if !is {
		d.faultAt(value.StartOffset, path, "must be an object")
		return nil
	}
	object := &Object{
		doc: d, path: path, offset: value.StartOffset,
		members: map[string]hujson.Value{}, offsets: map[string]int{}, known: map[string]bool{},
	}
	for _, member := range composite.Members {
		object.add(member)
	}
	return object
}

func (o *Object) add(member hujson.ObjectMember) {
	literal, _ := member.Name.Value.(hujson.Literal)
	name := literal.String()
	if _, twice := o.members[name]; twice {
		o.doc.faultAt(member.Name.StartOffset, o.at(name), ReasonTwice)
		return
	}
	o.members[name] = member.Value
	o.offsets[name] = member.Name.StartOffset
	o.order = append(o.order, name)
}

func (o *Object) at(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// AddError reports a fault of the field.
func (o *Object) AddError(name, reason string) {
	offset := o.offset
	if value, found := o.members[name]; found {
		offset = value.StartOffset
	}
	o.doc.faultAt(offset, o.at(name), reason)
}

// Has reports whether the field is there.
func (o *Object) Has(name string) bool {
	_, found := o.members[name]
	return found
}

// ReportUnknown reports all fields that were not read.
func (o *Object) ReportUnknown() {
	for _, name := range o.order {
		if !o.known[name] {
			o.doc.faultAt(o.offsets[name], o.at(name), ReasonUnknown)
		}
	}
}

func (o *Object) literal(name string, kind hujson.Kind, wanted string) (hujson.Literal, bool) {
	o.known[name] = true
	value, found := o.members[name]
	if !found {
		return nil, false
	}
	literal, is := value.Value.(hujson.Literal)
	if !is || literal.Kind() != kind {
		o.AddError(name, "must be "+wanted)
		return nil, false
	}
	return literal, true
}

// String reads an optional text field.
func (o *Object) String(name string) string {
	literal, _ := o.literal(name, '"', "a string")
	return literal.String()
}

// RequiredString reads a required text field that is not empty.
func (o *Object) RequiredString(name string) string {
	if !o.Has(name) {
		o.known[name] = true
		o.AddError(name, ReasonMissing)
		return ""
	}
	text := o.String(name)
	if literal, is := o.members[name].Value.(hujson.Literal); is && literal.Kind() == '"' && text == "" {
		o.AddError(name, "must not be empty")
	}
	return text
}

// OneOf reads an optional text field with a fixed set of values; the first one
// is the default.
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

// Bool reads an optional boolean field.
func (o *Object) Bool(name string) bool {
	o.known[name] = true
	value, found := o.members[name]
	if !found {
		return false
	}
	literal, is := value.Value.(hujson.Literal)
	if !is || (literal.Kind() != 't' && literal.Kind() != 'f') {
		o.AddError(name, "must be true or false")
		return false
	}
	return literal.Bool()
}

// Int reads an optional whole number between low and high; absent gives the
// default.
func (o *Object) Int(name string, low, high, absent int64) int64 {
	literal, found := o.literal(name, '0', "a whole number")
	if !found {
		return absent
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		o.AddError(name, "must be a whole number")
		return absent
	}
	if number < low || number > high {
		o.AddError(name, fmt.Sprintf("must be from %d to %d", low, high))
		return absent
	}
	return number
}

// Float reads an optional number between low and high; absent gives zero.
func (o *Object) Float(name string, low, high float64) float64 {
	literal, found := o.literal(name, '0', "a number")
	if !found {
		return 0
	}
	number := literal.Float()
	if !(number >= low && number <= high) {
		o.AddError(name, fmt.Sprintf("must be from %g to %g", low, high))
		return 0
	}
	return number
}

// Object reads an optional object field; absent or faulty gives nil.
func (o *Object) Object(name string) *Object {
	o.known[name] = true
	value, found := o.members[name]
	if !found {
		return nil
	}
	return o.doc.object(value, o.at(name))
}

// Items reads an optional array field.
func (o *Object) Items(name string) []Item {
	o.known[name] = true
	value, found := o.members[name]
	if !found {
		return nil
	}
	array, is := value.Value.(*hujson.Array)
	if !is {
		o.AddError(name, "must be an array")
		return nil
	}
	items := make([]Item, 0, len(array.Elements))
	for i, element := range array.Elements {
		items = append(items, Item{o.doc, fmt.Sprintf("%s[%d]", o.at(name), i), element})
	}
	return items
}

// Strings reads an optional array of texts.
func (o *Object) Strings(name string) []string {
	var texts []string
	for _, item := range o.Items(name) {
		if text, is := item.String(); is {
			texts = append(texts, text)
		}
	}
	return texts
}

// Object returns the element as an object; a fault gives nil.
func (i Item) Object() *Object { return i.doc.object(i.value, i.path) }

// String returns the element as a text, and whether it is one.
func (i Item) String() (string, bool) {
	literal, is := i.value.Value.(hujson.Literal)
	if !is || literal.Kind() != '"' || literal.String() == "" {
		i.doc.faultAt(i.value.StartOffset, i.path, "must be a string that is not empty")
		return "", false
	}
	return literal.String(), true
}
