// Package engine maps the protocol of the model engines: JSON over HTTP, with
// the tokens of an attempt as one JSON object a line.
package engine

import (
	"encoding/json"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
)

// The paths of the protocol.
const (
	PathGenerate = "/v1/generate"
	PathCancel   = "/v1/cancel"
	PathReport   = "/v1/report"
	PathOrder    = "/v1/order"
)

type (
	// FormatError says that a message of an engine is not in the protocol.
	FormatError struct {
		Message string
		Err     error
	}

	// GenerateRequest asks an engine to run an attempt. Prompt is the whole
	// prompt, also when the answer is resumed.
	GenerateRequest struct {
		Attempt     ident.Attempt
		Owner       ident.Incarnation
		Model       ident.Model
		Adapter     ident.Adapter
		Prompt      string
		MaxTokens   int
		Priority    int
		ResumeAfter int
		Lease       clock.Millis
		Sampling    Sampling
	}

	// Sampling are the parameters that pass from the caller to the engine.
	Sampling struct {
		Temperature float64
		TopP        float64
		Seed        int64
		Stop        []string
	}

	// Chunk is one line of an answer: a token, or the end mark.
	Chunk struct {
		Attempt ident.Attempt
		// Index counts the tokens of the request from zero.
		Index int
		Text  string
		End   bool
		// Tokens is the count of all tokens, in the end mark only.
		Tokens int
		// Cached is the count of cached prompt tokens, in the end mark only.
		Cached int
	}

	generateWire struct {
		Attempt     string   `json:"attempt"`
		Owner       string   `json:"owner"`
		Model       string   `json:"model"`
		Adapter     string   `json:"adapter,omitempty"`
		Prompt      string   `json:"prompt"`
		MaxTokens   int      `json:"maxTokens"`
		Priority    int      `json:"priority"`
		ResumeAfter int      `json:"resumeAfter,omitempty"`
		LeaseMillis int64    `json:"leaseMillis"`
		Temperature float64  `json:"temperature"`
		TopP        float64  `json:"topP"`
		Seed        int64    `json:"seed"`
		Stop        []string `json:"stop,omitempty"`
	}

	pieceWire struct {
		Attempt string `json:"attempt"`
		Index   int    `json:"index"`
		Text    string `json:"text,omitempty"`
		End     bool   `json:"end,omitempty"`
		Tokens  int    `json:"tokens,omitempty"`
		Cached  int    `json:"cached,omitempty"`
	}

	cancelWire struct {
		Attempt string `json:"attempt"`
	}

	adapterWire struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	}

	modelWire struct {
		Name     string        `json:"name"`
		Version  string        `json:"version"`
		Adapters []adapterWire `json:"adapters,omitempty"`
	}

	orderWire struct {
		Fence  uint64      `json:"fence"`
		Role   string      `json:"role"`
		Models []modelWire `json:"models"`
	}

	allocationWire struct {
		Name      string `json:"name"`
		Owner     string `json:"owner"`
		Tokens    int    `json:"tokens"`
		AgeMillis int64  `json:"ageMillis"`
	}

	cacheWire struct {
		Sequence uint64 `json:"sequence"`
		Prefix   uint64 `json:"prefix,string"`
		Stored   bool   `json:"stored"`
	}

	reportWire struct {
		AgeMillis     int64            `json:"ageMillis"`
		QueuedTokens  int              `json:"queuedTokens"`
		Decoding      int              `json:"decoding"`
		FreeTokens    int              `json:"freeTokens"`
		TotalTokens   int              `json:"totalTokens"`
		PrefillRate   int              `json:"prefillRate"`
		Leaving       bool             `json:"leaving"`
		Boot          uint64           `json:"boot,string"`
		Fence         uint64           `json:"fence"`
		Models        []modelWire      `json:"models"`
		Allocations   []allocationWire `json:"allocations,omitempty"`
		CacheEvents   []cacheWire      `json:"cacheEvents,omitempty"`
		CacheSequence uint64           `json:"cacheSequence"`
	}
)

