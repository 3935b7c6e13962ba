// Package framer determines how an HTTP/1 answer is framed, and forwards answers without framing.
//
// An answer with a length or in chunks is complete or detectably truncated. An answer with neither
// ends with its connection, so that its reader cannot distinguish a complete answer from that of a
// process that crashed while sending it (RFC 9112, section 6.3). Forwarded in chunks, a truncated
// answer would appear complete.
//
// Invariant: the connection of an answer forwarded without framing is closed normally only if the
// answer was read to its end; in all other cases it is reset.
package framer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// Framing is the way in which the end of an answer is marked.
type Framing uint8

// The framings. The zero value is used while there is no answer yet.
const (
	Unknown      Framing = iota
	ByLength             // by its Content-Length, or by having no body at all
	ByChunks             // by its last chunk
	ByConnection         // by the end of its connection
)

func (f Framing) String() string {
	return [...]string{"", "length", "chunks", "connection"}[f]
}

// Of returns the framing of the answer to a request with the given method.
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

// ErrInvalid means that the head of an answer is not that of a final HTTP/1 answer, so that its framing is
// unknown, or whether it is an answer at all.
var ErrInvalid = merry.Sentinel("the endpoint's answer is not a valid one")

// Statuses outside of this range are invalid, and a gateway answers 502 in place of such an answer (RFC 9110,
// sections 15 and 15.6.3).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// Check returns an ErrInvalid for an answer that cannot be forwarded as a final one: of another protocol, with
// a status that does not exist, or with one that nobody has asked for, 101.
func Check(answer *http.Response) error {
	switch {
	case answer.ProtoMajor != 1:
		return merry.Errorf("%w: its protocol is %s", ErrInvalid, answer.Proto)
	case answer.StatusCode < minFinalStatus || answer.StatusCode > maxFinalStatus:
		return merry.Errorf("%w: its status is %03d", ErrInvalid, answer.StatusCode)
	}
	return nil
}

// Interim reports whether a head is that of an informational answer, which precedes the final one.
func Interim(answer *http.Response) bool {
	return answer.ProtoMajor == 1 && answer.StatusCode >= http.StatusContinue && answer.StatusCode < minFinalStatus &&
		answer.StatusCode != http.StatusSwitchingProtocols
}

// ErrNoReset is returned if the client's connection cannot be reset, so that no answer can be
// forwarded on it without framing.
var ErrNoReset = merry.Sentinel("the client's connection cannot be reset; serve HTTP/1 over TCP, with WithConn")

type connKey struct{}

// WithConn stores a client's connection in the context of its requests. It is meant for the
// ConnContext field of http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Conn returns the connection stored by WithConn, or nil.
func Conn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// Socket options for the treatment of unacknowledged bytes at a close.
var (
	discard = syscall.Linger{Onoff: 1} // the bytes are discarded and the connection is reset
	deliver = syscall.Linger{}         // the bytes are still sent, the default
)

// End controls how an answer without framing ends. It is nil for an answer with framing.
type End struct {
	socket syscall.RawConn
}

// Unframe prepares the answer to a request, before anything of it is written, to end with its
// connection. From now on every close of the connection is a reset, including the one at a crash
// of this process. The error is ErrNoReset.
func Unframe(w http.ResponseWriter, h *http.Request) (*End, error) {
	conn, ok := Conn(h.Context()).(syscall.Conn)
	if !ok || h.ProtoMajor != 1 {
		return nil, ErrNoReset
	}
	socket, err := conn.SyscallConn()
	if err != nil {
		return nil, merry.Errorf("%w: %w", ErrNoReset, err)
	}
	end := &End{socket: socket}
	if err := end.linger(discard); err != nil {
		return nil, merry.Errorf("%w: %w", ErrNoReset, err)
	}
	w.Header().Set("Transfer-Encoding", "identity")
	return end, nil
}

// linger sets the SO_LINGER option of the client's socket.
func (e *End) linger(l syscall.Linger) error {
	var failure error
	err := e.socket.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptLinger(int(descriptor), syscall.SOL_SOCKET, syscall.SO_LINGER, &l)
	})
	return errors.Join(err, failure)
}

// Complete flushes an answer that has been read to its end, and lets its connection close
// normally. After an error of the connection the close is still a reset.
func (e *End) Complete(control *http.ResponseController) error {
	if e == nil {
		return nil
	}
	if err := control.Flush(); err != nil {
		return err
	}
	return e.linger(deliver)
}
