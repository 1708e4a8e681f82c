package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
)

// A route without a host or a prefix has no effect, and one without a timeout has the default.
func TestRoutesThatLackSomething(t *testing.T) {
	t.Parallel()
	p := New(1, []Route{
		{Name: "noHost", Prefix: "/a/", Timeout: clock.Second},
		{Name: "noPrefix", Host: "roofs.example", Timeout: clock.Second},
		{Name: "noTimeout", Host: "roofs.example", Prefix: "/c/"},
		{Name: "whole", Host: "roofs.example", Prefix: "/d/", Timeout: clock.Second},
	}, nil, Limits{})
	for _, test := range []struct {
		host, path, route string
		timeout           clock.Millis
	}{
		{"", "/a/1", "", 0}, {"roofs.example", "/b/1", "", 0}, {"roofs.example", "/c/1", "noTimeout", DefaultTimeout},
		{"roofs.example", "/d/1", "whole", clock.Second},
	} {
		route, hasRoute := p.Match(test.host, test.path)
		require.Equal(t, test.route != "", hasRoute, test.path)
		require.Equal(t, test.route, route.Name)
		require.Equal(t, test.timeout, route.Timeout)
	}
}
