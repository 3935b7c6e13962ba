package proxier

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/versioner"
)

const resumesHeader = "Resumes"

// addVersion starts and lists an endpoint with a software version.
func (f *fixture) addVersion(version string, serve func(conn net.Conn, request *http.Request)) {
	f.lastID++
	f.balancer.Update(lister.Listing{
		ID: fmt.Sprint("i-", f.lastID), Service: "desk", State: lister.Ready, Slots: 6, Address: f.listen(serve), Version: version,
	})
}

// Guards against a stream that is resumed at another software version within the same answer, after
// its endpoint was lost.
func TestStreamResumesAtItsVersionWithinAnAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		first   string
		others  []string
		resumes bool
	}{
		"the same version":                       {first: "v1", others: []string{"v1"}, resumes: true},
		"another":                                {first: "v1", others: []string{"v2"}},
		"the same among other versions":          {first: "v1", others: []string{"v2", "v2", "v1", "v2"}, resumes: true},
		"another, unknown version":               {first: "v1", others: []string{""}},
		"unknown":                                {others: []string{"v1"}},
		"all versions unknown":                   {others: []string{""}},
		"versions with the same prefix":          {first: "v1", others: []string{"v1.1", "v10"}},
		"the same, not at the cheapest endpoint": {first: "v1", others: []string{"v2", "v1"}, resumes: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var resumedAt atomic.Pointer[string]
			serve := func(version string) func(net.Conn, *http.Request) {
				return func(conn net.Conn, request *http.Request) {
					if request.Header.Get("Last-Event-Id") == "" {
						beginStream(conn, request, 1, 3)
						// The others are listed only now, so that the stream begins at the first endpoint.
						for _, other := range test.others {
							f.addVersion(other, func(conn net.Conn, request *http.Request) {
								resumedAt.Store(&other)
								beginStream(conn, request, 4, 6)
								endStream(conn)
							})
						}
						conn.Close()
						return
					}
					t.Errorf("the stream returned to an endpoint of version %q that broke", version)
				}
			}
			f.addVersion(test.first, serve(test.first))
			body, err := f.fetch("POST", "/list/", "prompt")
			if test.resumes {
				require.NoError(t, err)
				require.Equal(t, eventsUpTo(6), body)
				require.Equal(t, test.first, *resumedAt.Load())
				return
			}
			require.Error(t, err)
			require.Equal(t, eventsUpTo(3), body)
			require.Nil(t, resumedAt.Load(), "the stream was resumed at another version")
		})
	}
}

// Guards against a client's resume at a router that does not know where the stream began: it must
// not go to an endpoint of any version.
func TestUnknownStreamIsRefusedAtOnce(t *testing.T) {
	for name, header := range map[string][]string{
		"begun at another router": {"Last-Event-Id", "3", resumesHeader, "begun-elsewhere"},
		"without its request id":  {"Last-Event-Id", "3"},
		"without an event":        {resumesHeader, "begun-elsewhere"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addVersion("v1", func(net.Conn, *http.Request) { t.Error("the stream was resumed at an arbitrary version") })
			response := f.do("POST", "/list/", "prompt", header...)
			defer response.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Empty(t, response.Header.Get("Retry-After"), "the stream will not become known later")
		})
	}
}

// Guards against a client's resume that goes to another software version at the router where the stream began.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	f := newFixture(t)
	f.addVersion("v1", func(conn net.Conn, request *http.Request) {
		if request.Header.Get("Last-Event-Id") == "" {
			beginStream(conn, request, 1, 3)
			conn.Close()
			return
		}
		t.Error("the stream returned to the endpoint that broke")
	})
	_, err := f.fetch("POST", "/list/", "prompt", idHeader, "first")
	require.Error(t, err)
	var asked atomic.Int64
	for range 3 {
		f.addVersion("v2", func(net.Conn, *http.Request) { t.Error("the stream was resumed at another version") })
		f.addVersion("v1", func(conn net.Conn, request *http.Request) {
			asked.Add(1)
			beginStream(conn, request, 4, 6)
			endStream(conn)
		})
	}
	for try := range 6 {
		body, err := f.fetch("POST", "/list/", "prompt", idHeader, fmt.Sprint("try-", try), "Last-Event-Id", "3", resumesHeader, "first")
		require.NoError(t, err)
		require.Equal(t, event(4)+event(5)+event(6), body)
	}
	require.EqualValues(t, 6, asked.Load())
}

