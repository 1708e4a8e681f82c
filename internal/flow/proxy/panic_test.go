package proxy

import (
	"context"
	"net"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/fake/ports"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/port"
	"mustardhook/internal/flow/setup"
	"mustardhook/internal/serve/logs"
)

const (
	// panicVariable is the environment variable that makes TestCorePanicEndsProcess run a
	// relay whose core panics, in place of the test.
	panicVariable = "MUSTARDHOOK_TEST_PANIC"
	corePanic     = "panic of the core"
)

type (
	// panickingController panics at the first tick.
	panickingController struct{}

	// emptySource publishes nothing.
	emptySource struct{}
)

// Step implements board.Controller.
func (panickingController) Step(_ *board.Board, in input.Input) {
	if _, isTick := in.(input.Ticked); isTick {
		panic(corePanic)
	}
}

// ReadAll implements port.Source.
func (emptySource) ReadAll(context.Context, uint64) (port.ReadResult, error) {
	return port.ReadResult{}, nil
}

// Follow implements port.Source.
func (emptySource) Follow(ctx context.Context, _ point.Point, wait clock.Millis) (port.ReadResult, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait.Duration()):
	}
	return port.ReadResult{}, nil
}

// DecodePlan implements port.Source.
func (emptySource) DecodePlan([]byte) (plan.Plan, error) { return plan.Plan{}, nil }

// Guards against an entry that keeps its connections and answers nothing after a panic of
// the core: the process must exit with an error.
func TestCorePanicEndsProcess(t *testing.T) {
	if os.Getenv(panicVariable) != "" {
		runPanickingRelay(t)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestCorePanicEndsProcess$")
	command.Env = append(os.Environ(), panicVariable+"=1")
	text, err := command.CombinedOutput()
	require.NoError(t, ctx.Err(), "the process runs on:\n%s", text)
	require.Error(t, err)
	require.Contains(t, string(text), corePanic)
}

func runPanickingRelay(t *testing.T) {
	addresses, err := ports.Allocate(4)
	require.NoError(t, err)
	newsPort, err := net.ResolveUDPAddr("udp4", addresses[3])
	require.NoError(t, err)
	proxy := New(Config{
		Settings: setup.Settings{
			Entry: "e1", Domain: "north", Callers: addresses[0], Ready: addresses[1], Peers: addresses[2], NewsPort: newsPort.Port,
			Limits: setup.Limits{MemoryMegabytes: setup.DefaultMemoryMegabytes, Descriptors: setup.DefaultDescriptors},
		},
		Source:      emptySource{},
		Logger:      logs.Discard(),
		Controllers: []board.Registration{{Priority: 1, Controller: panickingController{}}},
	})
	require.NoError(t, proxy.Run(context.Background(), 1))
}
