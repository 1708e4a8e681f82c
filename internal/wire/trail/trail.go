// Package trail maps recorded events and actions to lines of JSON, so that a
// session of a live entry can be replayed.
//
// The structure of events is walked by the JSON library; kinds are registered
// here by hand, and tickets and messages go through their own codecs.
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
	maxLine = 64 << 20
)

type (
	// FormatError says which line of a trail can't be read.
	FormatError struct {
		Line   int
		Reason string
	}

	// Step is one event with its instant and the actions it led to, as text.
	Step struct {
		At      clock.Millis
		Event   event.Event
		Actions string
	}

	// Recorder keeps the newest steps. A ring that has dropped steps can't be
	// replayed from the start, and says so.
	Recorder struct {
		mutex   sync.Mutex
		steps   []ringStep
		limit   int
		dropped int
	}

	ringStep struct {
		at       clock.Millis
		happened event.Event
		actions  []action.Action
	}

	lineWire struct {
		At      int64           `json:"at"`
		Kind    string          `json:"kind"`
		Value   json.RawMessage `json:"value"`
		Actions string          `json:"actions"`
	}

	ticketsWire struct {
		Texts    []string `json:"texts"`
		Revision uint64   `json:"revision"`
	}

	messageWire struct {
		From    msgs.Member `json:"from"`
		To      string      `json:"to"`
		Message []byte      `json:"message"`
	}
)

// kinds lists one value of each kind of event.
var kinds = []event.Event{
	event.Started{}, event.Ticked{}, event.TicketsRead{}, event.TicketRefused{}, event.PlatformFailed{},
	event.InstancesRead{}, event.CompletionAsked{}, event.TokenCame{}, event.AttemptEnded{}, event.CallerGone{},
	event.CallAsked{}, event.CallAnswered{}, event.CallFailed{}, event.ReportRead{}, event.ReportFailed{},
	event.MessageCame{}, event.MessageLost{}, event.OrderEnded{}, event.StopAsked{},
}

// Error names the line and the reason.
func (e *FormatError) Error() string {
	return "trail line " + jsonNumber(e.Line) + ": " + e.Reason
}

// NewRecorder returns a ring of up to limit steps; zero keeps none.
func NewRecorder(limit int) *Recorder { return &Recorder{limit: limit} }

// Add records one step.
func (r *Recorder) Add(at clock.Millis, happened event.Event, actions []action.Action) {
	if r.limit == 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.steps) >= r.limit {
		half := r.limit / 2
		r.dropped += len(r.steps) - half
		r.steps = append([]ringStep(nil), r.steps[len(r.steps)-half:]...)
	}
	r.steps = append(r.steps, ringStep{at, happened, actions})
}

// Dropped returns how many steps are no longer kept.
func (r *Recorder) Dropped() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dropped
}

// Write writes the kept steps, one a line.
func (r *Recorder) Write(to io.Writer) error {
	r.mutex.Lock()
	steps := append([]ringStep(nil), r.steps...)
	r.mutex.Unlock()
	for _, step := range steps {
		line, err := EncodeStep(step.at, step.happened, step.actions)
		if err != nil {
			return err
		}
		if _, err := to.Write(line); err != nil {
			return err
		}
	}
	return nil
}

// EncodeStep maps one step to a line.
func EncodeStep(at clock.Millis, happened event.Event, actions []action.Action) ([]byte, error) {
	value, err := encodeValue(happened)
	if err != nil {
		return nil, err
	}
	line, err := json.Marshal(lineWire{int64(at), kindOf(happened), value, FormatActions(actions)})
	if err != nil {
		return nil, err
	}
	return append(line, '\n'), nil
}

// FormatActions writes actions as text, one a line, equal for equal actions.
func FormatActions(actions []action.Action) string {
	var text strings.Builder
	for _, wanted := range actions {
		text.WriteString(kindOf(wanted) + " ")
		text.Write(camelKeys(encodeAction(wanted)))
		text.WriteString("\n")
	}
	return text.String()
}

// Read reads a trail.
func Read(from io.Reader) ([]Step, error) {
	var steps []Step
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
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
	happened, err := decodeValue(w.Kind, w.Value)
	return Step{clock.Millis(w.At), happened, w.Actions}, err
}

func kindOf(value any) string {
	name := reflect.TypeOf(value).Name()
	return strings.ToLower(name[:1]) + name[1:]
}

func encodeValue(happened event.Event) ([]byte, error) {
	switch happened := happened.(type) {
	case event.TicketsRead:
		w := ticketsWire{Revision: happened.Revision}
		for _, read := range happened.Tickets {
			w.Texts = append(w.Texts, string(read.Text))
		}
		return json.Marshal(w)
	case event.MessageCame:
		return encodeMessage(messageWire{From: happened.From}, happened.Message)
	case event.MessageLost:
		return encodeMessage(messageWire{To: happened.To}, happened.Message)
	}
	text, err := json.Marshal(happened)
	return camelKeys(text), err
}

func encodeMessage(w messageWire, message msgs.Message) ([]byte, error) {
	coded, err := proto.MarshalOptions{Deterministic: true}.Marshal(peers.Encode(message))
	if err != nil {
		return nil, err
	}
	w.Message = coded
	return json.Marshal(w)
}

func encodeAction(wanted action.Action) []byte {
	if sent, is := wanted.(action.SendMessage); is {
		text, err := encodeMessage(messageWire{To: sent.Address}, sent.Message)
		if err != nil {
			return []byte(`"` + err.Error() + `"`)
		}
		return text
	}
	text, err := json.Marshal(wanted)
	if err != nil {
		return []byte(`"` + err.Error() + `"`)
	}
	return text
}

func decodeValue(kind string, value []byte) (event.Event, error) {
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
	for _, sample := range kinds {
		if kindOf(sample) == kind {
			target := reflect.New(reflect.TypeOf(sample))
			err := json.Unmarshal(value, target.Interface())
			happened, _ := target.Elem().Interface().(event.Event)
			return happened, err
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
	return event.TicketsRead{Tickets: tickets, Revision: w.Revision}, nil
}

func decodeMessage(value []byte) (messageWire, msgs.Message, error) {
	var w messageWire
	if err := json.Unmarshal(value, &w); err != nil {
		return w, nil, err
	}
	coded := &peerpb.Message{}
	if err := proto.Unmarshal(w.Message, coded); err != nil {
		return w, nil, err
	}
	message, err := peers.Decode(coded)
	return w, message, err
}

// camelKeys lowers the first letter of every key, so that domain types need no
// tags; reading back ignores case.
func camelKeys(text []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return text
	}
	lowered, err := json.Marshal(lowerKeys(tree))
	if err != nil {
		return text
	}
	return lowered
}

func lowerKeys(tree any) any {
	switch tree := tree.(type) {
	case map[string]any:
		lowered := make(map[string]any, len(tree))
		for key, value := range tree {
			lowered[strings.ToLower(key[:1])+key[1:]] = lowerKeys(value)
		}
		return lowered
	case []any:
		for i, value := range tree {
			tree[i] = lowerKeys(value)
		}
	}
	return tree
}

func jsonNumber(number int) string {
	text, err := json.Marshal(number)
	if err != nil {
		return "?"
	}
	return string(text)
}
