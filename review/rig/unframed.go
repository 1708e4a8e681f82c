//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents  = 33
	eventInterval = 40 * time.Millisecond

	runnerCount = 6
	clientCount = 90
	kills       = 8
	beforeKill  = 2 * time.Second
	// backAfter is when another runner takes the place of one that was killed. silenceTime is three
	// heartbeat intervals, after which the store removes its entry.
	backAfter   = 1500 * time.Millisecond
	silenceTime = 3600 * time.Millisecond

	outcomeTruncated = "truncated"
)

// serveUnframed answers one request with a stream that has neither a length nor chunks and ends with its
// connection. Each event is one write.
func serveUnframed(id string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	if request.Header.Get("Expect-Instance") != id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
		return
	}
	first := 1
	if after := request.Header.Get("Last-Event-Id"); after != "" {
		if _, err := fmt.Sscan(after, &first); err != nil {
			return
		}
		first++
	}
	fmt.Println("run", attempt, "from event", first)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\n\r\n",
		attempt, id, attempt)
	for event := first; event <= streamEvents; event++ {
		time.Sleep(eventInterval)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", event, event, attempt); err != nil {
			return
		}
	}
	fmt.Println("finished", attempt)
}

// crashes is the state of the case: the runners that were started and the outcomes of the streams.
type crashes struct {
	*setting
	published *store
	runs      *runs
	children  []*child
	fleet     *fleet
	mutex     sync.Mutex
	outcomes  map[string]int
}

// playUnframed kills runners while they write streams without a length.
func playUnframed(s *setting) (int, error) {
	c := &crashes{setting: s, runs: &runs{}, outcomes: map[string]int{}}
	defer c.stop()
	if err := c.start(); err != nil {
		return exitNotRun, err
	}
	if !c.fleet.waitReady() {
		s.record.line("end", "the entries did not become ready")
		return exitNotRun, nil
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range clientCount {
		group.Go(func() { c.runClient(c.fleet.relays[i%len(c.fleet.relays)], done) })
	}
	err := c.killInTurn()
	close(done)
	group.Wait()
	if err != nil {
		return exitNotRun, err
	}
	s.record.line("end", "outcomes %v", c.outcomes)
	if c.outcomes[outcomeTruncated] > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

func (c *crashes) start() error {
	published, err := startStore(c.record)
	if err != nil {
		return err
	}
	c.published = published
	route := plainRoute("check", "/check/", "streaming", "llm", 2)
	route["resumable"], route["gap_aim_ms"], route["timeout_ms"] = true, 250, 10000
	published.put("op/config", map[string]any{
		"version": 7, "limits": limits(), "services": []any{plainService("llm")}, "routes": []any{route},
	})
	for range runnerCount {
		if err := c.addRunner(); err != nil {
			return err
		}
	}
	if c.fleet, err = newFleet(c.record, c.folder, published.address, 0); err != nil {
		return err
	}
	for _, zone := range zoneNames {
		if err := c.fleet.add(zone); err != nil {
			return err
		}
	}
	return nil
}

func (c *crashes) addRunner() error {
	number := len(c.children) + 1
	added, err := startChild(c.record, c.runs, fmt.Sprintf("i-llm-%d", number), "llm", "unframed")
	if err != nil {
		return err
	}
	c.children = append(c.children, added)
	c.published.put("servers/"+added.id, added.entry("llm", zoneNames[number%len(zoneNames)]))
	return nil
}

func (c *crashes) stop() {
	for _, running := range c.children {
		running.stop()
	}
	if c.fleet != nil {
		c.fleet.stop()
	}
}

// killInTurn kills the oldest runner each time, and starts another one.
func (c *crashes) killInTurn() error {
	for range kills {
		time.Sleep(beforeKill)
		if !c.hasTrouble {
			time.Sleep(silenceTime)
			continue
		}
		victim := c.children[len(c.children)-runnerCount]
		victim.kill(c.record)
		time.Sleep(backAfter)
		if err := c.addRunner(); err != nil {
			return err
		}
		time.Sleep(silenceTime - backAfter)
		c.published.remove("servers/" + victim.id)
	}
	return nil
}

// runClient asks for one stream after the other.
func (c *crashes) runClient(entry *relay, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rand.Intn(50)) * time.Millisecond):
		}
		a := send(c.record, entry.frontend, request{
			method: http.MethodPost, host: "desk.example", path: "/check/7", timeout: 10 * time.Second, body: "roof 7",
		})
		c.judge(a)
	}
}

func (c *crashes) judge(a answer) {
	events := strings.Count(a.body, "id: ")
	outcome := outcomeTruncated
	switch {
	case a.err != nil:
		outcome = "broken off"
	case a.status != http.StatusOK:
		outcome = fmt.Sprint(a.status)
	case events == streamEvents:
		outcome = "whole"
	default:
		c.record.line("BROKEN", "ORDER: %s ended as complete after %d of %d events; its runs: %d", a.attempt, events, streamEvents,
			len(c.runs.of(a.attempt)))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outcomes[outcome]++
}
