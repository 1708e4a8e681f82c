package conns

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that is cut off because its connection is closed while bytes of
// its caller are unread.
func TestAnswerIsWholeThoughNextRequestIsNotRead(t *testing.T) {
	const size = 8 << 20
	proceed := make(chan struct{})
	server := startServer(t, nil, nil, func(w http.ResponseWriter, _ *http.Request) {
		<-proceed
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write([]byte(strings.Repeat("x", size)))
	})
	client, _ := server.dial()
	send(t, client, plainRequest)
	time.Sleep(20 * time.Millisecond)
	send(t, client, plainRequest)
	server.tracker.Announce()
	close(proceed)
	reader := bufio.NewReader(slowReader{client})
	response, body := readAnswer(t, reader)
	require.True(t, response.Close)
	require.Len(t, body, size)
}

type slowReader struct {
	inner interface{ Read([]byte) (int, error) }
}

func (r slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.inner.Read(buffer[:min(len(buffer), 16<<10)])
}
