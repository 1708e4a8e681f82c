// Package client is a caller: it streams completions, makes service calls and
// checks what comes back. The demonstration, the load tool and the tests use it.
package client

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/wire/caller"
)

const (
	maxEvent = 1 << 20
)

type (
	// Client calls entries as one organisation.
	Client struct {
		HTTP         *http.Client
		Organisation string
	}

	// Prompt is a prompt to send.
	Prompt struct {
		Model     string
		Text      string
		MaxTokens int
		Deadline  clock.Millis
	}

	// Answer is what came back for a prompt.
	Answer struct {
		// Tokens are the pieces in their order.
		Tokens     []string
		FirstToken time.Duration
		Total      time.Duration
		// Completed says that the mark of a complete stream came.
		Completed bool
		Status    int
		Problem   string
	}

	// Call is a service call to make.
	Call struct {
		Method   string
		Path     string
		Key      string
		Body     string
		Deadline clock.Millis
	}

	// Reply is what came back for a service call.
	Reply struct {
		Status   int
		Outcome  string
		Replayed bool
		NotSent  bool
		Problem  string
		Body     string
	}
)

// New returns a client without time limits of its own.
func New(organisation string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Client{HTTP: &http.Client{Transport: transport}, Organisation: organisation}
}

// Complete streams a prompt to its end. An error means that no answer came.
func (c *Client) Complete(ctx context.Context, url string, prompt Prompt) (Answer, error) {
	body := caller.EncodeRequest(prompt.Model, prompt.Text, prompt.MaxTokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "make request")
	}
	c.mark(request, prompt.Deadline)
	began := time.Now()
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
	err = answer.readStream(response.Body, began)
	answer.Total = time.Since(began)
	return answer, err
}

func (c *Client) mark(request *http.Request, deadline clock.Millis) {
	request.Header.Set(caller.HeaderOrganisation, c.Organisation)
	if deadline > 0 {
		request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(int64(deadline), 10))
	}
}

func (a *Answer) readStream(body io.Reader, began time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, is := strings.CutPrefix(lines.Text(), "data: ")
		if !is {
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
			a.FirstToken = time.Since(began)
		}
		a.Tokens = append(a.Tokens, chunk.Texts...)
	}
	return lines.Err()
}

// Do makes a service call. An error means that no answer came.
func (c *Client) Do(ctx context.Context, url string, call Call) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, url+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "make request")
	}
	c.mark(request, call.Deadline)
	if call.Key != "" {
		// An empty list keeps the library from sending the call a second time.
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
