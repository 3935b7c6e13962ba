package passer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// flood is one request of a workspace that asks for far more than its share.
const flood = "POST /draft/x HTTP/1.1\r\nHost: h\r\n" + idHeader + ": 9c41d07be2a35f68\r\n" +
	"Authorization: Bearer key\r\nX-Shallotkeel-Model: m\r\nX-Shallotkeel-Token-Counts: 1460,80\r\n" +
	"X-Shallotkeel-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n" + deadlineHeader + ": 12000\r\n" +
	"Content-Length: 2400\r\n\r\n"

// BenchmarkRefusal is what a refusal costs, the client's side of the connection
// included.
func BenchmarkRefusal(b *testing.B) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		b.Run(name, func(b *testing.B) {
			bed := newBed(&testing.T{})
			bed.passer.options.Most = 1
			bed.passer.options.Lags = func() bool { return true }
			for range 3 {
				bed.passer.drain.enter()
			}
			text := flood + strings.Repeat("x", 2400)
			var conn net.Conn
			var reader *bufio.Reader
			for b.Loop() {
				if conn == nil {
					var err error
					conn, err = net.Dial("tcp", bed.address)
					require.NoError(b, err)
					reader = bufio.NewReader(conn)
				}
				_, err := io.WriteString(conn, text)
				require.NoError(b, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(b, err)
				require.Equal(b, http.StatusServiceUnavailable, response.StatusCode)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(b, err)
				if !kept {
					conn.Close()
					conn = nil
				}
			}
		})
	}
	_ = fmt.Sprint
	_ = time.Now
}
