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
func TestShareFailsWithoutMemory(t *testing.T) {
	t.Parallel()
	for _, length := range []int64{-1, 5000} {
		budget := limit.NewBudget(1000)
		share := budget.NewShare()
		content, err := share.ReadAll(strings.NewReader(strings.Repeat("x", 5000)), length, 10_000)
		var exhausted *limit.ExhaustedError
		require.ErrorAs(t, err, &exhausted)
		require.Empty(t, content)
		share.Release()
		require.Equal(t, int64(1000), budget.Free())
	}
}

// Guards against a body that is cut, or whose buffer is larger than what its share has taken.
func TestShareHoldsWhatIsRead(t *testing.T) {
	t.Parallel()
	const total = 1 << 20
	for _, size := range []int{0, 1, 511, 512, 16 << 10, 16<<10 + 1, 70_000} {
		for _, length := range []int64{-1, int64(size), 1, 90_000} {
			budget := limit.NewBudget(total)
			share := budget.NewShare()
			content, err := share.ReadAll(iotest.HalfReader(strings.NewReader(strings.Repeat("x", size))), length, 100_000)
			require.NoError(t, err)
			require.Len(t, content, size)
			require.Equal(t, int64(total-cap(content)), budget.Free(), "%d bytes, %d claimed", size, length)
		}
	}
}

// Guards against a reader that allocates what its source claims to have.
func TestClaimedLengthTakesNoMemory(t *testing.T) {
	t.Parallel()
	budget := limit.NewBudget(1 << 20)
	share := budget.NewShare()
	_, err := share.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 900_000, 1_000_000)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Greater(t, budget.Free(), int64(1<<20-20_000))
}

// Guards against budgets that together hold more than the one that they are parts of.
func TestPartsStayWithinWhole(t *testing.T) {
	t.Parallel()
	whole := limit.NewBudget(1000)
	first, second := whole.NewPart(2000).NewShare(), whole.NewPart(3000).NewPart(2000).NewShare()
	for first.Take(1) == nil || second.Take(1) == nil {
	}
	require.Zero(t, whole.Free())
	first.Release()
	second.Release()
	require.Equal(t, int64(1000), whole.Free())
}
