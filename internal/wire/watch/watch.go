// Package watch encodes and decodes the protocol of the platform's configuration service:
// a long poll for all values that changed after a revision.
//
// Keys under tickets/ contain change tickets, keys under instances/ the records of
// instances. A removed value is sent as a key with the removed flag.
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
	// Path is the path of the long poll.
	Path = "/v1/watch"
	// TicketPrefix is the prefix of the keys of tickets.
	TicketPrefix = "tickets/"
	// InstancePrefix is the prefix of the keys of instances.
	InstancePrefix = "instances/"

	paramAfter = "after"
	paramWait  = "waitMillis"
)

type (
	// FormatError reports a response of the platform that could not be decoded or encoded.
	FormatError struct{ Err error }

	// Value is the value of a key.
	Value struct {
		Key string
		// Revision is the revision that last changed the value.
		Revision uint64
		Text     []byte
		// Removed reports whether the key was deleted. Text is then empty.
		Removed bool
	}

	// Page is the response to one long poll.
	Page struct {
		// Revision is the revision to poll after next.
		Revision uint64
		// More reports whether further changes are available without waiting.
		More   bool
		Values []Value
	}

	// InvalidTicket is a ticket that could not be parsed.
	InvalidTicket struct {
		Key string
		Err error
	}

	// Instances is the platform's list of instances, updated from pages.
	Instances struct {
		instances map[string]event.Instance
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

// Error returns the text of the underlying error.
func (e *FormatError) Error() string { return "platform answer: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FormatError) Unwrap() error { return e.Err }

// Query returns the URL query of a long poll for changes after a revision, which waits up
// to the given time.
func Query(after uint64, wait clock.Millis) string {
	values := url.Values{}
	values.Set(paramAfter, strconv.FormatUint(after, 10))
	values.Set(paramWait, strconv.FormatInt(int64(wait), 10))
	return values.Encode()
}

// ParseQuery returns the revision and the waiting time in the URL query of a long poll.
// Absent or invalid values are zero.
func ParseQuery(query url.Values) (uint64, clock.Millis) {
	after, _ := strconv.ParseUint(query.Get(paramAfter), 10, 64)
	wait, _ := strconv.ParseInt(query.Get(paramWait), 10, 64)
	return after, clock.Millis(wait)
}

// EncodePage encodes a response. The error is a *FormatError.
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

// DecodePage decodes a response. The error is a *FormatError.
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

// Tickets parses the tickets of the page. It returns the valid ones in order of their
// numbers, and the invalid ones.
func (p Page) Tickets() ([]fleet.Ticket, []InvalidTicket) {
	var tickets []fleet.Ticket
	var invalid []InvalidTicket
	for _, value := range p.Values {
		if !strings.HasPrefix(value.Key, TicketPrefix) || value.Removed {
			continue
		}
		parsed, err := ticket.Parse(value.Key, value.Text)
		if err != nil {
			invalid = append(invalid, InvalidTicket{value.Key, err})
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
	return tickets, invalid
}

// NewInstances returns an empty list.
func NewInstances() *Instances { return &Instances{instances: map[string]event.Instance{}} }

// Apply updates the list from the page and reports whether the page had any instances. It
// ignores records that can't be decoded.
func (l *Instances) Apply(page Page) bool {
	hasInstances := false
	for _, value := range page.Values {
		if !strings.HasPrefix(value.Key, InstancePrefix) {
			continue
		}
		hasInstances = true
		if value.Removed {
			delete(l.instances, value.Key)
			continue
		}
		var w instanceWire
		if json.Unmarshal(value.Text, &w) == nil {
			l.instances[value.Key] = event.Instance{
				Name: w.Name, Domain: ident.Domain(w.Domain), Address: w.Address, IsEntry: w.Entry, Leaving: w.Leaving,
			}
		}
	}
	return hasInstances
}

// List returns the instances in order of their keys.
func (l *Instances) List() []event.Instance {
	keys := make([]string, 0, len(l.instances))
	for key := range l.instances {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	instances := make([]event.Instance, 0, len(keys))
	for _, key := range keys {
		instances = append(instances, l.instances[key])
	}
	return instances
}

// EncodeInstance encodes the record of an instance. The error is a *FormatError.
func EncodeInstance(instance event.Instance) ([]byte, error) {
	text, err := json.Marshal(instanceWire{
		instance.Name, string(instance.Domain), instance.Address, instance.IsEntry, instance.Leaving,
	})
	if err != nil {
		return nil, &FormatError{err}
	}
	return text, nil
}
