// Package caller maps the callers' interface: the completions and chat
// completions JSON that model clients send, server-sent events and problem
// documents.
package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/route/score"
	"mustardhook/internal/wire/engine"
)

const (
	// BytesPerToken is the length of a token that prompt lengths are counted by.
	BytesPerToken = 4

	defaultMaxTokens = 256
	maxMaxTokens     = 131072
	defaultTopP      = 1
)

type (
	// RequestError says what is wrong with a caller's request and where.
	RequestError struct {
		// Field is the path of the field; empty means the whole body.
		Field string
		// Offset is the byte of the body at which reading stopped.
		Offset int64
		Reason string
	}

	// Prompt is a caller's request for a completion.
	Prompt struct {
		Model     ident.Model
		Adapter   ident.Adapter
		Text      string
		MaxTokens int
		Stream    bool
		// Chat says that the answer is a chat completion.
		Chat     bool
		Sampling engine.Sampling
	}

	// requestWire has the fields of both kinds of request. The ones that end in
	// Ignored are taken from clients that always send them.
	requestWire struct {
		Model               string          `json:"model"`
		Prompt              json.RawMessage `json:"prompt"`
		Messages            []messageWire   `json:"messages"`
		MaxTokens           *int            `json:"max_tokens"`
		MaxCompletionTokens *int            `json:"max_completion_tokens"`
		Stream              bool            `json:"stream"`
		Temperature         float64         `json:"temperature"`
		TopP                *float64        `json:"top_p"`
		Seed                int64           `json:"seed"`
		Stop                json.RawMessage `json:"stop"`
		N                   *int            `json:"n"`
		UserIgnored         string          `json:"user"`
		PresenceIgnored     float64         `json:"presence_penalty"`
		FrequencyIgnored    float64         `json:"frequency_penalty"`
		StreamOptsIgnored   json.RawMessage `json:"stream_options"`
		MetadataIgnored     json.RawMessage `json:"metadata"`
	}

	messageWire struct {
		Role    string `json:"role"`
		Content string `json:"content"`
		Name    string `json:"name"`
	}
)

// Error returns the field, the place and the reason.
func (e *RequestError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("request body, byte %d: %s", e.Offset, e.Reason)
	}
	return fmt.Sprintf("request body, field %s: %s", e.Field, e.Reason)
}

// ParsePrompt reads a request for a completion, or for a chat completion.
func ParsePrompt(body []byte, chat bool) (Prompt, error) {
	w, err := decodeRequest(body)
	if err != nil {
		return Prompt{}, err
	}
	model, adapter, _ := strings.Cut(w.Model, ":")
	prompt := Prompt{
		Model: ident.Model(model), Adapter: ident.Adapter(adapter), Stream: w.Stream, Chat: chat,
		MaxTokens: defaultMaxTokens,
		Sampling:  engine.Sampling{Temperature: w.Temperature, TopP: defaultTopP, Seed: w.Seed},
	}
	if w.TopP != nil {
		prompt.Sampling.TopP = *w.TopP
	}
	for _, limit := range []*int{w.MaxTokens, w.MaxCompletionTokens} {
		if limit != nil {
			prompt.MaxTokens = *limit
		}
	}
	if prompt.Text, err = promptText(w, chat); err != nil {
		return Prompt{}, err
	}
	if prompt.Sampling.Stop, err = parseTexts("stop", w.Stop); err != nil {
		return Prompt{}, err
	}
	return prompt, checkPrompt(prompt, w)
}

func decodeRequest(body []byte) (requestWire, error) {
	var w requestWire
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return w, requestError(err, int64(len(body)))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return w, &RequestError{Offset: decoder.InputOffset(), Reason: "more follows after the JSON object"}
	}
	return w, nil
}

func requestError(err error, offset int64) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		reason := "must be a " + typeError.Type.String() + ", not a " + typeError.Value
		return &RequestError{Field: typeError.Field, Offset: typeError.Offset, Reason: reason}
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return &RequestError{Offset: syntaxError.Offset, Reason: "is not JSON: " + syntaxError.Error()}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return &RequestError{Offset: offset, Reason: "is cut off"}
	}
	if _, field, found := strings.Cut(err.Error(), "unknown field "); found {
		return &RequestError{Field: strings.Trim(field, `"`), Offset: offset, Reason: "is not a known field"}
	}
	return &RequestError{Offset: offset, Reason: err.Error()}
}

func promptText(w requestWire, chat bool) (string, error) {
	if !chat {
		texts, err := parseTexts("prompt", w.Prompt)
		if err != nil {
			return "", err
		}
		if len(texts) > 1 {
			return "", &RequestError{Field: "prompt", Reason: "must be one string; send several requests for several prompts"}
		}
		return strings.Join(texts, ""), nil
	}
	var text strings.Builder
	for i, message := range w.Messages {
		if message.Role == "" {
			return "", &RequestError{Field: fmt.Sprintf("messages[%d].role", i), Reason: "is missing"}
		}
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteString("\n")
	}
	return text.String(), nil
}

// parseTexts reads a string or an array of strings.
func parseTexts(field string, raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return nil, nil
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return []string{one}, nil
	}
	var many []string
	if json.Unmarshal(raw, &many) == nil {
		return many, nil
	}
	return nil, &RequestError{Field: field, Reason: "must be a string or an array of strings"}
}

func checkPrompt(prompt Prompt, w requestWire) error {
	field := "prompt"
	if prompt.Chat {
		field = "messages"
	}
	switch {
	case w.Model == "":
		return &RequestError{Field: "model", Reason: "is missing"}
	case prompt.Text == "":
		return &RequestError{Field: field, Reason: "is missing or empty"}
	case prompt.MaxTokens < 1 || prompt.MaxTokens > maxMaxTokens:
		return &RequestError{Field: "max_tokens", Reason: fmt.Sprintf("must be from 1 to %d", maxMaxTokens)}
	case w.N != nil && *w.N != 1:
		return &RequestError{Field: "n", Reason: "must be 1"}
	}
	return nil
}

// Tokens returns the counted length of the prompt.
func (p Prompt) Tokens() int { return (len(p.Text) + BytesPerToken - 1) / BytesPerToken }

// Prefixes returns the hashes of the prompt's leading blocks, shortest first.
func (p Prompt) Prefixes() []uint64 { return PrefixHashes(p.Text) }

// PrefixHashes returns the hashes of a text's leading blocks, shortest first.
func PrefixHashes(text string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	hashed := 0
	for _, tokens := range score.PrefixLengths {
		end := tokens * BytesPerToken
		if end > len(text) {
			break
		}
		_, _ = digest.WriteString(text[hashed:end])
		hashed = end
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// Fingerprint returns a hash of what the prompt makes an engine do.
func (p Prompt) Fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(p.Model))
	_, _ = digest.WriteString("\x00" + string(p.Adapter) + "\x00")
	_, _ = digest.WriteString(p.Text)
	return digest.Sum64()
}
