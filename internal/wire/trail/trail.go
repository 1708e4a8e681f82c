// Package trail encodes the events that an entry handled, and the actions that resulted, as
// lines of JSON, so that a session of a live entry can be replayed.
//
// Most events are encoded by reflection under the names of their types and fields, so these
// names are part of the format. Each type of event must be listed in eventSamples. Tickets
// and messages between entries are encoded by packages ticket and peers.
package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/peerpb"
	"mustardhook/internal/wire/peers"
	"mustardhook/internal/wire/ticket"
)

const (
	maxLineBytes = 64 << 20
)

type (
	// FormatError reports a line of a trail that could not be decoded.
	FormatError struct {
		Line   int
		Reason string
	}

	// Step is one recorded event.
	Step struct {
		// At is the time at which the entry handled the event.
		At    clock.Millis
		Event event.Event
		// Actions are the resulting actions as formatted by FormatActions.
		Actions string
	}

	// Recorder keeps the most recent steps. A recording that has dropped steps can't be
	// replayed, since replay must begin at the start of the entry; see Dropped.
	Recorder struct {
		mutex   sync.Mutex
		steps   []recordedStep
		limit   int
		dropped int
	}

	recordedStep struct {
		at      clock.Millis
		input   event.Event
		actions []action.Action
	}

	lineWire struct {
		At      int64           `json:"at"`
		Kind    string          `json:"kind"`
		Value   json.RawMessage `json:"value"`
		Actions string          `json:"actions"`
	}

	ticketsWire struct {
		Texts    []string `json:"texts"`
		Era      uint64   `json:"era,omitempty"`
		Revision uint64   `json:"revision"`
		More     bool     `json:"more,omitempty"`
	}

	messageWire struct {
		From    msgs.Member `json:"from"`
		To      string      `json:"to"`
		Message []byte      `json:"message"`
	}
)

// eventSamples has one value of each type of event. Read finds the type by its name.
var eventSamples = []event.Event{
	event.Started{}, event.Ticked{}, event.TicketsRead{}, event.TicketRefused{}, event.HistoryChanged{},
	event.PlatformFailed{}, event.InstancesRead{}, event.CompletionAsked{}, event.TokenCame{}, event.AttemptEnded{}, event.CallerGone{},
	event.CallAsked{}, event.CallAnswered{}, event.CallFailed{}, event.ReportRead{}, event.ReportFailed{},
	event.MessageCame{}, event.MessageLost{}, event.OrderEnded{}, event.StopAsked{},
}

// Error returns the line number and the reason.
func (e *FormatError) Error() string {
	return "trail line " + formatNumber(e.Line) + ": " + e.Reason
}

// NewRecorder returns a recorder that keeps up to limit steps; zero disables recording.
func NewRecorder(limit int) *Recorder { return &Recorder{limit: limit} }

// Add records one step. At the limit it drops the older half of the steps.
func (r *Recorder) Add(at clock.Millis, input event.Event, actions []action.Action) {
	if r.limit == 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.steps) >= r.limit {
		half := r.limit / 2
		r.dropped += len(r.steps) - half
		r.steps = append([]recordedStep(nil), r.steps[len(r.steps)-half:]...)
	}
	r.steps = append(r.steps, recordedStep{at, input, actions})
}

// Dropped returns the number of steps that were dropped.
func (r *Recorder) Dropped() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dropped
}

// Write writes the recorded steps, one per line.
func (r *Recorder) Write(to io.Writer) error {
	r.mutex.Lock()
	steps := append([]recordedStep(nil), r.steps...)
	r.mutex.Unlock()
	for _, step := range steps {
		line, err := EncodeStep(step.at, step.input, step.actions)
		if err != nil {
			return err
		}
		if _, err := to.Write(line); err != nil {
			return err
		}
	}
	return nil
}

// EncodeStep encodes one step as a line of JSON.
func EncodeStep(at clock.Millis, input event.Event, actions []action.Action) ([]byte, error) {
	value, err := encodeEvent(input)
	if err != nil {
		return nil, err
	}
	line, err := json.Marshal(lineWire{int64(at), kindOf(input), value, FormatActions(actions)})
	if err != nil {
		return nil, err
	}
	return append(line, '\n'), nil
}

// FormatActions formats actions as text, one per line. Equal actions give equal texts.
func FormatActions(actions []action.Action) string {
	var text strings.Builder
	for _, act := range actions {
		text.WriteString(kindOf(act) + " ")
		text.Write(camelKeys(encodeAction(act)))
		text.WriteString("\n")
	}
	return text.String()
}

