package proxier

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
)

// Guards against requests that wait until their deadline, or run twice, after an endpoint restarts: it
// is partitioned, crashes behind the partition and starts again under its id, while its old connections
// stay open and silent. Non-repeatable requests must still not be sent again.
func TestRequestsAtARestartedEndpoint(t *testing.T) {
	tests := map[string]struct {
		path   string
		begun  int // events that arrived before the restart
		body   string
		status int
		cut    bool // the client sees that the answer is truncated
		again  bool // the request is sent to another endpoint
	}{
		"a resumable stream, begun":             {path: "/list/", begun: 2, body: eventsUpTo(4), status: http.StatusOK, again: true},
		"a resumable stream":                    {path: "/list/", body: eventsUpTo(4), status: http.StatusOK, again: true},
		"a stream that is not resumable, begun": {path: "/draft/", begun: 2, body: eventsUpTo(2), status: http.StatusOK, cut: true},
		"a stream that is not resumable":        {path: "/draft/", status: http.StatusBadGateway},
		"a repeatable request":                  {path: "/read/", body: "whole", status: http.StatusOK, again: true},
		"a non-repeatable request":              {path: "/book/", status: http.StatusBadGateway},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			running, relayed, end := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
			defer close(end)
			first := f.endpoint(func(conn net.Conn, request *http.Request) {
				if test.begun > 0 {
					beginStream(conn, request, 1, test.begun)
				}
				running <- struct{}{}
				<-end
			})
			listing := f.listing(first)
			sent := make(chan struct{}, 4)
			go func() {
				<-running
				if test.begun > 0 {
					<-relayed
				}
				f.endpoint(func(conn net.Conn, request *http.Request) {
					sent <- struct{}{}
					if test.path == "/read/" {
						reply(conn, request, http.StatusOK, "whole")
						return
					}
					beginStream(conn, request, test.begun+1, 4)
					endStream(conn)
				})
				listing.Started = time.Unix(2000, 0)
				f.balancer.Update(listing)
			}()
			response := f.do("POST", test.path, "prompt")
			begin := make([]byte, len(eventsUpTo(test.begun)))
			_, err := io.ReadFull(response.Body, begin)
			require.NoError(t, err)
			close(relayed)
			body, err := readText(response)
			body = string(begin) + body
			require.Equal(t, test.cut, err != nil)
			require.Equal(t, test.status, response.StatusCode)
			if test.status == http.StatusOK {
				require.Equal(t, test.body, body)
			}
			require.Equal(t, test.again, len(sent) == 1)
			_, crashed := f.crashes.Lifetimes()
			require.Equal(t, 1, crashed, "the request may have crashed the endpoint")
		})
	}
}

// listing returns the listing of an endpoint of the fixture.
func (f *fixture) listing(id string) lister.Listing {
	f.t.Helper()
	slot := f.balancer.Pick(time.Now(), "desk", &balancer.Work{}, func(other string) bool { return other != id })
	require.NotNil(f.t, slot)
	defer slot.End(time.Now(), balancer.Cancelled)
	return lister.Listing{ID: id, Service: "desk", State: lister.Ready, Slots: 6, Address: slot.Address, Version: slot.Version}
}
