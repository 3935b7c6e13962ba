package passer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clients that together name more bytes than the instance has memory: what there
// is no room for is refused as not run, and room is given back.
func TestBodiesTogetherAreBounded(t *testing.T) {
	b := newBed(t)
	b.passer.holding.most = 300 << 10
	waiting, release := make(chan struct{}), make(chan struct{})
	b.endpoint(func(conn net.Conn, request *http.Request) {
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
		answer, err := b.fetch("POST", "/read/held", large)
		if err != nil {
			answer = err.Error()
		}
		done <- answer
	}()
	<-waiting
	refused := b.ask("POST", "/read/", large)
	_, err := text(refused)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	small, err := b.fetch("POST", "/read/", "small")
	require.NoError(t, err)
	require.Equal(t, "5", small, "there is room for small ones")
	close(release)
	require.Equal(t, fmt.Sprint(len(large)), <-done)
	again, err := b.fetch("POST", "/read/", large)
	require.NoError(t, err)
	require.Equal(t, fmt.Sprint(len(large)), again)
	require.Eventually(t, func() bool { return b.passer.holding.held.Load() == 0 }, patience, tick)
}

// Guards against a client that names a length and sends nothing: little is held for it.
func TestLittleIsHeldForWhatHasNotCome(t *testing.T) {
	b := newBed(t)
	conn, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /read/ HTTP/1.1\r\nHost: h\r\n%s: 1\r\nContent-Length: 1000000\r\n\r\n", idHeader)
	require.Eventually(t, func() bool { return b.passer.holding.held.Load() > 0 }, patience, tick)
	require.LessOrEqual(t, b.passer.holding.held.Load(), int64(firstRoom))
}

// Guards against bodies that change on their way because they come in parts.
func TestBodiesOfAnyLengthArriveWhole(t *testing.T) {
	b := newBed(t)
	b.endpoint(func(conn net.Conn, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		reply(conn, request, http.StatusOK, string(body))
	})
	for _, length := range []int{1, firstRoom - 1, firstRoom, firstRoom + 1, 2 * firstRoom, 5*firstRoom + 7} {
		body := bytes.Repeat([]byte("abcdefg"), length/7+1)[:length]
		for name, reader := range map[string]io.Reader{"known": bytes.NewReader(body), "chunked": io.MultiReader(bytes.NewReader(body))} {
			request, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+b.address+"/read/", reader)
			require.NoError(t, err)
			request.Host = "h"
			request.Header.Set(idHeader, fmt.Sprint("id-", name, length))
			response, err := b.client.Do(request)
			require.NoError(t, err)
			answer, err := text(response)
			require.NoError(t, err)
			require.Equal(t, string(body), answer, "%s %d", name, length)
		}
	}
}

// Guards against clients that read nothing: each would hold its request, a place among those
// under way and its endpoint's connection for good.
func TestClientThatDoesNotReadIsCut(t *testing.T) {
	b := newBed(t)
	b.endpoint(func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 1)
		piece := strings.Repeat("x", 32<<10) + "\n\n"
		for {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return
			}
		}
	})
	conn, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /draft/ HTTP/1.1\r\nHost: h\r\n%s: 1\r\n%s: 200\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", idHeader, deadlineHeader)
	require.Eventually(t, func() bool { return b.passer.Running() == 1 }, patience, tick)
	require.Eventually(t, func() bool { return b.passer.Running() == 0 }, patience, tick)
}

// Guards against an answer that is cut because an earlier request on its connection had less
// time.
func TestBoundOnWritesEndsWithItsRequest(t *testing.T) {
	b := newBed(t)
	b.endpoint(answering("here"))
	conn, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	ask := func(path string) int {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n%s: 1\r\n\r\n", path, idHeader)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = text(response)
		require.NoError(t, err)
		return response.StatusCode
	}
	begin := time.Now()
	require.Equal(t, http.StatusOK, ask("/brief/"))
	for time.Since(begin) < writeGrace+200*time.Millisecond {
		require.Equal(t, http.StatusNotFound, ask("/nowhere/"))
	}
}
