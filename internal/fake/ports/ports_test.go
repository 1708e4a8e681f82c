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

// TestMain runs the tests. In a child process of TestProcessesShareNoPort, it prints
// addresses instead and waits for the end of its input.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	addresses, err := Allocate(portsPerProcess)
	if err != nil {
		panic(err)
	}
	_, _ = os.Stdout.WriteString(strings.Join(addresses, " ") + "\n")
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// Processes that allocate ports concurrently must not get the same address. Otherwise
// a process can't open its port, and every process that depends on it fails.
func TestProcessesShareNoPort(t *testing.T) {
	type child struct {
		command *exec.Cmd
		release func()
	}
	uses := map[string]int{}
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
			uses[address]++
		}
	}
	for _, c := range children {
		c.release()
		require.NoError(t, c.command.Wait())
	}
	require.Len(t, uses, processCount*portsPerProcess)
}
