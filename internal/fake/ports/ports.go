// Package ports allocates loopback addresses to simulated systems and to tests that start
// processes.
package ports

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// minPort and maxPort bound the allocated ports. They are below the range from which
	// Linux picks the local ports of connections (32768 and above).
	minPort = 20000
	maxPort = 32000
	// blockPorts is the number of ports that a process reserves at a time. The process
	// listens on the first of them until it exits, so that no other process reserves the
	// same block.
	blockPorts = 60
	blockTries = 2000
)

type (
	// block is a range of ports reserved by this process.
	block struct {
		next int
		end  int
		// locks are the listeners that reserve this block and the previous ones.
		locks []net.Listener
	}
)

var (
	mutex   sync.Mutex
	current block
)

// Allocate returns count loopback addresses on which no process listens. No address is
// returned twice, neither in this process nor in another one that uses this package.
func Allocate(count int) ([]string, error) {
	mutex.Lock()
	defer mutex.Unlock()
	addresses := make([]string, 0, count)
	for len(addresses) < count {
		if current.next == current.end {
			if err := current.reserve(); err != nil {
				return nil, err
			}
		}
		address := addressOf(current.next)
		current.next++
		listener, err := net.Listen("tcp", address)
		if err != nil {
			// Another program uses the port.
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// reserve replaces the block by a new one that no other process has reserved.
func (b *block) reserve() error {
	var lastErr error
	for range blockTries {
		start := minPort + blockPorts*rand.IntN((maxPort-minPort)/blockPorts)
		lock, err := net.Listen("tcp", addressOf(start))
		if err != nil {
			lastErr = err
			continue
		}
		b.locks = append(b.locks, lock)
		b.next, b.end = start+1, start+blockPorts
		return nil
	}
	return errors.Wrap(lastErr, "reserve ports")
}

func addressOf(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
