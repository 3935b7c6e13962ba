package proxier

import (
	"context"

	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
)

// clientGone reports whether the client has closed its connection.
//
// A connection may wait in the accept queue, or the process may be suspended, for seconds. The client may
// then have disconnected before its request is read, and the server notices this only after the
// request has been forwarded: endpoints would run requests that no client waits for. The
// connection is therefore checked right before a request is sent.
func clientGone(ctx context.Context) bool {
	conn := framer.Conn(ctx)
	return conn != nil && forwarder.Ended(conn)
}
