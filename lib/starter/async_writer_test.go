package starter

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests that hang because the log is not read: a synchronous
// write of a log line blocks the goroutine that processes the requests.
func TestLogNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	s := newAsyncWriter(writer)
	for range 3 * maxQueuedLines {
		n, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	var read bytes.Buffer
	done := make(chan error, 1)
	go func() {
		_, err := io.Copy(&read, reader)
		done <- err
	}()
	s.close()
	require.NoError(t, writer.Close())
	require.NoError(t, <-done)
	require.Contains(t, read.String(), "log lines were dropped")
	require.LessOrEqual(t, strings.Count(read.String(), "line\n"), maxQueuedLines+maxBatchBytes)
}

func TestLogKeepsItsOrder(t *testing.T) {
	var written bytes.Buffer
	s := newAsyncWriter(&written)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := s.Write([]byte(line))
		require.NoError(t, err)
	}
	s.close()
	require.Equal(t, "a\nb\nc\n", written.String())
}
