package ports

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	portsPerProcess = 150
	processCount    = 12
	childVariable   = "PORTS_TEST_CHILD"
)

// TestMain prints addresses and waits when it runs as a child of the test.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	addresses, err := Free(portsPerProcess)
	if err != nil {
		panic(err)
	}
	_, _ = os.Stdout.WriteString(strings.Join(addresses, " ") + "\n")
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// Processes that ask side by side never get the same address: a stand-in whose
// port another test had taken made a whole fleet of processes fail.
func TestProcessesShareNoPort(t *testing.T) {
	type child struct {
		command *exec.Cmd
		release func()
	}
	seen := map[string]int{}
	var children []child
	outputs := make(chan string, processCount)
	for range processCount {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), childVariable+"=1")
		input, err := command.StdinPipe()
		require.NoError(t, err)
		output, err := command.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, command.Start())
		children = append(children, child{command, func() { _ = input.Close() }})
		go func() {
			text := make([]byte, 64<<10)
			count, _ := output.Read(text)
			outputs <- string(text[:count])
		}()
	}
	for range processCount {
		addresses := strings.Fields(<-outputs)
		require.Len(t, addresses, portsPerProcess)
		for _, address := range addresses {
			seen[address]++
		}
	}
	for _, c := range children {
		c.release()
		require.NoError(t, c.command.Wait())
	}
	require.Len(t, seen, processCount*portsPerProcess)
}
