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

// playUnframed kills runners while they write streams without a length.
func playUnframed(s *setting) (int, error) {
	list := &runs{}
	published, err := startStore(s.record)
	if err != nil {
		return exitNotRun, err
	}
	route := plainRoute("check", "/check/", "streaming", "llm", 2)
	route["resumable"], route["gap_aim_ms"], route["timeout_ms"] = true, 250, 10000
	published.put("op/config", map[string]any{
		"version": 7, "limits": limits(), "services": []any{plainService("llm")}, "routes": []any{route},
	})
	var children []*child
	defer func() {
		for _, c := range children {
			c.stop()
		}
	}()
	add := func() error {
		number := len(children) + 1
		c, err := startChild(s.record, list, fmt.Sprintf("i-llm-%d", number), "llm", "unframed")
		if err != nil {
			return err
		}
		children = append(children, c)
		published.put("servers/"+c.id, c.entry("llm", zoneNames[number%len(zoneNames)]))
		return nil
	}
	for range runnerCount {
		if err := add(); err != nil {
			return exitNotRun, err
		}
	}
	f, err := newFleet(s.record, s.folder, published.address)
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop()
	for i := range 3 {
		if _, err := f.add(zoneNames[i%len(zoneNames)]); err != nil {
			return exitNotRun, err
		}
	}
	if !f.waitReady(15 * time.Second) {
		return exitNotRun, nil
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	outcomes := map[string]int{}
	done := make(chan struct{})
	for i := range clientCount {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.Intn(50)) * time.Millisecond):
				}
				a := send(s.record, f.relays[i%len(f.relays)].frontend, request{
					method: http.MethodPost, host: "desk.example", path: "/check/7", timeout: 10 * time.Second, body: "roof 7",
				})
				events := strings.Count(a.body, "id: ")
				mutex.Lock()
				switch {
				case a.err != nil:
					outcomes["broken off"]++
				case a.status != http.StatusOK:
					outcomes[fmt.Sprint(a.status)]++
				case events == streamEvents:
					outcomes["whole"]++
				default:
					outcomes["TRUNCATED"]++
					s.record.line("BROKEN", "ORDER: %s ended as complete after %d of %d events; its runs: %d", a.attempt, events, streamEvents,
						len(list.of(a.attempt)))
				}
				mutex.Unlock()
			}
		})
	}
	for range kills {
		time.Sleep(beforeKill)
		if !s.hasTrouble {
			continue
		}
		victim := children[len(children)-runnerCount]
		victim.kill(s.record)
		time.Sleep(backAfter)
		if err := add(); err != nil {
			return exitNotRun, err
		}
		time.Sleep(silenceTime - backAfter)
		published.remove("servers/" + victim.id)
	}
	close(done)
	group.Wait()
	s.record.line("end", "outcomes %v", outcomes)
	fmt.Println(outcomes)
	if outcomes["TRUNCATED"] > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
