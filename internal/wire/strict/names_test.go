package strict

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFindRepeatedName(t *testing.T) {
	t.Parallel()
	var many []string
	for i := range 2 * maxListedNames {
		many = append(many, fmt.Sprintf(`"name%d": 0`, i))
	}
	for text, want := range map[string]string{
		`{"a": 1, "b": {"a": 2}, "c": [{"a": 1}, {"a": 1}]}`: "",
		`{"a": "a", "b": "a\"", "c": ["a", "a"]}`:            "",
		`{"a": 1, "a": 1}`:                                           "a",
		`{"a": 1, "A": 1}`:                                           "A",
		`{"b": [{"a": 1, "\u0061": 2}]}`:                             "a",
		"{" + strings.Join(many, ",") + "}":                          "",
		"{" + strings.Join(many, ",") + `, "NAME3": 1}`:              "NAME3",
		`{"a": {` + strings.Join(many, ",") + `}, "b": 1, "a" : {}}`: "a",
	} {
		name, isRepeated := FindRepeatedName([]byte(text))
		require.Equal(t, want != "", isRepeated, text)
		require.Equal(t, want, name)
	}
}
