package dialer

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func serve(t *testing.T, secret string, counter *Counter) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := Server(secret, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	go func() { _ = server.Serve(Listener(inner, counter)) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + inner.Addr().String()
}

func TestCallNeedsTheSecret(t *testing.T) {
	tests := map[string]struct {
		secret string
		status int
	}{
		"right": {secret: "fleet", status: http.StatusOK},
		"wrong": {secret: "other", status: http.StatusUnauthorized},
		"none":  {secret: "", status: http.StatusUnauthorized},
	}
	address := serve(t, "fleet", &Counter{})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response, err := Client(test.secret, &Counter{}).Get(address)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, test.status, response.StatusCode)
		})
	}
}

func TestBytesOfBothSidesAgree(t *testing.T) {
	var calling, serving Counter
	client := Client("fleet", &calling)
	address := serve(t, "fleet", &serving)
	const calls = 20
	for range calls {
		response, err := client.Get(address)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "HTTP/2.0", string(body))
		response.Body.Close()
	}
	require.Positive(t, calling.Sent.Load())
	// A byte is counted as sent after the write has returned, and the other side may have
	// read it before that.
	agree := func() bool {
		return serving.Received.Load() <= calling.Sent.Load() && calling.Received.Load() <= serving.Sent.Load()
	}
	require.Eventually(t, agree, 10*time.Second, time.Millisecond)
	perCall := (calling.Sent.Load() + calling.Received.Load()) / calls
	require.Less(t, perCall, uint64(200), "a persistent connection compresses repeated headers")
}

// Guards against a peer whose answer never ends and is collected in memory.
func TestEndlessAnswerIsCut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	piece := make([]byte, 64<<10)
	server := Server("fleet", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/head" {
			w.Header().Set("Long", string(bytes.Repeat([]byte("x"), 2*maxControlHeaders)))
			return
		}
		for err := error(nil); err == nil; {
			_, err = w.Write(piece)
		}
	}))
	go func() { _ = server.Serve(inner) }()
	t.Cleanup(func() { _ = server.Close() })
	client := Client("fleet", &Counter{})
	_, err = client.Get("http://" + inner.Addr().String() + "/head") //nolint:bodyclose // there is no answer
	require.Error(t, err)
	response, err := client.Get("http://" + inner.Addr().String())
	require.NoError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	require.Error(t, err)
	require.EqualValues(t, maxAnswerBytes, n)
}
