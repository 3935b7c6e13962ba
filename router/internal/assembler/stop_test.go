package assembler

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned stop that closes connections whose requests are read after the listener has
// been closed.
func TestRequestReadAfterTheCloseIsAnswered(t *testing.T) {
	p := startRouter(t)
	address := strings.TrimPrefix(p.base, "http://")
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(conn, "GET /v1/services/app/x HTTP/1.1\r\nHo")
	require.NoError(t, err)
	p.stop()
	require.Eventually(t, func() bool {
		probe, err := net.Dial("tcp", address)
		if err == nil {
			probe.Close()
		}
		return err != nil
	}, waitTimeout, time.Millisecond)
	_, err = io.WriteString(conn, "st: h\r\nAuthorization: Bearer club-token\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}
