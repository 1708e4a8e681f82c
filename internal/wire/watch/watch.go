// Package watch maps the protocol of the platform's configuration service: a
// waiting read of all values that changed after a revision.
//
// Keys under tickets/ hold change tickets; keys under instances/ hold rows of
// the list of instances. A value that was removed is marked so.
package watch

import (
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/wire/ticket"
)

const (
	// Path is the path of the waiting read.
	Path = "/v1/watch"
	// TicketPrefix starts the keys of tickets.
	TicketPrefix = "tickets/"
	// InstancePrefix starts the keys of instances.
	InstancePrefix = "instances/"

	queryAfter = "after"
	queryWait  = "waitMillis"
)

type (
	// FormatError says that an answer of the platform is not in the protocol.
	FormatError struct{ Err error }

	// Value is one key's value.
	Value struct {
		Key      string
		Revision uint64
		Text     []byte
		Removed  bool
	}

	// Page is the answer to one waiting read.
	Page struct {
		Revision uint64
		More     bool
		Values   []Value
	}

	// InvalidTicket is a ticket that can't be read.
	InvalidTicket struct {
		Key string
		Err error
	}

	// Instances is the platform's list, kept up by pages.
	Instances struct {
		rows map[string]event.Instance
	}

	valueWire struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
		Text     string `json:"value"`
		Removed  bool   `json:"removed,omitempty"`
	}

	pageWire struct {
		Revision uint64      `json:"revision"`
		More     bool        `json:"more,omitempty"`
		Values   []valueWire `json:"values"`
	}

	instanceWire struct {
		Name    string `json:"name"`
		Domain  string `json:"failureDomain"`
		Address string `json:"address"`
		Entry   bool   `json:"entry,omitempty"`
		Leaving bool   `json:"leaving,omitempty"`
	}
)

// Error names the cause.
func (e *FormatError) Error() string { return "platform answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// Query returns the URL query of a waiting read.
func Query(after uint64, wait clock.Millis) string {
	values := url.Values{}
	values.Set(queryAfter, strconv.FormatUint(after, 10))
	values.Set(queryWait, strconv.FormatInt(int64(wait), 10))
	return values.Encode()
}

// ParseQuery reads the URL query of a waiting read; absent values are zero.
func ParseQuery(query url.Values) (uint64, clock.Millis) {
	after, _ := strconv.ParseUint(query.Get(queryAfter), 10, 64)
	wait, _ := strconv.ParseInt(query.Get(queryWait), 10, 64)
	return after, clock.Millis(wait)
}

// EncodePage maps an answer.
func EncodePage(page Page) ([]byte, error) {
	w := pageWire{Revision: page.Revision, More: page.More, Values: []valueWire{}}
	for _, value := range page.Values {
		w.Values = append(w.Values, valueWire{value.Key, value.Revision, string(value.Text), value.Removed})
	}
	text, err := json.Marshal(w)
	if err != nil {
		return nil, &FormatError{err}
	}
	return text, nil
}

// DecodePage maps an answer back.
func DecodePage(text []byte) (Page, error) {
	var w pageWire
	if err := json.Unmarshal(text, &w); err != nil {
		return Page{}, &FormatError{err}
	}
	page := Page{Revision: w.Revision, More: w.More}
	for _, value := range w.Values {
		page.Values = append(page.Values, Value{value.Key, value.Revision, []byte(value.Text), value.Removed})
	}
	return page, nil
}

// Tickets reads the tickets of the page in order of their numbers, and lists
// those that can't be read.
func (p Page) Tickets() ([]fleet.Ticket, []InvalidTicket) {
	var tickets []fleet.Ticket
	var refusals []InvalidTicket
	for _, value := range p.Values {
		if !strings.HasPrefix(value.Key, TicketPrefix) || value.Removed {
			continue
		}
		parsed, err := ticket.Parse(value.Key, value.Text)
		if err != nil {
			refusals = append(refusals, InvalidTicket{value.Key, err})
			continue
		}
		tickets = append(tickets, parsed)
	}
	slices.SortStableFunc(tickets, func(a, b fleet.Ticket) int {
		if a.Number < b.Number {
			return -1
		}
		if a.Number > b.Number {
			return 1
		}
		return 0
	})
	return tickets, refusals
}

// NewInstances returns an empty list.
func NewInstances() *Instances { return &Instances{rows: map[string]event.Instance{}} }

// Apply takes the page's rows and reports whether the page had any.
func (l *Instances) Apply(page Page) bool {
	changed := false
	for _, value := range page.Values {
		if !strings.HasPrefix(value.Key, InstancePrefix) {
			continue
		}
		changed = true
		if value.Removed {
			delete(l.rows, value.Key)
			continue
		}
		var w instanceWire
		if json.Unmarshal(value.Text, &w) == nil {
			l.rows[value.Key] = event.Instance{
				Name: w.Name, Domain: ident.Domain(w.Domain), Address: w.Address, IsEntry: w.Entry, Leaving: w.Leaving,
			}
		}
	}
	return changed
}

// List returns the rows in order of their keys.
func (l *Instances) List() []event.Instance {
	keys := make([]string, 0, len(l.rows))
	for key := range l.rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	rows := make([]event.Instance, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, l.rows[key])
	}
	return rows
}

// EncodeInstance maps one row of the list.
func EncodeInstance(row event.Instance) ([]byte, error) {
	text, err := json.Marshal(instanceWire{row.Name, string(row.Domain), row.Address, row.IsEntry, row.Leaving})
	if err != nil {
		return nil, &FormatError{err}
	}
	return text, nil
}