// Error names the message and the cause.
func (e *FormatError) Error() string { return "engine " + e.Message + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// EncodeGenerate maps a request for an attempt.
func EncodeGenerate(g GenerateRequest) []byte {
	return mustEncode(generateWire{
		Attempt: string(g.Attempt), Owner: g.Owner.String(), Model: string(g.Model), Adapter: string(g.Adapter),
		Prompt: g.Prompt, MaxTokens: g.MaxTokens, Priority: g.Priority, ResumeAfter: g.ResumeAfter,
		LeaseMillis: int64(g.Lease), Temperature: g.Sampling.Temperature, TopP: g.Sampling.TopP,
		Seed: g.Sampling.Seed, Stop: g.Sampling.Stop,
	})
}

// DecodeGenerate maps a request for an attempt back.
func DecodeGenerate(text []byte) (GenerateRequest, error) {
	var w generateWire
	if err := decode("generate", text, &w); err != nil {
		return GenerateRequest{}, err
	}
	return GenerateRequest{
		Attempt: ident.Attempt(w.Attempt), Owner: ident.ParseIncarnation(w.Owner), Model: ident.Model(w.Model),
		Adapter: ident.Adapter(w.Adapter), Prompt: w.Prompt, MaxTokens: w.MaxTokens, Priority: w.Priority,
		ResumeAfter: w.ResumeAfter, Lease: clock.Millis(w.LeaseMillis),
		Sampling: Sampling{Temperature: w.Temperature, TopP: w.TopP, Seed: w.Seed, Stop: w.Stop},
	}, nil
}

// EncodeChunk maps one line of an answer, with its line end.
func EncodeChunk(p Chunk) []byte {
	w := pieceWire{
		Attempt: string(p.Attempt), Index: p.Index, Text: p.Text, End: p.End, Tokens: p.Tokens, Cached: p.Cached,
	}
	return append(mustEncode(w), '\n')
}

// DecodeChunk maps one line of an answer back.
func DecodeChunk(line []byte) (Chunk, error) {
	var w pieceWire
	if err := decode("piece", line, &w); err != nil {
		return Chunk{}, err
	}
	return Chunk{
		Attempt: ident.Attempt(w.Attempt), Index: w.Index, Text: w.Text, End: w.End, Tokens: w.Tokens, Cached: w.Cached,
	}, nil
}

// EncodeCancel maps the name of an attempt to stop.
func EncodeCancel(name string) []byte { return mustEncode(cancelWire{Attempt: name}) }

// DecodeCancel maps the name of an attempt to stop back.
func DecodeCancel(text []byte) (string, error) {
	var w cancelWire
	err := decode("cancel", text, &w)
	return w.Attempt, err
}

// EncodeOrder maps an order.
func EncodeOrder(order action.Order) []byte {
	w := orderWire{Fence: uint64(order.Fence), Role: string(order.Role), Models: []modelWire{}}
	for _, model := range order.Models {
		w.Models = append(w.Models, encodeModel(model.Name, model.Version, model.Adapters))
	}
	return mustEncode(w)
}

// DecodeOrder maps an order back.
func DecodeOrder(text []byte) (action.Order, error) {
	var w orderWire
	if err := decode("order", text, &w); err != nil {
		return action.Order{}, err
	}
	order := action.Order{Fence: fleet.Number(w.Fence), Role: fleet.Role(w.Role)}
	for _, model := range w.Models {
		loaded := decodeModel(model)
		order.Models = append(order.Models, fleet.Model{
			Name: loaded.Model, Version: loaded.Version, Adapters: loaded.Adapters,
		})
	}
	return order, nil
}

// EncodeReport maps a load report.
func EncodeReport(r event.Report) []byte {
	w := reportWire{
		AgeMillis: int64(r.Age), QueuedTokens: r.QueuedTokens, Decoding: r.Decoding, FreeTokens: r.FreeTokens,
		TotalTokens: r.TotalTokens, PrefillRate: r.PrefillRate, Leaving: r.Leaving, Boot: r.Boot,
		Fence: uint64(r.Fence), CacheSequence: r.CacheSequence,
	}
	for _, loaded := range r.Models {
		w.Models = append(w.Models, encodeModel(loaded.Model, loaded.Version, loaded.Adapters))
	}
	for _, a := range r.Allocations {
		w.Allocations = append(w.Allocations, allocationWire{a.Name, a.Owner.String(), a.Tokens, int64(a.Age)})
	}
	for _, c := range r.CacheEvents {
		w.CacheEvents = append(w.CacheEvents, cacheWire{c.Sequence, c.Prefix, c.Stored})
	}
	return mustEncode(w)
}

// DecodeReport maps a load report back.
func DecodeReport(text []byte) (event.Report, error) {
	var w reportWire
	if err := decode("report", text, &w); err != nil {
		return event.Report{}, err
	}
	r := event.Report{
		Age: clock.Millis(w.AgeMillis), QueuedTokens: w.QueuedTokens, Decoding: w.Decoding, FreeTokens: w.FreeTokens,
		TotalTokens: w.TotalTokens, PrefillRate: w.PrefillRate, Leaving: w.Leaving, Boot: w.Boot,
		Fence: fleet.Number(w.Fence), CacheSequence: w.CacheSequence,
	}
	for _, model := range w.Models {
		r.Models = append(r.Models, decodeModel(model))
	}
	for _, a := range w.Allocations {
		r.Allocations = append(r.Allocations, event.Allocation{
			Name: a.Name, Owner: ident.ParseIncarnation(a.Owner), Tokens: a.Tokens, Age: clock.Millis(a.AgeMillis),
		})
	}
	for _, c := range w.CacheEvents {
		r.CacheEvents = append(r.CacheEvents, event.CacheEvent{Sequence: c.Sequence, Prefix: c.Prefix, Stored: c.Stored})
	}
	return r, nil
}

func encodeModel(name ident.Model, version string, adapters []fleet.Adapter) modelWire {
	w := modelWire{Name: string(name), Version: version}
	for _, adapter := range adapters {
		w.Adapters = append(w.Adapters, adapterWire{string(adapter.Name), adapter.Version})
	}
	return w
}

func decodeModel(w modelWire) event.Loaded {
	loaded := event.Loaded{Model: ident.Model(w.Name), Version: w.Version}
	for _, adapter := range w.Adapters {
		loaded.Adapters = append(loaded.Adapters, fleet.Adapter{
			Name: ident.Adapter(adapter.Name), Version: adapter.Version,
		})
	}
	return loaded
}

func decode(message string, text []byte, target any) error {
	if err := json.Unmarshal(text, target); err != nil {
		return &FormatError{Message: message, Err: err}
	}
	return nil
}

// mustEncode encodes a wire struct; these hold nothing that can fail to encode.
func mustEncode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
