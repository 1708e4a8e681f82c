package mustardhook

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/wire/setup"
)

// Guards against connections that are refused for a memory setting that the settings don't have.
func TestConnectionsAreBoundedByNamedMemoryOnly(t *testing.T) {
	limits := setup.Limits{Connections: 8192, MemoryMegabytes: 512}
	require.Equal(t, limits.Connections, maxConns(limits, connMemoryRatio))
	limits.HasMemory = true
	require.Equal(t, 6553, maxConns(limits, connMemoryRatio))
}
