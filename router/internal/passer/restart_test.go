package passer

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

// Symptom: requests wait for their whole time, or run twice. Sequence: an endpoint
// that runs them is cut off, crashes behind the cut and starts again under its id;
// their connections stay open and silent. Cause: nothing told the router that what
// ran there had ended. What may not repeat must still not be sent again.
func TestRequestsAtARestartedEndpoint(t *testing.T) {
	tests := map[string]struct {
		path   string
		begun  int // events that came before
		body   string
		status int
		cut    bool // the client sees that the answer broke off
		again  bool // it is sent to another endpoint
	}{
		"a stream that may go on, begun": {path: "/list/", begun: 2, body: events1to(4), status: http.StatusOK, again: true},
		"a stream that may go on":        {path: "/list/", body: events1to(4), status: http.StatusOK, again: true},
		"a stream that may not, begun":   {path: "/draft/", begun: 2, body: events1to(2), status: http.StatusOK, cut: true},
		"a stream that may not":          {path: "/draft/", status: http.StatusBadGateway},
		"what may repeat":                {path: "/read/", body: "whole", status: http.StatusOK, again: true},
		"what may not repeat":            {path: "/book/", status: http.StatusBadGateway},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			running, relayed, end := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
			defer close(end)
			first := b.endpoint(func(conn net.Conn, request *http.Request) {
				if test.begun > 0 {
					beginStream(conn, request, 1, test.begun)
				}
				running <- struct{}{}
				<-end
			})
			listing := b.listing(first)
			sent := make(chan struct{}, 4)
			go func() {
				<-running
				if test.begun > 0 {
					<-relayed
				}
				b.endpoint(func(conn net.Conn, request *http.Request) {
					sent <- struct{}{}
					if test.path == "/read/" {
						reply(conn, request, http.StatusOK, "whole")
						return
					}
					beginStream(conn, request, test.begun+1, 4)
					endStream(conn)
				})
				listing.Started = time.Unix(2000, 0)
				b.balance.Update(listing)
			}()
			response := b.ask("POST", test.path, "prompt")
			begin := make([]byte, len(events1to(test.begun)))
			_, err := io.ReadFull(response.Body, begin)
			require.NoError(t, err)
			close(relayed)
			body, err := text(response)
			body = string(begin) + body
			require.Equal(t, test.cut, err != nil)
			require.Equal(t, test.status, response.StatusCode)
			if test.status == http.StatusOK {
				require.Equal(t, test.body, body)
			}
			require.Equal(t, test.again, len(sent) == 1)
			require.Len(t, b.news.crashes(), 1, "it may be what the endpoint crashed of")
		})
	}
}

// listing is how an endpoint of the bed is listed.
func (b *bed) listing(id string) lister.Listing {
	b.t.Helper()
	slot := b.balance.Pick(time.Now(), "desk", &balancer.Work{}, func(other string) bool { return other != id })
	require.NotNil(b.t, slot)
	defer slot.End(time.Now(), balancer.Cancelled)
	return lister.Listing{ID: id, Service: "desk", State: lister.Ready, Slots: 6, Address: slot.Address}
}
