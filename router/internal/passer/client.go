package passer

import (
	"context"

	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
)

// gone tells whether the client has closed its connection.
//
// A connection may wait to be accepted, or a process may stand still, for
// seconds. Its client has then left before its request is read, and the server
// notices the end only after the request has been passed on: endpoints would work
// for nobody. So the connection is looked at right before a request is sent.
func gone(ctx context.Context) bool {
	conn := framer.Conn(ctx)
	return conn != nil && forwarder.Ended(conn)
}
