package keys_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/claim/keys"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
)

func TestMintedKeys(t *testing.T) {
	for _, domain := range []ident.Domain{"north", "north.rack-2", "a.b.c"} {
		minted, ok := keys.Parse(keys.Mint(domain, 123456, 789))
		require.True(t, ok)
		require.Equal(t, keys.Minted{Domain: domain, At: 123456}, minted)
	}
	for _, key := range []string{"", "order-7", "mh1.north", "mh1.north.*.1", "mh2.north.1.1"} {
		_, ok := keys.Parse(key)
		require.False(t, ok, key)
	}
}

// The home of a key depends on the set of declared endpoints and not on their order. A
// minted key keeps its home as long as that failure domain has an endpoint.
func TestHome(t *testing.T) {
	endpoints := []fleet.Endpoint{{Domain: "north"}, {Domain: "south"}, {Domain: "north"}}
	first, ok := keys.Home("scope", "k", endpoints)
	require.True(t, ok)
	reordered, _ := keys.Home("scope", "k", []fleet.Endpoint{{Domain: "south"}, {Domain: "north"}})
	require.Equal(t, first, reordered)
	minted, _ := keys.Home("scope", keys.Mint("south", 1, 1), endpoints)
	require.Equal(t, ident.Domain("south"), minted)
	_, ok = keys.Home("scope", "k", nil)
	require.False(t, ok)
}
