package caller

import (
	"encoding/json"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// The headers of the callers' interface.
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
	// TypeJSON is the media type of unstreamed answers.
	TypeJSON = "application/json"

	// StreamEnd is the last event of a complete stream.
	StreamEnd = "data: [DONE]\n\n"

	problemPrefix = "urn:mustardhook:problem:"
)

type (
	// Problem is a failure as the caller sees it.
	Problem struct {
		// Name is the stable name of the failure.
		Name       string
		Status     int
		Detail     string
		Request    ident.Request
		Field      string
		Outcome    string
		NotSent    bool
		RetryAfter clock.Millis
	}

	// StreamEncoder formats the events of one streamed answer.
	StreamEncoder struct {
		head []byte
		tail []byte
		last []byte
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

// EncodeProblem maps a failure to a problem document.
func EncodeProblem(p Problem) []byte { return encode(p.wire()) }

// EncodeErrorEvent maps a failure to the last event of a stream that breaks.
func EncodeErrorEvent(p Problem) []byte {
	event := append([]byte("event: error\ndata: "), encode(errorEventWire{p.wire()})...)
	return append(event, "\n\n"...)
}

func (p Problem) wire() problemWire {
	return problemWire{
		Type: problemPrefix + p.Name, Title: title(p.Name), Status: p.Status, Detail: p.Detail,
		Instance: string(p.Request), Field: p.Field, Outcome: p.Outcome, AttemptNotSent: p.NotSent,
		RetryAfterMillis: int64(p.RetryAfter),
	}
}

// title turns a camel case name into words.
func title(name string) string {
	var words strings.Builder
	for i, symbol := range name {
		if symbol >= 'A' && symbol <= 'Z' && i > 0 {
			words.WriteByte(' ')
		}
		words.WriteRune(symbol)
	}
	return strings.ToLower(words.String())
}

// EncodeAnswer maps a whole unstreamed answer.
func EncodeAnswer(request ident.Request, prompt Prompt, text string, tokens int, now clock.Millis) []byte {
	choice := choiceWire{FinishReason: finishReason(prompt, tokens)}
	object := "text_completion"
	if prompt.Chat {
		object = "chat.completion"
		choice.Message = &answerMessageWire{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return encode(answerWire{
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

// NewStreamEncoder returns the formatter of one streamed answer. The constant parts of
// its events are formatted once.
func NewStreamEncoder(request ident.Request, prompt Prompt, now clock.Millis) *StreamEncoder {
	object, open, shut := "text_completion", `"text":`, ""
	if prompt.Chat {
		object, open, shut = "chat.completion.chunk", `"delta":{"content":`, "}"
	}
	head := answerWire{
		ID: string(request), Object: object, Created: int64(now / clock.Second), Model: string(prompt.Model),
	}
	common, _, _ := strings.Cut(string(encode(head)), `"choices"`)
	return &StreamEncoder{
		head: []byte("data: " + common + `"choices":[{"index":0,` + open),
		tail: []byte(shut + `,"finish_reason":null}]}` + "\n\n"),
		last: []byte("data: " + common + `"choices":[{"index":0,` + open + `""` + shut + `,"finish_reason":`),
	}
}

// AppendToken appends the event of one token to the buffer.
func (s *StreamEncoder) AppendToken(buffer []byte, text string) []byte {
	buffer = append(buffer, s.head...)
	buffer = append(buffer, encode(text)...)
	return append(buffer, s.tail...)
}

// AppendEnd appends the events that end a complete stream.
func (s *StreamEncoder) AppendEnd(buffer []byte, prompt Prompt, tokens int) []byte {
	buffer = append(buffer, s.last...)
	buffer = append(buffer, encode(finishReason(prompt, tokens))...)
	buffer = append(buffer, "}]}\n\n"...)
	return append(buffer, StreamEnd...)
}

// encode maps wire structs and texts, which hold nothing that can fail to encode.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

// EncodeKey maps a minted idempotency key.
func EncodeKey(key string) []byte { return encode(keyWire{Key: key}) }

// EncodeModels maps the list of models.
func EncodeModels(names []ident.Model, now clock.Millis) []byte {
	list := modelListWire{Object: "list", Data: []modelWire{}}
	for _, name := range names {
		list.Data = append(list.Data, modelWire{string(name), "model", int64(now / clock.Second), "mustardhook"})
	}
	return encode(list)
}
