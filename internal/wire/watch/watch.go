// Package watch encodes and decodes the protocol of the platform's configuration service:
// a long poll for all values that changed after a revision.
//
// Keys under tickets/ contain change tickets, keys under instances/ the records of
// instances. A removed value is sent as a key with the removed flag.
//
// A platform that comes back from an older copy gives revisions out again, so they count only
// within an era. The platform begins another one each time it comes back, and tells of it in
// each page; none is era zero. A poll names the era of its revision, and a platform in
// another one should answer at once; a poll without era is that of an older entry. An entry
// that gets a page of another era, or one whose revision is below the one that it asked for,
// drops it and reads from the start.
package watch

import (
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"mustardhook/internal/core/action"
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
	paramEra   = "era"
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
		// Era is zero if the platform tells of none.
		Era uint64
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

	// Poll is what a long poll asks for: the values that changed after a revision of an era.
	Poll struct {
		Era   uint64
		After uint64
		Wait  clock.Millis
		// NamesEra reports whether the poll names an era. Those of older entries don't.
		NamesEra bool
	}

	// Reader turns pages into events. It keeps the platform's list of instances.
	Reader struct {
		instances map[string]event.Instance
		// isPartial reports whether a read from the start has not come to its end.
		isPartial bool
	}

	valueWire struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
		Text     string `json:"value"`
		Removed  bool   `json:"removed,omitempty"`
	}

	pageWire struct {
		Era      uint64      `json:"era,omitempty"`
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

// Query returns the URL query of a long poll.
func Query(poll Poll) string {
	values := url.Values{}
	values.Set(paramAfter, strconv.FormatUint(poll.After, 10))
	if poll.NamesEra {
		values.Set(paramEra, strconv.FormatUint(poll.Era, 10))
	}
	values.Set(paramWait, strconv.FormatInt(int64(poll.Wait), 10))
	return values.Encode()
}

// ParseQuery parses the URL query of a long poll. Absent or invalid values are zero.
func ParseQuery(query url.Values) Poll {
	after, _ := strconv.ParseUint(query.Get(paramAfter), 10, 64)
	era, _ := strconv.ParseUint(query.Get(paramEra), 10, 64)
	wait, _ := strconv.ParseInt(query.Get(paramWait), 10, 64)
	return Poll{era, after, clock.Millis(wait), query.Has(paramEra)}
}

// EncodePage encodes a response. The error is a *FormatError.
func EncodePage(page Page) ([]byte, error) {
	w := pageWire{Era: page.Era, Revision: page.Revision, More: page.More, Values: []valueWire{}}
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
	page := Page{Era: w.Era, Revision: w.Revision, More: w.More}
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

// continues reports whether the page tells what changed after the poll's point. Everything
// changed after revision zero of any era.
func (p Page) continues(act action.WatchPlatform) bool {
	return act.AfterRevision == 0 || (p.Era == act.Era && p.Revision >= act.AfterRevision)
}

// NewReader returns a reader with an empty list.
func NewReader() *Reader { return &Reader{instances: map[string]event.Instance{}} }

// Events returns the events of the page that answers the poll.
func (r *Reader) Events(act action.WatchPlatform, page Page) []event.Event {
	if !page.continues(act) {
		return []event.Event{event.HistoryChanged{Era: page.Era, Revision: page.Revision}}
	}
	var events []event.Event
	isAnew := r.isPartial || act.AfterRevision == 0
	if r.update(page, act.AfterRevision == 0) {
		events = append(events, event.InstancesRead{Instances: r.list(), Revision: page.Revision, Anew: isAnew})
	}
	tickets, invalidTickets := page.Tickets()
	for _, invalid := range invalidTickets {
		events = append(events, event.TicketRefused{Place: invalid.Key, Reason: invalid.Err.Error()})
	}
	return append(events, event.TicketsRead{Tickets: tickets, Era: page.Era, Revision: page.Revision, More: page.More})
}

// update updates the list from the page and reports whether the list is whole and was read
// or changed. It ignores records that can't be decoded.
func (r *Reader) update(page Page, fromStart bool) bool {
	if fromStart {
		r.instances = map[string]event.Instance{}
		r.isPartial = true
	}
	hasInstances := r.isPartial
	for _, value := range page.Values {
		if !strings.HasPrefix(value.Key, InstancePrefix) {
			continue
		}
		hasInstances = true
		if value.Removed {
			delete(r.instances, value.Key)
			continue
		}
		var w instanceWire
		if json.Unmarshal(value.Text, &w) == nil {
			r.instances[value.Key] = event.Instance{
				Name: w.Name, Domain: ident.Domain(w.Domain), Address: w.Address, IsEntry: w.Entry, Leaving: w.Leaving,
				Revision: value.Revision,
			}
		}
	}
	r.isPartial = r.isPartial && page.More
	return hasInstances && !r.isPartial
}

// list returns the instances in order of their keys.
func (r *Reader) list() []event.Instance {
	keys := make([]string, 0, len(r.instances))
	for key := range r.instances {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	instances := make([]event.Instance, 0, len(keys))
	for _, key := range keys {
		instances = append(instances, r.instances[key])
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
