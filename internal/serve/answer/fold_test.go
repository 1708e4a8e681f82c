package answer_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/answer"
)

// Guards against a folded line that is missed where the answer arrives in pieces, and against a body that is taken for
// a part of the head.
func TestFoldedLineIsRejected(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nA: b\r\n"
	for name, c := range map[string]struct {
		text     string
		isFolded bool
	}{
		"blank":                       {head + " c\r\n\r\n", true},
		"tab":                         {head + "\tc\r\n\r\n", true},
		"line feeds alone":            {"HTTP/1.1 200 OK\nA: b\n c\n\n", true},
		"only a blank":                {head + " \r\n\r\n", true},
		"after the status":            {"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", true},
		"in an informational answer":  {"HTTP/1.1 103 Early Hints\r\nA: b\r\n c\r\n\r\n" + head + "\r\n", true},
		"after informational answers": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + head + " c\r\n\r\n", true},
		"after spaces and an informational answer": {"HTTP/1.1   103 Early Hints\r\n\r\n" + head + " c\r\n\r\n", true},
		"none":               {head + "\r\n", false},
		"blanks in values":   {"HTTP/1.1 200 OK \r\nA: \tb c \r\n\r\n", false},
		"in the body":        {head + "\r\nid: 1\n data: x\n\n d", false},
		"answer in the body": {head + "\r\n" + head + " c\r\n\r\n", false},
		"no head":            {"\x16\x03\x01\n \n\t", false},
		"empty":              {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, piece := range []int{1, 2, 7, 1000} {
				client, server := openPair(t)
				_, err := io.WriteString(server, c.text)
				require.NoError(t, err)
				require.NoError(t, server.Close())
				content, err := io.ReadAll(pieces{client, piece})
				if c.isFolded {
					var headErr *answer.HeadError
					require.ErrorAs(t, err, &headErr, "%d bytes", piece)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, c.text, string(content))
			}
		})
	}
}

// pieces reads at most size bytes at a time.
type pieces struct {
	io.Reader
	size int
}

func (p pieces) Read(buffer []byte) (int, error) {
	return p.Reader.Read(buffer[:min(len(buffer), p.size)])
}
