package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxTestMemory bounds in bytes what one exchange with an endless endpoint may allocate in total.
	maxTestMemory = 4 << 20
	// testDeadline is far beyond the time that an exchange takes whose end does not depend on its deadline.
	testDeadline = 30 * time.Second
	answerHead   = "HTTP/1.1 200 OK\r\nId: 1\r\n"
)

// sendEndlessly writes a head, and then pieces until the other end closes the connection. It closes ended
// once that has happened.
func sendEndlessly(head, piece string, ended chan<- struct{}) func(int64, net.Conn, *bufio.Reader) {
	return func(number int64, conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, err := io.WriteString(conn, head)
		pieces := []byte(strings.Repeat(piece, max(1, 16<<10/len(piece))))
		for err == nil {
			_, err = conn.Write(pieces)
		}
		if number == 1 {
			close(ended)
		}
	}
}

// allocated returns the bytes allocated while a function runs.
func allocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against an endpoint that sends bytes without end that are no valid answer: the router would
// collect them in memory, or wait for their end until the deadline of the request.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	tests := map[string]struct {
		head, piece string
		wants       error // of Do; nil if the body fails instead
	}{
		"status line":         {head: "HTTP/1.1 200 ", piece: "x", wants: ErrBroken},
		"header line":         {head: answerHead + "Name: ", piece: "x", wants: ErrBroken},
		"header name":         {head: answerHead, piece: "x", wants: ErrBroken},
		"folded header line":  {head: answerHead + "Name: x", piece: "\r\n x", wants: ErrBroken},
		"header fields":       {head: answerHead, piece: "A: b\r\n", wants: ErrBroken},
		"empty header fields": {head: answerHead, piece: "a:\n", wants: ErrBroken},
		"no protocol":         {piece: "\x00\xff garbage", wants: ErrBroken},
		"no protocol, lines":  {piece: "garbage\r\n", wants: ErrBroken},
		"empty lines":         {piece: "\r\n", wants: ErrBroken},
		"interim answers":     {piece: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", wants: ErrBroken},
		"interim header":      {head: "HTTP/1.1 100 Continue\r\n", piece: "A: b\r\n", wants: ErrBroken},
		"switched protocol":   {head: "HTTP/1.1 101 Switching Protocols\r\n\r\n", piece: "x", wants: ErrBroken},
		"body of another":     {head: "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", piece: "x", wants: ErrForeign},
		"chunks of another":   {head: "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n", wants: ErrForeign},
		"trailer of another":  {head: "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", piece: "A: b\r\n", wants: ErrForeign},
		"answers to others":   {piece: "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n", wants: ErrForeign},
		"trailers":            {head: answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: "A: b\r\n"},
		"trailer line":        {head: answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", piece: "x"},
		"chunk extension":     {head: answerHead + "Transfer-Encoding: chunked\r\n\r\n1;", piece: "x"},
		"chunk extensions":    {head: answerHead + "Transfer-Encoding: chunked\r\n\r\n", piece: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"chunk size":          {head: answerHead + "Transfer-Encoding: chunked\r\n\r\n", piece: "0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			e := listen(t, sendEndlessly(test.head, test.piece, ended))
			c := newClient()
			ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
			defer cancel()
			used := allocated(func() {
				x, err := c.Do(ctx, e.address, newRequest("1"), nil)
				if test.wants != nil {
					require.ErrorIs(t, err, test.wants)
					require.NotErrorIs(t, err, ErrUnsent)
					return
				}
				require.NoError(t, err)
				defer x.Close()
				_, err = io.Copy(io.Discard, x.Body)
				require.Error(t, err)
				require.False(t, x.Complete())
			})
			require.NoError(t, ctx.Err(), "the exchange took until its deadline")
			require.Less(t, used, uint64(maxTestMemory))
			require.Zero(t, c.openTo(e.address))
			<-ended
		})
	}
}

// Guards against a request that gets the bytes behind an earlier answer as its own answer, or a connection
// that is kept while its endpoint sends without end.
func TestEndlessBytesBehindAnAnswerEndItsConnection(t *testing.T) {
	for name, head := range map[string]string{
		"length":     answerHead + "Content-Length: 2\r\n\r\nok",
		"chunks":     answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"no content": "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			// The bytes behind the answer look like the next one.
			e := listen(t, sendEndlessly(head, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad", ended))
			c := newClient()
			used := allocated(func() {
				_, err := fetch(t, c, e, newRequest("1"))
				require.NoError(t, err)
				require.Eventually(t, func() bool {
					cn := c.takeIdle(e.address)
					if cn == nil {
						return true
					}
					defer c.release(cn, Bound{})
					return !isIdle(cn.Conn)
				}, testDeadline, time.Millisecond)
				_, err = fetch(t, c, e, newRequest("1"))
				require.NoError(t, err)
			})
			require.Less(t, used, uint64(maxTestMemory))
			require.EqualValues(t, 2, e.accepts.Load())
			<-ended
		})
	}
}

// Guards against an endpoint that holds a request beyond its deadline by sending a part of an answer, or
// bodies that never end.
func TestUnfinishedAnswerEndsWithTheDeadline(t *testing.T) {
	for name, part := range map[string]string{
		"nothing":         "",
		"status line":     "HTTP/1.1 2",
		"header":          answerHead + "Na",
		"interim answer":  "HTTP/1.1 100 Continue\r\n\r\n",
		"body":            answerHead + "Content-Length: 9\r\n\r\nbegun",
		"body of another": "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9\r\n\r\nbegun",
		"chunk extension": answerHead + "Transfer-Encoding: chunked\r\n\r\n1;a",
		"trailer":         answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				io.WriteString(conn, part) //nolint:errcheck // the reader may be gone
				reader.ReadByte()          //nolint:errcheck // either way the connection has ended
				close(ended)
			})
			c := newClient()
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			x, err := c.Do(ctx, e.address, newRequest("1"), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, x.Body)
				x.Close()
			}
			require.Error(t, err)
			<-ended
			require.Zero(t, c.openTo(e.address))
		})
	}
}

