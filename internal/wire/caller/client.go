package caller

import (
	"encoding/json"
	"strings"
)

type (
	// ChunkError reports an event of a stream that could not be decoded.
	ChunkError struct{ Err error }

	// Chunk is one event of a stream, as decoded by a client.
	Chunk struct {
		// Texts are the tokens of the event.
		Texts []string
		// Problem is the name of the failure that broke the stream; empty means none.
		Problem string
	}

	clientRequestWire struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}

	clientChoiceWire struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	}

	clientChunkWire struct {
		Choices []clientChoiceWire `json:"choices"`
		Error   *problemWire       `json:"error"`
	}
)

// Error returns the text of the decoding error.
func (e *ChunkError) Error() string { return "stream event: " + e.Err.Error() }

// Unwrap returns the decoding error.
func (e *ChunkError) Unwrap() error { return e.Err }

// EncodeRequest encodes a request for a streamed completion.
func EncodeRequest(model, text string, maxTokens int) []byte {
	return mustEncode(clientRequestWire{Model: model, Prompt: text, MaxTokens: maxTokens, Stream: true})
}

// DecodeChunk decodes the data of one event of a stream. The error is a *ChunkError.
func DecodeChunk(data []byte) (Chunk, error) {
	var w clientChunkWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Chunk{}, &ChunkError{err}
	}
	chunk := Chunk{}
	if w.Error != nil {
		chunk.Problem = strings.TrimPrefix(w.Error.Type, problemPrefix)
	}
	for _, choice := range w.Choices {
		if choice.FinishReason == nil {
			chunk.Texts = append(chunk.Texts, choice.Text)
		}
	}
	return chunk, nil
}

// DecodeProblem decodes a problem document. It returns the zero Problem for text that is
// not one.
func DecodeProblem(text []byte) Problem {
	var w problemWire
	if json.Unmarshal(text, &w) != nil {
		return Problem{}
	}
	return Problem{
		Name: strings.TrimPrefix(w.Type, problemPrefix), Status: w.Status, Detail: w.Detail, Field: w.Field,
		Outcome: w.Outcome, NotSent: w.AttemptNotSent,
	}
}