// Read reads a recorded trail. The error is a *FormatError, or the error of reading from
// the source.
func Read(from io.Reader) ([]Step, error) {
	var steps []Step
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		step, err := decodeStep(lines.Bytes())
		if err != nil {
			return nil, &FormatError{number, err.Error()}
		}
		steps = append(steps, step)
	}
	return steps, lines.Err()
}

func decodeStep(line []byte) (Step, error) {
	var w lineWire
	if err := json.Unmarshal(line, &w); err != nil {
		return Step{}, err
	}
	input, err := decodeEvent(w.Kind, w.Value)
	return Step{clock.Millis(w.At), input, w.Actions}, err
}

func kindOf(value any) string {
	name := reflect.TypeOf(value).Name()
	return strings.ToLower(name[:1]) + name[1:]
}

func encodeEvent(input event.Event) ([]byte, error) {
	switch input := input.(type) {
	case event.TicketsRead:
		w := ticketsWire{Era: input.Era, Revision: input.Revision, More: input.More}
		for _, readTicket := range input.Tickets {
			w.Texts = append(w.Texts, string(readTicket.Text))
		}
		return json.Marshal(w)
	case event.MessageCame:
		return encodeMessage(messageWire{From: input.From}, input.Message)
	case event.MessageLost:
		return encodeMessage(messageWire{To: input.To}, input.Message)
	}
	text, err := json.Marshal(input)
	return camelKeys(text), err
}

func encodeMessage(w messageWire, message msgs.Message) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(peers.Encode(message))
	if err != nil {
		return nil, err
	}
	w.Message = encoded
	return json.Marshal(w)
}

func encodeAction(act action.Action) []byte {
	if send, ok := act.(action.SendMessage); ok {
		text, err := encodeMessage(messageWire{To: send.Address}, send.Message)
		if err != nil {
			return []byte(`"` + err.Error() + `"`)
		}
		return text
	}
	text, err := json.Marshal(act)
	if err != nil {
		return []byte(`"` + err.Error() + `"`)
	}
	return text
}

func decodeEvent(kind string, value []byte) (event.Event, error) {
	switch kind {
	case kindOf(event.TicketsRead{}):
		return decodeTickets(value)
	case kindOf(event.MessageCame{}):
		w, message, err := decodeMessage(value)
		return event.MessageCame{From: w.From, Message: message}, err
	case kindOf(event.MessageLost{}):
		w, message, err := decodeMessage(value)
		return event.MessageLost{To: w.To, Message: message}, err
	}
	for _, sample := range eventSamples {
		if kindOf(sample) == kind {
			target := reflect.New(reflect.TypeOf(sample))
			err := json.Unmarshal(value, target.Interface())
			input, _ := target.Elem().Interface().(event.Event)
			return input, err
		}
	}
	return nil, &FormatError{Reason: "unknown kind " + kind}
}

func decodeTickets(value []byte) (event.Event, error) {
	var w ticketsWire
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, err
	}
	var tickets []fleet.Ticket
	for _, text := range w.Texts {
		parsed, err := ticket.Parse("trail", []byte(text))
		if err != nil {
			return nil, err
		}
		tickets = append(tickets, parsed)
	}
	return event.TicketsRead{Tickets: tickets, Era: w.Era, Revision: w.Revision, More: w.More}, nil
}

func decodeMessage(value []byte) (messageWire, msgs.Message, error) {
	var w messageWire
	if err := json.Unmarshal(value, &w); err != nil {
		return w, nil, err
	}
	encoded := &peerpb.Message{}
	if err := proto.Unmarshal(w.Message, encoded); err != nil {
		return w, nil, err
	}
	message, err := peers.Decode(encoded)
	return w, message, err
}

// camelKeys converts the first letter of every key to lower case, so that the domain types
// need no struct tags. The JSON decoder matches keys regardless of case.
func camelKeys(text []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return text
	}
	lowerCased, err := json.Marshal(lowerKeys(tree))
	if err != nil {
		return text
	}
	return lowerCased
}

func lowerKeys(tree any) any {
	switch tree := tree.(type) {
	case map[string]any:
		lowerCased := make(map[string]any, len(tree))
		for key, value := range tree {
			lowerCased[strings.ToLower(key[:1])+key[1:]] = lowerKeys(value)
		}
		return lowerCased
	case []any:
		for i, value := range tree {
			tree[i] = lowerKeys(value)
		}
	}
	return tree
}

func formatNumber(number int) string {
	text, err := json.Marshal(number)
	if err != nil {
		return "?"
	}
	return string(text)
}