// Guards against a resume that is refused because the router does not yet know of the endpoints with the
// stream's version.
func TestStreamResumesAtANewlyLearntEndpoint(t *testing.T) {
	for name, learns := range map[string]bool{"there is one": true, "there is none": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addVersion("v2", func(net.Conn, *http.Request) { t.Error("the stream was resumed at another version") })
			f.proxier.options.Streams = stubStreams{known: versioner.Origin{Service: "desk", Version: "v1"}, learn: func() {
				if !learns {
					return
				}
				f.addVersion("v1", func(conn net.Conn, request *http.Request) {
					beginStream(conn, request, 4, 6)
					endStream(conn)
				})
			}}
			response := f.do("POST", "/list/", "prompt", "Last-Event-Id", "3", resumesHeader, "first")
			defer response.Body.Close()
			if learns {
				require.Equal(t, http.StatusOK, response.StatusCode)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Empty(t, response.Header.Get("Retry-After"), "no endpoint of the version is left")
		})
	}
}

// Guards against a stream that is given up although a keeper, or another router, would know it a moment later.
func TestStreamThatCannotBeConfirmedIsRefusedForAMoment(t *testing.T) {
	f := newFixture(t)
	f.addVersion("v1", func(net.Conn, *http.Request) { t.Error("the stream was resumed at an unconfirmed version") })
	f.proxier.options.Streams = stubStreams{known: versioner.Origin{Service: "desk", Version: "v1"}, err: versioner.ErrUnconfirmed}
	response := f.do("POST", "/list/", "prompt", "Last-Event-Id", "3")
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	pause, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, confirmRetryAfter.Seconds()*(1+retryJitter/2), pause, confirmRetryAfter.Seconds()*retryJitter/2)
}

// stubStreams finds one origin, and calls learn to list further endpoints.
type stubStreams struct {
	known versioner.Origin
	err   error
	learn func()
}

func (w stubStreams) RecordOrigin(context.Context, versioner.StreamID, versioner.Origin) {}

func (w stubStreams) RenewOrigin(versioner.StreamID, versioner.Origin) {}

func (w stubStreams) Find(context.Context, versioner.StreamID) (versioner.Origin, error) {
	return w.known, w.err
}

func (w stubStreams) LearnEndpoints(context.Context, versioner.Origin) { w.learn() }

// Guards against a stream that began at an unknown version and is resumed at that of an equal stream,
// because it left no record.
func TestStreamOfUnknownVersionIsNotTakenForAnEqualOne(t *testing.T) {
	f := newFixture(t)
	f.addVersion("", func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 3)
		conn.Close()
	})
	_, err := f.fetch("POST", "/list/", "prompt", idHeader, "first")
	require.Error(t, err)
	f.endAll()
	f.addVersion("v1", func(conn net.Conn, request *http.Request) {
		if request.Header.Get("Last-Event-Id") != "" {
			t.Error("the stream was resumed at the version of another one")
		}
		beginStream(conn, request, 1, 3)
		endStream(conn)
	})
	_, err = f.fetch("POST", "/list/", "prompt", idHeader, "second")
	require.NoError(t, err)
	response := f.do("POST", "/list/", "prompt", idHeader, "third", "Last-Event-Id", "3")
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// endAll removes all endpoints.
func (f *fixture) endAll() {
	for i := range f.lastID {
		f.balancer.Update(lister.Listing{ID: fmt.Sprint("i-", i+1), State: lister.Gone})
	}
}

