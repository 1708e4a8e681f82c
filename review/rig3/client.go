package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// outcome is what a client got for one attempt.
	outcome struct {
		attempt string
		sentAt  time.Time
		endedAt time.Time
		status  int
		body    string
		stamp   string
		err     error
	}

	// client keeps a connection to one relay.
	client struct {
		address string
		http    *http.Client
	}

	// outcomes collects what clients got.
	outcomes struct {
		mutex sync.Mutex
		all   []outcome
	}
)

var attempts atomic.Int64

// newClient returns a client that keeps one connection.
func newClient(address string) *client {
	return &client{address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// send posts a request and waits for the answer, for the given time at most.
func (c *client) send(path, key, body string, deadline time.Duration, fields ...string) outcome {
	attempt := "a" + strconv.FormatInt(attempts.Add(1), 10)
	result := outcome{attempt: attempt, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	response, err := c.http.Do(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		result.status, result.body, result.stamp = response.StatusCode, string(text), response.Header.Get("Server-Stamp")
	}
	result.err = err
	result.endedAt = time.Now()
	return result
}

func (o *outcomes) add(next outcome) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.all = append(o.all, next)
}

func (o *outcomes) list() []outcome {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]outcome(nil), o.all...)
}
