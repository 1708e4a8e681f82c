// Package client is a client of entries. It streams completions, makes service calls
// and decodes the responses. The demonstration, the load generator and tests use it.
package client

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/serve/answer"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/wire/caller"
)

const (
	// maxEventBytes is the maximum length of one line of a stream.
	maxEventBytes = 1 << 20
	// maxAnswerBytes is the maximum size of a whole response.
	maxAnswerBytes = 64 << 20
)

type (
	// Client sends requests to entries on behalf of one organisation.
	Client struct {
		HTTP         *http.Client
		Organisation string
	}

	// Prompt is a prompt to send. A Deadline of zero selects the default of the
	// organisation.
	Prompt struct {
		Model     string
		Text      string
		MaxTokens int
		Deadline  clock.Millis
	}

	// Answer is the response to a prompt.
	Answer struct {
		// Tokens holds the texts of the received tokens in order.
		Tokens []string
		// FirstToken is the time until the first token arrived.
		FirstToken time.Duration
		// Total is the time until the end of the stream.
		Total time.Duration
		// Completed reports whether the end marker of a complete stream was received.
		Completed bool
		Status    int
		// Problem is the name of the problem reported by the entry, if any.
		Problem string
	}

	// Call is a service call to send.
	Call struct {
		Method string
		Path   string
		// Key is the idempotency key; empty means none.
		Key      string
		Body     string
		Deadline clock.Millis
	}

	// Reply is the response to a service call.
	Reply struct {
		Status   int
		Outcome  string
		Replayed bool
		NotSent  bool
		Problem  string
		Body     string
	}
)

// New returns a client without timeouts of its own. Its responses fail over maxAnswerBytes.
func New(organisation string) *Client {
	transport := &http.Transport{
		DialContext: answer.NewDial((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: 256, DisableCompression: true,
	}
	limited := limit.NewTransport(answer.NewTransport(transport), maxAnswerBytes)
	return &Client{HTTP: &http.Client{Transport: limited}, Organisation: organisation}
}

// Complete sends a prompt and reads the stream of its answer to the end. It returns an
// error if there is no response or the stream can't be read.
func (c *Client) Complete(ctx context.Context, url string, prompt Prompt) (Answer, error) {
	body := caller.EncodeRequest(prompt.Model, prompt.Text, prompt.MaxTokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "make request")
	}
	c.setHeaders(request, prompt.Deadline)
	start := time.Now()
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		text, err := io.ReadAll(response.Body)
		answer.Problem = caller.DecodeProblem(text).Name
		return answer, err
	}
	err = answer.readStream(response.Body, start)
	answer.Total = time.Since(start)
	return answer, err
}

func (c *Client) setHeaders(request *http.Request, deadline clock.Millis) {
	request.Header.Set(caller.HeaderOrganisation, c.Organisation)
	if deadline > 0 {
		request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(int64(deadline), 10))
	}
}

func (a *Answer) readStream(body io.Reader, start time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Completed = true
			return nil
		}
		chunk, err := caller.DecodeChunk([]byte(data))
		if err != nil {
			return err
		}
		if chunk.Problem != "" {
			a.Problem = chunk.Problem
			return nil
		}
		if len(a.Tokens) == 0 && len(chunk.Texts) > 0 {
			a.FirstToken = time.Since(start)
		}
		a.Tokens = append(a.Tokens, chunk.Texts...)
	}
	return lines.Err()
}

// SendCall makes a service call. It returns an error if there is no complete response.
func (c *Client) SendCall(ctx context.Context, url string, call Call) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, url+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "make request")
	}
	c.setHeaders(request, call.Deadline)
	if call.Key != "" {
		// Without GetBody, net/http can't send the body a second time, so it does not
		// retry a call whose connection is lost. The X-Idempotency-Key entry has no
		// value and is not sent.
		request.Header["X-Idempotency-Key"] = nil
		request.Header.Set(caller.HeaderIdempotencyKey, call.Key)
		request.GetBody = nil
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{}, errors.Wrap(err, "read answer")
	}
	reply := Reply{
		Status: response.StatusCode, Outcome: response.Header.Get(caller.HeaderOutcome),
		Replayed: response.Header.Get(caller.HeaderReplayed) != "", Body: string(body),
	}
	if response.Header.Get("Content-Type") == caller.TypeProblem {
		problem := caller.DecodeProblem(body)
		reply.Problem = problem.Name
		reply.NotSent = problem.NotSent
	}
	return reply, nil
}
