package field

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{
		"Connection": {"close, x-hop", "Attempt-Id,Connection"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Proxy-Authorization": {"Basic x"}, "X-Hop": {"1"}, "Attempt-Id": {"a1"}, "Accept": {"*/*"},
	}
	RemoveHopByHop(header, []string{"Attempt-Id"})
	require.Equal(t, http.Header{"Attempt-Id": {"a1"}, "Accept": {"*/*"}}, header)
}
