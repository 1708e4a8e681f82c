//go:build review

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

type (
	// request is one client attempt.
	request struct {
		method  string
		host    string
		path    string
		key     string
		timeout time.Duration
		body    string
		header  map[string]string
	}

	// answer is what the client got. err is set if the connection ended without a whole answer.
	answer struct {
		attempt string
		status  int
		stamp   string
		body    string
		header  http.Header
		err     error
	}
)

var (
	attempts   atomic.Int64
	attemptRun = time.Now().UnixNano() & 0xffffffff
)

// newAttempt returns an id that no other request has.
func newAttempt() string { return fmt.Sprintf("%08x%08x", attemptRun, attempts.Add(1)) }

// send sends the request on a new connection and reads the answer.
func send(r *record, address string, q request) answer {
	a := answer{attempt: newAttempt()}
	r.line("sent", "%s %s %s to %s key %q", a.attempt, q.method, q.path, address, q.key)
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		a.err = err
		r.line("answered", "%s no connection: %v", a.attempt, err)
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.timeout + time.Second))
	a.err = exchange(conn, q, &a)
	r.line("answered", "%s status %d stamp %q body %d bytes error %v", a.attempt, a.status, a.stamp, len(a.body), a.err)
	return a
}

func exchange(conn net.Conn, q request, a *answer) error {
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, a.attempt,
		q.timeout.Milliseconds())
	if q.key != "" {
		_, _ = fmt.Fprintf(&head, "Authorization: Token %s\r\n", q.key)
	}
	for name, value := range q.header {
		_, _ = fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if q.body != "" || q.method == http.MethodPost {
		_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	a.status, a.stamp, a.header = response.StatusCode, response.Header.Get("Server-Stamp"), response.Header
	body, err := io.ReadAll(response.Body)
	a.body = string(body)
	return err
}
