// Package crowd simulates callers outside the limits of the process that they meet, and reads what
// that process holds.
package crowd

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// Pause is the time between two writes of a slow caller, and before a closed connection is
	// opened again.
	Pause       = 20 * time.Millisecond
	dialTimeout = time.Second
	// slowWrites is the number of pauses between two fields of a slow head.
	slowWrites   = 25
	endlessBytes = 4096
)

type (
	// Crowd is a number of callers that act for the same time.
	Crowd struct {
		Address string
		Conns   int
		Time    time.Duration
	}

	// Script returns what a caller writes, by the number of the write on its connection. If it
	// returns nothing, the caller waits.
	Script func(write int) string

	// StatusError reports that the memory of a process can't be read.
	StatusError struct{ Text string }
)

// Error returns a message with what was read.
func (e *StatusError) Error() string { return "no peak of memory in " + e.Text }

// Meet runs the script on all connections, and opens a closed one again. Until it ends, it calls
// watch at each Pause.
func (c Crowd) Meet(script Script, watch func()) {
	until := time.Now().Add(c.Time)
	var group sync.WaitGroup
	for range c.Conns {
		group.Go(func() {
			for time.Now().Before(until) {
				c.attack(until, script)
				time.Sleep(Pause)
			}
		})
	}
	for time.Now().Before(until) {
		watch()
		time.Sleep(Pause)
	}
	group.Wait()
}

// attack writes to one connection until it is closed or the time is over.
func (c Crowd) attack(until time.Time, script Script) {
	conn, err := net.DialTimeout("tcp4", c.Address, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(until)
	for write := 0; err == nil && time.Now().Before(until); write++ {
		text := script(write)
		if text == "" {
			// The end of the connection is seen by a read only. What it answers is not read.
			_ = conn.SetReadDeadline(time.Now().Add(Pause))
			var one [1]byte
			if _, err := conn.Read(one[:]); errors.Is(err, io.EOF) {
				return
			}
			continue
		}
		_, err = io.WriteString(conn, text)
	}
}

// Slow returns the text first, and small fields from time to time.
func Slow(text string) Script {
	return func(write int) string {
		switch {
		case write == 0:
			return text
		case write%slowWrites == 0:
			return fmt.Sprintf("slow%d: x\r\n", write)
		}
		return ""
	}
}

// Once returns the text first and then nothing.
func Once(text string) Script {
	return func(write int) string {
		if write == 0 {
			return text
		}
		return ""
	}
}

// Endless returns the start once and then the text without end.
func Endless(start, text string) Script {
	text = strings.Repeat(text, max(endlessBytes/len(text), 1))
	return func(write int) string {
		if write == 0 && start != "" {
			return start
		}
		return text
	}
}

// Fields returns empty fields with different names.
func Fields(count int) string {
	var text strings.Builder
	for i := range count {
		_, _ = fmt.Fprintf(&text, "%x:\r\n", i+0x1000)
	}
	return text.String()
}

// PeakKilobytes returns the largest resident memory that a process has had.
func PeakKilobytes(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	words := strings.Fields(rest)
	if len(words) == 0 {
		return 0, &StatusError{string(status)}
	}
	return strconv.Atoi(words[0])
}

// Descriptors returns the number of descriptors that a process has open.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
