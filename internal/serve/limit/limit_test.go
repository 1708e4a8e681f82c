package limit_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/limit"
)

// Guards against a body that is cut at the limit and passed on as the whole.
func TestBodyOverLimitIsNotCut(t *testing.T) {
	t.Parallel()
	for size, isWhole := range map[int]bool{0: true, 9: true, 10: true, 11: false, 5000: false} {
		text := strings.Repeat("x", size)
		for name, source := range map[string]io.Reader{
			"whole": strings.NewReader(text), "bytewise": iotest.OneByteReader(strings.NewReader(text)),
			"withEnd": iotest.DataErrReader(strings.NewReader(text)),
		} {
			content, err := limit.ReadAll(source, 10)
			if isWhole {
				require.NoError(t, err, "%d bytes, %s", size, name)
				require.Equal(t, text, string(content))
				continue
			}
			var exceeded *limit.ExceededError
			require.ErrorAs(t, err, &exceeded, "%d bytes, %s", size, name)
			require.Equal(t, int64(10), exceeded.Bytes)
			require.Empty(t, content)
		}
	}
}

// Guards against a failed read that is taken for the end of the source.
func TestFailedReadIsReported(t *testing.T) {
	t.Parallel()
	source := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := limit.ReadAll(source, 10)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a response without end that a client reads into memory.
func TestResponseOverLimitFails(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, strings.Repeat("x", 1024)); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: limit.NewTransport(http.DefaultTransport, 5000)}
	response, err := client.Get(server.URL)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	var exceeded *limit.ExceededError
	require.ErrorAs(t, err, &exceeded)
	require.NoError(t, response.Body.Close())
}

// Guards against large readers that together hold more than the budget, or leave nothing
// for small ones.
func TestSharesStayWithinBudget(t *testing.T) {
	t.Parallel()
	const total = 1 << 20
	budget := limit.NewBudget(total)
	var shares []*limit.Share
	var mutex sync.Mutex
	var group sync.WaitGroup
	for range 15 {
		group.Go(func() {
			share := budget.NewShare()
			for share.Take(64) == nil {
				if budget.Free() < 0 {
					t.Error("more than the budget was taken")
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			shares = append(shares, share)
		})
	}
	group.Wait()
	for range 100 {
		small := budget.NewShare()
		require.NoError(t, small.Take(total/256))
		shares = append(shares, small)
	}
	for _, share := range shares {
		share.Release()
	}
	require.Equal(t, int64(total), budget.Free())
}

// Guards against a reader that keeps bytes which its share could not take.
func TestShareReaderFailsWithoutMemory(t *testing.T) {
	t.Parallel()
	budget := limit.NewBudget(1000)
	share := budget.NewShare()
	content, err := limit.ReadAll(share.NewReader(strings.NewReader(strings.Repeat("x", 5000))), 10_000)
	var exhausted *limit.ExhaustedError
	require.ErrorAs(t, err, &exhausted)
	require.Empty(t, content)
	share.Release()
	require.Equal(t, int64(1000), budget.Free())
}