// Guards against a stream that goes on at another version after a restart that its router heard of too
// late: the request had reached the new process at the same address, which ran another version.
func TestStreamOfARestartedEndpointGoesOnAtItsVersionOnly(t *testing.T) {
	for name, test := range map[string]struct {
		restarted string // version of the new process
		silent    time.Duration
		resumes   bool
	}{
		"another version":                   {restarted: "v2"},
		"another version, an unknown one":   {},
		"the same version":                  {restarted: "v1", resumes: true},
		"silent since before its new start": {restarted: "v2", silent: 2 * restartDoubt, resumes: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			clock := clockwork.NewFakeClockAt(time.Now())
			f.proxier.options.Clock = clock
			began, end := make(chan struct{}, 1), make(chan struct{})
			defer close(end)
			f.addVersion("v1", func(conn net.Conn, request *http.Request) {
				beginStream(conn, request, 1, 3)
				began <- struct{}{}
				<-end
			})
			listing := f.listing("i-1")
			var resumed atomic.Int64
			serve := func(conn net.Conn, request *http.Request) {
				resumed.Add(1)
				beginStream(conn, request, 4, 6)
				endStream(conn)
			}
			response := f.do("POST", "/list/", "prompt", idHeader, "first")
			<-began
			begin := make([]byte, len(eventsUpTo(3)))
			_, err := io.ReadFull(response.Body, begin)
			require.NoError(t, err)
			clock.Advance(test.silent)
			f.addVersion("v1", serve)
			listing.Started, listing.Version = time.Unix(2000, 0), test.restarted
			f.balancer.Update(listing)
			_, err = readText(response)
			require.Equal(t, test.resumes, err == nil)
			require.Equal(t, test.resumes, resumed.Load() == 1)
			again := f.do("POST", "/list/", "prompt", idHeader, "second", "Last-Event-Id", "3", resumesHeader, "first")
			defer again.Body.Close()
			require.Equal(t, test.resumes, again.StatusCode == http.StatusOK, "the client's own resume")
		})
	}
}

// observedStreams calls observe when an origin is recorded, and counts renewals.
type observedStreams struct {
	stubStreams
	observe func(origin versioner.Origin)
	renewed atomic.Int64
}

func (s *observedStreams) RecordOrigin(_ context.Context, _ versioner.StreamID, origin versioner.Origin) {
	s.observe(origin)
}

func (s *observedStreams) RenewOrigin(versioner.StreamID, versioner.Origin) { s.renewed.Add(1) }

// Guards against a client that has an event of a stream whose origin is recorded only later.
func TestOriginIsRecordedBeforeTheFirstEvent(t *testing.T) {
	f := newFixture(t)
	answer := httptest.NewRecorder()
	var recorded []versioner.Origin
	f.proxier.options.Streams = &observedStreams{observe: func(origin versioner.Origin) {
		require.Empty(t, answer.Body.String())
		recorded = append(recorded, origin)
	}}
	f.addVersion("v1", func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 3)
		endStream(conn)
	})
	request := httptest.NewRequest("POST", "/list/", strings.NewReader("prompt"))
	request.Host = "h"
	request.Header.Set("Authorization", "Bearer key")
	f.proxier.ServeHTTP(answer, request)
	require.Equal(t, eventsUpTo(3), answer.Body.String())
	require.Equal(t, []versioner.Origin{{Service: "desk", Version: "v1"}}, recorded)
}

// Guards against a record that keepers drop while its stream goes on.
func TestRecordOfALongStreamIsRenewed(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	f := newFixture(t)
	f.proxier.options.Clock = clock
	streams := &observedStreams{observe: func(versioner.Origin) {}}
	f.proxier.options.Streams = streams
	next := make(chan struct{})
	f.addVersion("v1", func(conn net.Conn, request *http.Request) {
		beginStream(conn, request, 1, 1)
		for id := 2; id <= 4; id++ {
			<-next
			sendEvent(conn, id)
		}
		endStream(conn)
	})
	response := f.do("POST", "/list/", "prompt")
	defer response.Body.Close()
	read := func(id int) {
		text := make([]byte, len(event(id)))
		_, err := io.ReadFull(response.Body, text)
		require.NoError(t, err)
		require.Equal(t, event(id), string(text))
	}
	read(1)
	for i, pause := range []time.Duration{time.Second, versioner.Retention / 4, time.Second} {
		clock.Advance(pause)
		next <- struct{}{}
		read(2 + i)
	}
	require.EqualValues(t, 1, streams.renewed.Load())
}
