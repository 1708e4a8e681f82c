package caller

import (
	"encoding/json"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// Headers of requests and responses.
const (
	HeaderOrganisation   = "Mustardhook-Organisation"
	HeaderDeadline       = "Mustardhook-Deadline-Millis"
	HeaderRequest        = "Mustardhook-Request"
	HeaderOutcome        = "Mustardhook-Outcome"
	HeaderReplayed       = "Mustardhook-Replayed"
	HeaderAttempt        = "Mustardhook-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"

	// TypeProblem is the media type of problem documents.
	TypeProblem = "application/problem+json"
	// TypeEvents is the media type of server-sent events.
	TypeEvents = "text/event-stream"
	// TypeJSON is the media type of answers that are not streamed.
	TypeJSON = "application/json"

	// StreamEnd is the last event of a complete stream. An interrupted stream lacks it.
	StreamEnd = "data: [DONE]\n\n"

	problemPrefix = "urn:mustardhook:problem:"
)

type (
	// Problem is a failure as reported to the caller.
	Problem struct {
		// Name identifies the failure and never changes between versions.
		Name string
		// Status is the status code of the HTTP response.
		Status  int
		Detail  string
		Request ident.Request
		// Field is the path of the invalid field or header; empty means none.
		Field   string
		Outcome string
		// NotSent reports whether the endpoint never received the attempt.
		NotSent    bool
		RetryAfter clock.Millis
	}

	// StreamEncoder encodes the server-sent events of one streamed answer.
	StreamEncoder struct {
		// tokenPrefix and tokenSuffix enclose the text of a token in its event.
		tokenPrefix []byte
		tokenSuffix []byte
		// finishPrefix precedes the finish reason in the last event with a choice.
		finishPrefix []byte
	}

	problemWire struct {
		Type             string `json:"type"`
		Title            string `json:"title"`
		Status           int    `json:"status"`
		Detail           string `json:"detail,omitempty"`
		Instance         string `json:"instance,omitempty"`
		Field            string `json:"field,omitempty"`
		Outcome          string `json:"outcome,omitempty"`
		AttemptNotSent   bool   `json:"attemptNotSent,omitempty"`
		RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	}

	errorEventWire struct {
		Error problemWire `json:"error"`
	}

	usageWire struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	answerMessageWire struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	choiceWire struct {
		Index        int                `json:"index"`
		Text         *string            `json:"text,omitempty"`
		Message      *answerMessageWire `json:"message,omitempty"`
		FinishReason string             `json:"finish_reason"`
	}

	modelWire struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}

	keyWire struct {
		Key string `json:"key"`
	}

	modelListWire struct {
		Object string      `json:"object"`
		Data   []modelWire `json:"data"`
	}

	answerWire struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []choiceWire `json:"choices"`
		Usage   usageWire    `json:"usage"`
	}
)

// EncodeProblem encodes a failure as a problem document (RFC 9457).
func EncodeProblem(p Problem) []byte { return mustEncode(p.toWire()) }

// EncodeErrorEvent encodes a failure as the last event of an interrupted stream.
func EncodeErrorEvent(p Problem) []byte {
	event := append([]byte("event: error\ndata: "), mustEncode(errorEventWire{p.toWire()})...)
	return append(event, "\n\n"...)
}

func (p Problem) toWire() problemWire {
	return problemWire{
		Type: problemPrefix + p.Name, Title: titleFromName(p.Name), Status: p.Status, Detail: p.Detail,
		Instance: string(p.Request), Field: p.Field, Outcome: p.Outcome, AttemptNotSent: p.NotSent,
		RetryAfterMillis: int64(p.RetryAfter),
	}
}

// titleFromName splits a camel case name into lower case words.
func titleFromName(name string) string {
	var words strings.Builder
	for i, char := range name {
		if char >= 'A' && char <= 'Z' && i > 0 {
			words.WriteByte(' ')
		}
		words.WriteRune(char)
	}
	return strings.ToLower(words.String())
}

// EncodeAnswer encodes a complete answer that is not streamed.
func EncodeAnswer(request ident.Request, prompt Prompt, text string, tokens int, now clock.Millis) []byte {
	choice := choiceWire{FinishReason: finishReason(prompt, tokens)}
	object := "text_completion"
	if prompt.Chat {
		object = "chat.completion"
		choice.Message = &answerMessageWire{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return mustEncode(answerWire{
		ID: string(request), Object: object, Created: int64(now / clock.Second), Model: string(prompt.Model),
		Choices: []choiceWire{choice},
		Usage: usageWire{
			PromptTokens: prompt.Tokens(), CompletionTokens: tokens, TotalTokens: prompt.Tokens() + tokens,
		},
	})
}

func finishReason(prompt Prompt, tokens int) string {
	if tokens >= prompt.MaxTokens {
		return "length"
	}
	return "stop"
}

// NewStreamEncoder returns an encoder for one streamed answer. It encodes the constant
// parts of the events only once.
func NewStreamEncoder(request ident.Request, prompt Prompt, now clock.Millis) *StreamEncoder {
	object, prefix, suffix := "text_completion", `"text":`, ""
	if prompt.Chat {
		object, prefix, suffix = "chat.completion.chunk", `"delta":{"content":`, "}"
	}
	head := answerWire{
		ID: string(request), Object: object, Created: int64(now / clock.Second), Model: string(prompt.Model),
	}
	common, _, _ := strings.Cut(string(mustEncode(head)), `"choices"`)
	return &StreamEncoder{
		tokenPrefix:  []byte("data: " + common + `"choices":[{"index":0,` + prefix),
		tokenSuffix:  []byte(suffix + `,"finish_reason":null}]}` + "\n\n"),
		finishPrefix: []byte("data: " + common + `"choices":[{"index":0,` + prefix + `""` + suffix + `,"finish_reason":`),
	}
}

// AppendToken appends the event of one token to the buffer.
func (s *StreamEncoder) AppendToken(buffer []byte, text string) []byte {
	buffer = append(buffer, s.tokenPrefix...)
	buffer = append(buffer, mustEncode(text)...)
	return append(buffer, s.tokenSuffix...)
}

// AppendEnd appends the events that end a complete stream, StreamEnd among them.
func (s *StreamEncoder) AppendEnd(buffer []byte, prompt Prompt, tokens int) []byte {
	buffer = append(buffer, s.finishPrefix...)
	buffer = append(buffer, mustEncode(finishReason(prompt, tokens))...)
	buffer = append(buffer, "}]}\n\n"...)
	return append(buffer, StreamEnd...)
}

// mustEncode encodes a wire struct or a string. These contain no values that fail to
// encode.
func mustEncode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

// EncodeKey encodes a newly minted idempotency key.
func EncodeKey(key string) []byte { return mustEncode(keyWire{Key: key}) }

// EncodeModels encodes the list of models.
func EncodeModels(names []ident.Model, now clock.Millis) []byte {
	list := modelListWire{Object: "list", Data: []modelWire{}}
	for _, name := range names {
		list.Data = append(list.Data, modelWire{string(name), "model", int64(now / clock.Second), "mustardhook"})
	}
	return mustEncode(list)
}
