// Package engine encodes and decodes the protocol of the model engines: JSON over HTTP,
// where an attempt is answered by one JSON object per line.
package engine

import (
	"encoding/json"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
)

// Paths of the protocol.
const (
	PathGenerate = "/v1/generate"
	PathCancel   = "/v1/cancel"
	PathReport   = "/v1/report"
	PathOrder    = "/v1/order"
)

type (
	// FormatError reports a message that could not be decoded. Message is the kind of
	// the message.
	FormatError struct {
		Message string
		Err     error
	}

	// GenerateRequest asks an engine to run an attempt.
	GenerateRequest struct {
		Attempt ident.Attempt
		Owner   ident.Incarnation
		Model   ident.Model
		Adapter ident.Adapter
		// Prompt is the complete prompt, also when an answer is resumed.
		Prompt    string
		MaxTokens int
		Priority  int
		// ResumeAfter is the number of tokens that the caller has already received from
		// an earlier attempt.
		ResumeAfter int
		// Lease is the time after which the engine drops the attempt and frees its
		// memory; zero means never.
		Lease    clock.Millis
		Sampling Sampling
	}

	// Sampling holds the sampling parameters that the caller sets.
	Sampling struct {
		Temperature float64
		TopP        float64
		Seed        int64
		Stop        []string
	}

	// Chunk is one line of an answer: a token, or the end marker.
	Chunk struct {
		Attempt ident.Attempt
		// Index is the zero-based position of the token in the answer to the request.
		Index int
		Text  string
		// End reports whether the line is the end marker.
		End bool
		// Tokens is the number of tokens in the answer. Only the end marker has it.
		Tokens int
		// Cached is the number of prompt tokens that the engine had in its cache. Only the
		// end marker has it.
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

	chunkWire struct {
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

// Error returns the kind of the message and the decoding error.
func (e *FormatError) Error() string { return "engine " + e.Message + ": " + e.Err.Error() }

// Unwrap returns the decoding error.
func (e *FormatError) Unwrap() error { return e.Err }

// EncodeGenerate encodes a request to run an attempt.
func EncodeGenerate(g GenerateRequest) []byte {
	return mustEncode(generateWire{
		Attempt: string(g.Attempt), Owner: g.Owner.String(), Model: string(g.Model), Adapter: string(g.Adapter),
		Prompt: g.Prompt, MaxTokens: g.MaxTokens, Priority: g.Priority, ResumeAfter: g.ResumeAfter,
		LeaseMillis: int64(g.Lease), Temperature: g.Sampling.Temperature, TopP: g.Sampling.TopP,
		Seed: g.Sampling.Seed, Stop: g.Sampling.Stop,
	})
}

// DecodeGenerate decodes a request to run an attempt. The error is a *FormatError.
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

// EncodeChunk encodes one line of an answer, including its newline.
func EncodeChunk(c Chunk) []byte {
	w := chunkWire{
		Attempt: string(c.Attempt), Index: c.Index, Text: c.Text, End: c.End, Tokens: c.Tokens, Cached: c.Cached,
	}
	return append(mustEncode(w), '\n')
}

// DecodeChunk decodes one line of an answer. The error is a *FormatError.
func DecodeChunk(line []byte) (Chunk, error) {
	var w chunkWire
	if err := decode("piece", line, &w); err != nil {
		return Chunk{}, err
	}
	return Chunk{
		Attempt: ident.Attempt(w.Attempt), Index: w.Index, Text: w.Text, End: w.End, Tokens: w.Tokens, Cached: w.Cached,
	}, nil
}

// EncodeCancel encodes a request to cancel the named attempt.
func EncodeCancel(name string) []byte { return mustEncode(cancelWire{Attempt: name}) }

// DecodeCancel decodes a request to cancel an attempt and returns the attempt's name.
// The error is a *FormatError.
func DecodeCancel(text []byte) (string, error) {
	var w cancelWire
	err := decode("cancel", text, &w)
	return w.Attempt, err
}

// EncodeOrder encodes an order: the role and the models that an engine must run.
func EncodeOrder(order action.Order) []byte {
	w := orderWire{Fence: uint64(order.Fence), Role: string(order.Role), Models: []modelWire{}}
	for _, model := range order.Models {
		w.Models = append(w.Models, encodeModel(model.Name, model.Version, model.Adapters))
	}
	return mustEncode(w)
}

// DecodeOrder decodes an order. The error is a *FormatError.
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

// EncodeReport encodes a load report of an engine.
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

// DecodeReport decodes a load report of an engine. The error is a *FormatError.
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

// mustEncode encodes a wire struct. These contain no values that fail to encode.
func mustEncode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
