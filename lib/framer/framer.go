// Package framer knows how an answer of HTTP/1 tells its end, and passes on one that does not.
//
// An answer with a length or in chunks is whole or visibly cut. One with neither ends with its
// connection, and nobody who reads it can tell a process that has said everything from one that
// died while it spoke (RFC 9112, section 6.3). Passed on in chunks it would claim to be whole.
//
// Invariants: an answer that is passed on without framing is never ended by an ordinary close
// unless it was read to its end; whatever else closes the connection resets it.
package framer

import (
	"context"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Framing is how an answer tells its end.
type Framing uint8

// The framings. The zero value is that of an answer of which nothing is known.
const (
	Unknown      Framing = iota
	ByLength             // it says how long it is, or has no body at all
	ByChunks             // its last chunk ends it
	ByConnection         // it ends when its connection does
)

func (f Framing) String() string {
	return [...]string{"", "length", "chunks", "connection"}[f]
}

// Of returns the framing of the answer to a request with a method.
func Of(method string, answer *http.Response) Framing {
	switch {
	case method == http.MethodHead, answer.StatusCode == http.StatusNoContent, answer.StatusCode == http.StatusNotModified:
		return ByLength
	case len(answer.TransferEncoding) > 0:
		return ByChunks
	case answer.ContentLength >= 0 || answer.ProtoMajor > 1:
		return ByLength
	}
	return ByConnection
}

// ErrNoReset means that the client's connection cannot be reset, so that no answer can be
// passed on without framing there.
var ErrNoReset = merry.Sentinel("the client's connection cannot be reset; serve HTTP/1 over TCP, with WithConn")

type connKey struct{}

// WithConn puts a client's connection into the context of its requests. It is for
// http.Server's ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Conn returns the connection that WithConn has put there, or nil.
func Conn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// resetter is a connection whose close can be made a reset, as that of a *net.TCPConn.
type resetter interface {
	SetLinger(seconds int) error
}

// What becomes, at a close, of bytes that were not acknowledged.
const (
	discard = 0  // they are thrown away and the connection is reset
	deliver = -1 // they are still sent, as by default
)

// End is the end of an answer. That of an answer with framing is nil.
type End struct {
	conn resetter
}

// Unframe makes the answer to a request, of which nothing has been written, one that ends with
// its connection. From now on every close of the connection is a reset, the one at the
// process's own death included. The error is ErrNoReset, or of the connection.
func Unframe(w http.ResponseWriter, h *http.Request) (*End, error) {
	conn, ok := Conn(h.Context()).(resetter)
	if !ok || h.ProtoMajor != 1 {
		return nil, ErrNoReset
	}
	if err := conn.SetLinger(discard); err != nil {
		return nil, merry.Wrap(err)
	}
	w.Header().Set("Transfer-Encoding", "identity")
	return &End{conn: conn}, nil
}

// Whole sends what is left of an answer that has been read to its end, and lets its connection
// end as such. The error is of the connection, which is then reset.
func (e *End) Whole(control *http.ResponseController) error {
	if e == nil {
		return nil
	}
	if err := control.Flush(); err != nil {
		return err
	}
	return e.conn.SetLinger(deliver)
}
