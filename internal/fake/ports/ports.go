// Package ports hands out loopback addresses to stand-ins and to tests that start
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
	// minPort and highest bound the ports, below the range that Linux gives to
	// connections (32768 and more).
	minPort = 20000
	maxPort = 32000
	// blockPorts is how many ports a process reserves at a time. The first of them is
	// held by a listener while the process lives, so that no other one takes the block.
	blockPorts = 60
	blockTries = 2000
)

type (
	// block is a range of ports that this process alone hands out.
	block struct {
		next int
		end  int
		// locks are the listeners that reserve this block and those before it.
		locks []net.Listener
	}
)

var (
	mutex   sync.Mutex
	current block
)

// Free returns loopback addresses that nobody listens on. No two calls return the
// same address, in this process or another one that uses this package.
func Free(count int) ([]string, error) {
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
			// Another program has the port.
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// reserve takes a block that no process holds.
func (b *block) reserve() error {
	var failed error
	for range blockTries {
		start := minPort + blockPorts*rand.IntN((maxPort-minPort)/blockPorts)
		lock, err := net.Listen("tcp", addressOf(start))
		if err != nil {
			failed = err
			continue
		}
		b.locks = append(b.locks, lock)
		b.next, b.end = start+1, start+blockPorts
		return nil
	}
	return errors.Wrap(failed, "reserve ports")
}

func addressOf(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
