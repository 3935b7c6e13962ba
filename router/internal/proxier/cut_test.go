package proxier

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against connections of clients that are closed without a complete answer and without a
// reason in logs and metrics.
func TestCutConnectionNamesItsCause(t *testing.T) {
	tests := map[string]struct {
		by    string
		serve func(f *fixture, conn net.Conn, request *http.Request)
		send  func(f *fixture)
	}{
		"the endpoint breaks off": {by: "endpoint", serve: func(_ *fixture, conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 2)
			conn.Close()
		}},
		"the endpoint restarts": {by: "restart", serve: func(_ *fixture, conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 2)
			awaitClose(conn)
		}, send: func(f *fixture) {
			response := f.do("POST", "/draft/", "prompt")
			defer response.Body.Close()
			listing := f.listing("i-1")
			listing.Started = time.Unix(2000, 0)
			f.balancer.Update(listing)
			_, err := readText(response)
			require.Error(f.t, err)
		}},
		"the client leaves": {by: "client", serve: func(_ *fixture, conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 2)
			awaitClose(conn)
		}, send: func(f *fixture) {
			ctx, cancel := context.WithCancel(f.t.Context())
			response, err := f.send(ctx, "POST", "/draft/", "prompt")
			require.NoError(f.t, err)
			cancel()
			response.Body.Close()
		}},
		"the body breaks off": {by: "body", send: func(f *fixture) {
			conn, err := net.Dial("tcp", f.address)
			require.NoError(f.t, err)
			_, err = conn.Write([]byte("POST /draft/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 9\r\n\r\nhal"))
			require.NoError(f.t, err)
			require.NoError(f.t, conn.Close())
		}},
		"the deadline passes": {by: "deadline", serve: func(_ *fixture, conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 2)
			awaitClose(conn)
		}, send: func(f *fixture) {
			_, err := f.fetch("POST", "/draft/", "prompt", deadlineHeader, "500")
			require.Error(f.t, err)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			lines := make(chan string, 16)
			f.proxier.options.Log = zerolog.New(lineWriter(lines))
			registry := prometheus.NewRegistry()
			f.proxier.options.Metrics = NewMetrics(registry)
			f.endpoint(func(conn net.Conn, request *http.Request) { test.serve(f, conn, request) })
			if test.send == nil {
				test.send = func(f *fixture) {
					_, err := f.fetch("POST", "/draft/", "prompt")
					require.Error(f.t, err)
				}
			}
			test.send(f)
			require.Equal(t, test.by, awaitRequestLine(t, lines))
			require.Equal(t, map[string]float64{test.by: 1}, counted(t, registry, "shallotkeel_passed_cuts_total"))
		})
	}
}

// counted returns a counter by the values of its labels, in the order of their names.
func counted(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	counts := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var values []string
			for _, label := range metric.GetLabel() {
				values = append(values, label.GetValue())
			}
			counts[strings.Join(values, " ")] = metric.GetCounter().GetValue()
		}
	}
	return counts
}

// awaitClose returns once the router has closed the connection.
func awaitClose(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1)) // either way the connection has ended
}

// lineWriter passes log lines on.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// awaitRequestLine returns the cause in the line of a request.
func awaitRequestLine(t *testing.T, lines <-chan string) string {
	t.Helper()
	var read struct {
		CutBy string `json:"cut_by"`
	}
	awaitLine(t, lines, "request", &read)
	return read.CutBy
}

// awaitLine decodes the next log line with a message.
func awaitLine(t *testing.T, lines <-chan string, message string, into any) {
	t.Helper()
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, `"message":"`+message+`"`) {
				require.NoError(t, json.Unmarshal([]byte(line), into))
				return
			}
		case <-time.After(waitTimeout):
			require.Fail(t, "no log line", message)
		}
	}
}
