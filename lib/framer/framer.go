// Package framer knows how an answer of HTTP/1 tells its end.
//
// An answer with a length or in chunks is whole or visibly cut. One with neither ends with its
// connection, and nobody who reads it can tell a process that has said everything from one that
// died while it spoke (RFC 9112, section 6.3).
package framer

import (
	"net/http"
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
