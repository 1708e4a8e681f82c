package caller_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/cases"
	"mustardhook/internal/wire/caller"
)

// Every bad request gives a typed error with place and field.
func TestBadRequests(t *testing.T) {
	cases.AssertRefused(t, "testdata/bad", ".json", func(t *testing.T, name string, text []byte) error {
		_, err := caller.ParsePrompt(text, strings.HasSuffix(name, ".chat"))
		var fault *caller.RequestError
		require.ErrorAs(t, err, &fault)
		return err
	})
}

// A stream's events carry every token, and only a whole one ends with the mark.
func TestStream(t *testing.T) {
	prompt, err := caller.ParsePrompt([]byte(`{"model": "m:a", "prompt": "hello", "max_tokens": 2, "stream": true}`), false)
	require.NoError(t, err)
	require.Equal(t, "a", string(prompt.Adapter))
	stream := caller.NewStreamEncoder("r1", prompt, 5000)
	text := stream.AppendToken(nil, "one \"quoted\"")
	text = stream.AppendEnd(text, prompt, 2)
	goldie.New(t).Assert(t, "stream", text)
}

func TestProblem(t *testing.T) {
	problem := caller.Problem{Name: "promptTooLong", Status: 413, Field: "prompt", Request: "r1", RetryAfter: 1000}
	goldie.New(t).Assert(t, "problem", append(caller.EncodeProblem(problem), '\n'))
}

// Prefix hashes of two prompts agree as long as their blocks do.
func TestPrefixHashes(t *testing.T) {
	shared := strings.Repeat("a", 4096)
	one := caller.PrefixHashes(shared + strings.Repeat("b", 4096))
	two := caller.PrefixHashes(shared + strings.Repeat("c", 4096))
	require.Len(t, one, 2)
	require.Equal(t, one[:2], two[:2])
	three := caller.PrefixHashes(strings.Repeat("a", 2048) + strings.Repeat("c", 4096))
	require.Equal(t, one[0], three[0])
	require.NotEqual(t, one[1], three[1])
}

// No body makes the codec panic.
func FuzzPrompt(f *testing.F) {
	files, err := filepath.Glob("testdata/bad/*.json")
	require.NoError(f, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(text, true)
		f.Add(text, false)
	}
	f.Add([]byte(`{"model": "m", "prompt": "x", "stop": ["a"]}`), false)
	f.Fuzz(func(t *testing.T, text []byte, chat bool) {
		prompt, err := caller.ParsePrompt(text, chat)
		if err == nil {
			require.NotEmpty(t, prompt.Text)
			require.Positive(t, prompt.Tokens())
			return
		}
		var fault *caller.RequestError
		require.ErrorAs(t, err, &fault)
	})
}
