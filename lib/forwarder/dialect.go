package forwarder

import (
	"net/http"
	"net/netip"
	"time"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
)

// Incoming is what a client's headers say about its request.
type Incoming struct {
	ID string
	// Key is the API key of a workspace, without its scheme.
	Key string
	// Deadline is how long the client waits, 0 if it does not say.
	Deadline time.Duration
	// Resume is the ID of the last event that the client received, "" for a new stream.
	Resume string
	// Resumes is the ID of the client's request that returned the first event of the stream that is
	// resumed, "" for a new stream.
	Resumes string
	Work    balancer.Work
}

// Mark is the control information that the system adds to a request for an endpoint.
type Mark struct {
	// Instance is the only endpoint instance that may run the request.
	Instance  string
	Workspace string
	// Remaining is the time until the answer is useless.
	Remaining time.Duration
	// Resume, if set, replaces the value of the client's own header.
	Resume string
	// Source, if valid, is the address of another engine from which the endpoint first fetches what that
	// one has cached of the prompt.
	Source netip.AddrPort
}

// Answer is what the headers of an endpoint's answer say about the request.
type Answer struct {
	// Signed reports that the answer was made by the endpoint itself.
	Signed bool
	// NotRun reports that the endpoint did not run the request and will not run it.
	NotRun bool
	// Misdirected reports that another instance has the address now.
	Misdirected bool
	// Backoff is how long the endpoint wants no more requests from this router, 0 if it does not say.
	Backoff time.Duration
	// Leaving reports that the endpoint announces that it is leaving.
	Leaving bool
	// Unreadable is the error of a header that is unreadable and therefore ignored, nil if there is none.
	Unreadable error
}

// Dialect defines the headers of one interface, and its format of a configuration.
type Dialect interface {
	// Read decodes a client's headers. Unreadable headers are ignored.
	Read(header http.Header) Incoming
	// Outgoing returns the headers for an endpoint: the client's, without hop-by-hop headers and those that
	// only the system may set, and the headers for the mark.
	Outgoing(header http.Header, mark Mark) http.Header
	// Answer decodes the headers of an endpoint's answer.
	Answer(answer *http.Response) Answer
	// Matches reports whether an answer belongs to the request with that ID.
	Matches(answer *http.Response, id string) bool
	// Plan decodes and checks a configuration.
	Plan(text []byte) (resolver.Plan, error)
}