// Guards against a limit on heads that also cuts legitimate long answers: long bodies in any framing, many
// answers on one connection, heads up to the limit, and some informational answers before each.
func TestLongAnswersAreNotCut(t *testing.T) {
	const bodyBytes, requests = 3 << 20, 20
	body := strings.Repeat("0123456789abcdef", bodyBytes/16)
	write := map[string]func(conn net.Conn){
		"length": func(conn net.Conn) {
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", answerHead, len(body), body)
		},
		"chunks": func(conn net.Conn) {
			// The interim answers, the head and the first chunk arrive together, so that a part of the body
			// is read with the head.
			fmt.Fprintf(conn, "%s%sTransfer-Encoding: chunked\r\n\r\n4\r\n%s\r\n", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 10), answerHead, body[:4])
			for rest := body[4:]; rest != ""; {
				n := min(len(rest), 1<<10)
				fmt.Fprintf(conn, "%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			fmt.Fprint(conn, "0\r\nSum: 1\r\n\r\n")
		},
		"long head": func(conn net.Conn) {
			fmt.Fprintf(conn, "%sLong: %s\r\nContent-Length: %d\r\n\r\n%s", answerHead, strings.Repeat("x", maxHeadBytes-256), len(body), body)
		},
	}
	for name, answer := range write {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
				for readRequest(reader) != nil {
					answer(conn)
				}
			})
			c := newClient()
			for range requests {
				got, err := fetch(t, c, e, newRequest("1"))
				require.NoError(t, err)
				require.True(t, got == body, "the body differs")
			}
			require.EqualValues(t, 1, e.accepts.Load())
		})
	}
}

// Guards against a head that is limited by what earlier answers on its connection have used up.
func TestEachHeadHasItsOwnLimit(t *testing.T) {
	long := strings.Repeat("x", maxHeadBytes/2)
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			// A late answer to another request precedes each.
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: late\r\nLong: %s\r\nContent-Length: 4\r\n\r\nlate", long)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nLong: %s\r\nContent-Length: 5\r\n\r\nwhole", request.Header.Get("Id"), long)
		}
	})
	c := newClient()
	for _, id := range []string{"1", "2", "3", "4"} {
		body, err := fetch(t, c, e, withID(&Outgoing{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}))
		require.NoError(t, err)
		require.Equal(t, "whole", body)
	}
	require.EqualValues(t, 1, e.accepts.Load())
}

// Guards against a connection that is lost with each refusal, against a refusal whose body is waited for without
// a bound, and against an endpoint that is charged because its body is late.
func TestDiscard(t *testing.T) {
	const maxBytes = 64
	tests := map[string]struct {
		body string // as chunks
		wait time.Duration
		err  error
		kept int
	}{
		"whole":        {body: "2\r\nno\r\n0\r\n\r\n", wait: testDeadline, kept: 1},
		"empty":        {body: "0\r\n\r\n", wait: testDeadline, kept: 1},
		"too long":     {body: "40\r\n" + strings.Repeat("x", maxBytes), wait: testDeadline, err: ErrUndelimited},
		"bad framing":  {body: "2\r\nnone", wait: testDeadline, err: ErrUndelimited},
		"not finished": {body: "2\r\nno\r\n", wait: 20 * time.Millisecond, err: os.ErrDeadlineExceeded},
		"not begun":    {wait: 20 * time.Millisecond, err: os.ErrDeadlineExceeded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
				for readRequest(reader) != nil {
					fmt.Fprint(conn, answerHead+"Transfer-Encoding: chunked\r\n\r\n"+test.body)
				}
			})
			c := newClient()
			x, err := c.Do(t.Context(), e.address, newRequest("1"), nil)
			require.NoError(t, err)
			err = x.Discard(maxBytes, test.wait)
			require.ErrorIs(t, err, test.err)
			require.Equal(t, errors.Is(test.err, ErrUndelimited), errors.Is(err, ErrUndelimited))
			x.Close()
			require.Equal(t, test.kept, c.idleTo(e.address))
			require.Equal(t, test.kept, c.openTo(e.address))
		})
	}
}
