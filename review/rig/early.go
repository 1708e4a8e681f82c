//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	longAnswerBytes = 6 << 20
	// answerAfter is how long a runner works on a request of this case.
	answerAfter = 600 * time.Millisecond
	// readPiece and readPause make a reader of 2 MB/s.
	readPiece = 64 << 10
	readPause = 32 * time.Millisecond
	// earlyReaders is few, so that the answers fit the memory that an entry has for them.
	earlyReaders = 3
)

// playEarly stops an entry while its clients wait for long answers and have sent their next request.
func playEarly(s *setting) (int, error) {
	config := map[string]any{
		"version": 7, "limits": limits(), "services": []any{plainService("app")},
		"routes": []any{longRoute()},
	}
	published, list, runners, f, err := s.startFleet(config, map[string]int{"app": 3}, 3)
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop()
	defer func() { _ = published.server.Close() }()
	for _, n := range runners {
		n.work = writeLongAnswer
	}
	if !f.waitReady() {
		s.record.line("end", "the entries did not become ready")
		return exitNotRun, nil
	}
	entry := f.relays[0]
	var group sync.WaitGroup
	var mutex sync.Mutex
	cut, whole := 0, 0
	for range earlyReaders {
		group.Go(func() {
			isWhole, err := readSlowly(s.record, list, entry.frontend)
			mutex.Lock()
			defer mutex.Unlock()
			if isWhole {
				whole++
				return
			}
			cut++
			s.record.line("BROKEN", "LOST: a request that was passed on got no whole answer: %v", err)
		})
	}
	time.Sleep(answerAfter / 2)
	stoppedAt := time.Now()
	if s.hasTrouble {
		s.record.line("fault", "%s gets SIGTERM", entry.name)
		// A process that has ended on its own is in the record.
		_ = entry.command.Process.Signal(syscall.SIGTERM)
	}
	group.Wait()
	s.record.line("end", "%d answers whole or failures, %d cut, the last one %.1f s after the signal", whole, cut, time.Since(stoppedAt).Seconds())
	if cut > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

func longRoute() map[string]any {
	route := plainRoute("board", "/board/", "safe", "app", 2)
	route["timeout_ms"], route["target_latency_ms"] = 10000, 3000
	return route
}

func writeLongAnswer(w http.ResponseWriter, _ *http.Request, _ []byte) {
	time.Sleep(answerAfter)
	w.Header().Set("Content-Length", fmt.Sprint(longAnswerBytes))
	_, _ = io.WriteString(w, strings.Repeat("0123456789abcdef", longAnswerBytes/16))
}

// readSlowly sends two requests on one connection, the second before the answer to the first, and reads that
// answer at the pace of a slow link.
func readSlowly(r *record, list *runs, address string) (isWhole bool, err error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(readPiece)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	first, next := newAttempt(), newAttempt()
	for _, attempt := range []string{first, next} {
		r.line("sent", "%s GET /board/1 to %s", attempt, address)
		head := "GET /board/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 10000\r\n\r\n"
		if _, err := io.WriteString(conn, head); err != nil {
			return false, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		return false, err
	}
	got := int64(0)
	for err == nil {
		var count int64
		count, err = io.CopyN(io.Discard, response.Body, readPiece)
		got += count
		time.Sleep(readPause)
	}
	r.line("answered", "%s status %d Connection %q, %d of %d bytes, runs %d: %v", first, response.StatusCode,
		response.Header.Get("Connection"), got, longAnswerBytes, len(list.of(first)), err)
	// A failure is an answer too.
	return got == longAnswerBytes || response.StatusCode != http.StatusOK && got == response.ContentLength, err
}
