package passer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/versioner"
)

const resumesHeader = "Resumes"

// addVersion starts an endpoint whose software has a version.
func (b *bed) addVersion(version string, serve func(conn net.Conn, request *http.Request)) {
	b.next++
	b.balance.Update(lister.Listing{
		ID: fmt.Sprint("i-", b.next), Service: "desk", State: lister.Ready, Slots: 6, Address: b.listen(serve), Version: version,
	})
}

// A stream whose endpoint was lost went on at other software within the same answer.
func TestStreamGoesOnAtItsVersionWithinAnAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		first  string
		others []string
		goesOn bool
	}{
		"the same":                   {first: "v1", others: []string{"v1"}, goesOn: true},
		"another":                    {first: "v1", others: []string{"v2"}},
		"the same among others":      {first: "v1", others: []string{"v2", "v2", "v1", "v2"}, goesOn: true},
		"another of which is known":  {first: "v1", others: []string{""}},
		"unknown":                    {others: []string{"v1"}},
		"unknown, and others' too":   {others: []string{""}},
		"longer ones that begin so":  {first: "v1", others: []string{"v1.1", "v10"}},
		"the same, not the cheapest": {first: "v1", others: []string{"v2", "v1"}, goesOn: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			var goneOn atomic.Pointer[string]
			serve := func(version string) func(net.Conn, *http.Request) {
				return func(conn net.Conn, request *http.Request) {
					if request.Header.Get("Last-Event-Id") == "" {
						beginStream(conn, request, 1, 3)
						// Only now: the stream is to begin at the first one.
						for _, other := range test.others {
							b.addVersion(other, func(conn net.Conn, request *http.Request) {
								goneOn.Store(&other)
								beginStream(conn, request, 4, 6)
								endStream(conn)
							})
						}
						conn.Close()
						return
					}
					t.Errorf("it came back to an endpoint of %q that broke", version)
				}
			}
			b.addVersion(test.first, serve(test.first))
			body, err := b.fetch("POST", "/list/", "prompt")
			if test.goesOn {
				require.NoError(t, err)
				require.Equal(t, events1to(6), body)
				require.Equal(t, test.first, *goneOn.Load())
				return
			}
			require.Error(t, err)
			require.Equal(t, events1to(3), body)
			require.Nil(t, goneOn.Load(), "it went on elsewhere")
		})
	}
}

// A stream that its client took up at a router which did not begin it went on at any version.
func TestStreamThatNobodyKnowsIsRefusedAtOnce(t *testing.T) {
	for name, header := range map[string][]string{
		"of another router": {"Last-Event-Id", "3", resumesHeader, "begun-elsewhere"},
		"without its name":  {"Last-Event-Id", "3"},
		"without an event":  {resumesHeader, "begun-elsewhere"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.addVersion("v1", func(net.Conn, *http.Request) { t.Error("it was guessed where it goes on") })
			response := b.ask("POST", "/list/", "prompt", header...)
			defer response.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Empty(t, response.Header.Get("Retry-After"), "it will be as unknown later")
		})
	}
}

// A stream that its client took up at the router which began it went on at any version.
func TestStreamThatIsTakenUpGoesOnAtItsVersion(t *testing.T) {
	b := newBed(t)
	b.addVersion("v1", func(conn net.Conn, request *http.Request) {
		if request.Header.Get("Last-Event-Id") == "" {
			beginStream(conn, request, 1, 3)
			conn.Close()
			return
		}
		t.Error("it came back to the endpoint that broke")
	})
	_, err := b.fetch("POST", "/list/", "prompt", idHeader, "first")
	require.Error(t, err)
	var asked atomic.Int64
	for range 3 {
		b.addVersion("v2", func(net.Conn, *http.Request) { t.Error("it went on at other software") })
		b.addVersion("v1", func(conn net.Conn, request *http.Request) {
			asked.Add(1)
			beginStream(conn, request, 4, 6)
			endStream(conn)
		})
	}
	for try := range 6 {
		body, err := b.fetch("POST", "/list/", "prompt", idHeader, fmt.Sprint("try-", try), "Last-Event-Id", "3", resumesHeader, "first")
		require.NoError(t, err)
		require.Equal(t, event(4)+event(5)+event(6), body)
	}
	require.EqualValues(t, 6, asked.Load())
}

// A stream was refused at a router that had been told of no endpoint of its version, though there are
// some.
func TestStreamGoesOnAtAnEndpointThatIsLearntOf(t *testing.T) {
	for name, learns := range map[string]bool{"there is one": true, "there is none": false} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.addVersion("v2", func(net.Conn, *http.Request) { t.Error("it went on at other software") })
			b.passer.options.Streams = wider{known: versioner.Origin{Service: "desk", Version: "v1"}, widen: func() {
				if !learns {
					return
				}
				b.addVersion("v1", func(conn net.Conn, request *http.Request) {
					beginStream(conn, request, 4, 6)
					endStream(conn)
				})
			}}
			response := b.ask("POST", "/list/", "prompt", "Last-Event-Id", "3", resumesHeader, "first")
			defer response.Body.Close()
			if learns {
				require.Equal(t, http.StatusOK, response.StatusCode)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Empty(t, response.Header.Get("Retry-After"), "the last one is gone")
		})
	}
}

// wider knows one origin, and learns of endpoints when it is asked for more.
type wider struct {
	known versioner.Origin
	widen func()
}

func (w wider) Begun(versioner.StreamID, versioner.Origin) {}

func (w wider) Find(context.Context, versioner.StreamID) (versioner.Origin, bool) {
	return w.known, true
}

func (w wider) Widen(context.Context, versioner.Origin) { w.widen() }
