package proxier

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clients that together declare more bytes than the instance has memory: a body
// without available memory is refused as not run, and memory is released after each request.
func TestTotalBodyMemoryIsBounded(t *testing.T) {
	f := newFixture(t)
	f.proxier.bodyMemory.limit = 300 << 10
	waiting, release := make(chan struct{}), make(chan struct{})
	f.endpoint(func(conn net.Conn, request *http.Request) {
		if request.URL.Path == "/read/held" {
			close(waiting)
			<-release
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		reply(conn, request, http.StatusOK, fmt.Sprint(len(body)))
	})
	large := strings.Repeat("x", 200<<10)
	done := make(chan string)
	go func() {
		answer, err := f.fetch("POST", "/read/held", large)
		if err != nil {
			answer = err.Error()
		}
		done <- answer
	}()
	<-waiting
	refused := f.do("POST", "/read/", large)
	_, err := readText(refused)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	small, err := f.fetch("POST", "/read/", "small")
	require.NoError(t, err)
	require.Equal(t, "5", small, "a small body still fits")
	close(release)
	require.Equal(t, fmt.Sprint(len(large)), <-done)
	again, err := f.fetch("POST", "/read/", large)
	require.NoError(t, err)
	require.Equal(t, fmt.Sprint(len(large)), again)
	require.Eventually(t, func() bool { return f.proxier.bodyMemory.reserved.Load() == 0 }, waitTimeout, pollInterval)
}

// Guards against memory that is reserved for a client that declares a length and sends nothing.
func TestUnreceivedBodyReservesLittleMemory(t *testing.T) {
	f := newFixture(t)
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /read/ HTTP/1.1\r\nHost: h\r\n%s: 1\r\nContent-Length: 1000000\r\n\r\n", idHeader)
	require.Eventually(t, func() bool { return f.proxier.bodyMemory.reserved.Load() > 0 }, waitTimeout, pollInterval)
	require.LessOrEqual(t, f.proxier.bodyMemory.reserved.Load(), int64(initialBodyBytes))
}

// Guards against bodies that are altered because they arrive in several parts.
func TestBodiesOfAnyLengthArriveUnchanged(t *testing.T) {
	f := newFixture(t)
	f.endpoint(func(conn net.Conn, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		reply(conn, request, http.StatusOK, string(body))
	})
	for _, length := range []int{1, initialBodyBytes - 1, initialBodyBytes, initialBodyBytes + 1, 2 * initialBodyBytes, 5*initialBodyBytes + 7} {
		body := bytes.Repeat([]byte("abcdefg"), length/7+1)[:length]
		for name, reader := range map[string]io.Reader{"known": bytes.NewReader(body), "chunked": io.MultiReader(bytes.NewReader(body))} {
			request, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+f.address+"/read/", reader)
			require.NoError(t, err)
			request.Host = "h"
			request.Header.Set(idHeader, fmt.Sprint("id-", name, length))
			response, err := f.client.Do(request)
			require.NoError(t, err)
			answer, err := readText(response)
			require.NoError(t, err)
			require.Equal(t, string(body), answer, "%s %d", name, length)
		}
	}
}

// Guards against clients that read nothing: each would hold its request, an in-flight slot and a
// connection to the endpoint indefinitely.
func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	f := newFixture(t)
	f.endpoint(func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 1)
		piece := strings.Repeat("x", 32<<10) + "\n\n"
		for {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return
			}
		}
	})
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /draft/ HTTP/1.1\r\nHost: h\r\n%s: 1\r\n%s: 200\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", idHeader, deadlineHeader)
	require.Eventually(t, func() bool { return f.proxier.Running() == 1 }, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return f.proxier.Running() == 0 }, waitTimeout, pollInterval)
}

// Guards against an answer that is cut off because the write deadline of an earlier request on the same
// connection still applies.
func TestWriteDeadlineEndsWithItsRequest(t *testing.T) {
	f := newFixture(t)
	f.endpoint(answerWith("here"))
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	ask := func(path string) int {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n%s: 1\r\n\r\n", path, idHeader)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = readText(response)
		require.NoError(t, err)
		return response.StatusCode
	}
	begin := time.Now()
	require.Equal(t, http.StatusOK, ask("/brief/"))
	for time.Since(begin) < writeGrace+200*time.Millisecond {
		require.Equal(t, http.StatusNotFound, ask("/nowhere/"))
	}
}

// Guards against a large reservation that fails and makes a small one beside it fail, which cuts a stream.
func TestFailedReservationDisturbsNoOther(t *testing.T) {
	const limit, rounds = 100, 100_000
	m := memory{limit: limit}
	var group sync.WaitGroup
	group.Go(func() {
		for range rounds {
			if m.reserve(limit + 1) {
				t.Error("more than the limit was reserved")
			}
		}
	})
	for range rounds {
		if !m.reserve(1) {
			t.Error("a reservation within the limit failed")
			break
		}
		m.release(1)
	}
	group.Wait()
	require.Zero(t, m.reserved.Load())
}
