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

// Each invalid request body in testdata/bad must fail with a RequestError that has the
// text of its golden file.
func TestBadRequests(t *testing.T) {
	cases.AssertRejected(t, "testdata/bad", ".json", func(t *testing.T, name string, text []byte) error {
		_, err := caller.ParsePrompt(text, strings.HasSuffix(name, ".chat"))
		var requestError *caller.RequestError
		require.ErrorAs(t, err, &requestError)
		return err
	})
}

// A complete stream has one event per token, then the finish reason and the end event.
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

// Two prompts have equal prefix hashes exactly up to the length at which their texts
// differ.
func TestPrefixHashes(t *testing.T) {
	shared := strings.Repeat("a", 4096)
	first := caller.PrefixHashes(shared + strings.Repeat("b", 4096))
	second := caller.PrefixHashes(shared + strings.Repeat("c", 4096))
	require.Len(t, first, 2)
	require.Equal(t, first[:2], second[:2])
	third := caller.PrefixHashes(strings.Repeat("a", 2048) + strings.Repeat("c", 4096))
	require.Equal(t, first[0], third[0])
	require.NotEqual(t, first[1], third[1])
}

// No body may make the decoder panic: it returns a prompt with a text, or a
// RequestError.
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
		var requestError *caller.RequestError
		require.ErrorAs(t, err, &requestError)
	})
}
