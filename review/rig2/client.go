package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the attempts of all clients.
var attempts atomic.Uint64

type (
	// attempt is one request of a client.
	attempt struct {
		id, method, path string
		deadline         time.Duration
		fields           []string
		body             string
		// patience is how long the client waits for the answer, if that is less than the deadline.
		patience time.Duration
	}

	// outcome is what a client got.
	outcome struct {
		status int
		stamp  string
		body   string
		err    error
		took   time.Duration
	}
)

func newAttempt(method, path string, deadline time.Duration, fields ...string) attempt {
	return attempt{id: fmt.Sprintf("%016x", attempts.Add(1)), method: method, path: path, deadline: deadline, fields: fields}
}

// head returns the head of the request.
func (a attempt) head() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", a.method, a.path, host,
		a.id, a.deadline.Milliseconds(), key)
	for _, field := range a.fields {
		head += field + "\r\n"
	}
	if a.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	return head + "\r\n"
}

// send sends the request on a new connection and reads the whole answer.
func (a attempt) send(address string) outcome {
	began := time.Now()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return outcome{err: err, took: time.Since(began)}
	}
	defer func() { _ = conn.Close() }()
	patience := a.deadline
	if a.patience > 0 {
		patience = a.patience
	}
	_ = conn.SetDeadline(began.Add(patience))
	got := a.exchange(conn, bufio.NewReader(conn))
	got.took = time.Since(began)
	return got
}

// exchange sends the request on a connection and reads the whole answer.
func (a attempt) exchange(conn net.Conn, reader *bufio.Reader) outcome {
	if _, err := io.WriteString(conn, a.head()+a.body); err != nil {
		return outcome{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: a.method})
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), body: string(body), err: err}
}

// prompt returns the fields of a prompt with the given tokens.
func prompt(tokens, output int) []string {
	return []string{
		"Model: m", fmt.Sprintf("Token-Usage: %d,%d", tokens, output),
		fmt.Sprintf("Prompt-Prefix: 5c1e07a2:40,%x:%d", attempts.Add(1)+1<<32, max(tokens-40, 1)),
	}
}

// String describes the outcome in a line of the record.
func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, error %v, after %d ms", o.status, o.err, o.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, %d bytes, after %d ms %s", o.status, len(o.body), o.took.Milliseconds(), strings.TrimSpace(o.body[:min(len(o.body), 24)]))
}
