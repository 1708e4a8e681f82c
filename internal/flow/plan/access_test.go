package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/ident"
)

func TestByKey(t *testing.T) {
	t.Parallel()
	keys, unusable := ByKey([]Holder{
		{Organisation{Name: "city"}, []string{"a", "", " b", "c\td"}},
		{Organisation{Name: "county "}, []string{"e"}},
		{Organisation{}, []string{"f"}},
		{Organisation{Name: "port", Rank: 1, HasRank: true}, []string{"a", "g"}},
	})
	port := Organisation{Name: "port", Rank: 1, HasRank: true}
	require.Equal(t, map[string]Organisation{"a": port, "g": port}, keys)
	require.Equal(t, []ident.Organisation{"county ", ""}, unusable)
}
