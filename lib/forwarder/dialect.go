package forwarder

import (
	"net/http"
	"time"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
)

// Incoming is what a client says of its request besides method, path and body.
type Incoming struct {
	ID string
	// Key is the key of a workspace, without its scheme.
	Key string
	// Deadline is how long the client waits; 0 if it does not say.
	Deadline time.Duration
	// Resume is the id of the last event that the client has, "" for a new stream.
	Resume string
	// Resumes is the id of the client's request that brought the first event of the stream that
	// it takes up, "" for a new one.
	Resumes string
	Work    balancer.Work
}

// Mark is what the system itself tells an endpoint with a request.
type Mark struct {
	// Instance is the only one that may run the request.
	Instance  string
	Workspace string
	// Left is the time until the answer is of no use any more.
	Left time.Duration
	// Resume goes before the client's own if it is set.
	Resume string
}

// Answer is what an endpoint's answer says of its request.
type Answer struct {
	// Signed tells that the endpoint itself made it.
	Signed bool
	// NotRun tells that the endpoint did not and will not run the request.
	NotRun bool
	// Misdirected tells that another instance has the address.
	Misdirected bool
	// Backoff is for how long the endpoint wants nothing more from this router, 0 if it does
	// not say.
	Backoff time.Duration
	// Leaving tells that the endpoint says that it leaves.
	Leaving bool
	// Unread tells of a header that cannot be read, and so counts as not said.
	Unread error
}

// Dialect is the headers of one interface, and its form of a configuration.
type Dialect interface {
	// Read decodes a client's headers. What cannot be read counts as not said.
	Read(header http.Header) Incoming
	// Outgoing returns the headers for an endpoint: the client's, without those of
	// one connection and those that only the system may set, and the mark's.
	Outgoing(header http.Header, mark Mark) http.Header
	// Answer decodes an endpoint's answer.
	Answer(answer *http.Response) Answer
	// Own tells whether an answer belongs to the request of that id.
	Own(answer *http.Response, id string) bool
	// Plan decodes and checks a configuration.
	Plan(text []byte) (resolver.Plan, error)
}
