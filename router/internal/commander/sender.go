package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/orderer"
)

// ordersPath is the URL path at which engines accept orders.
const ordersPath = "/control/orders"

// maxAnswerBytes bounds how much of an answer's body is read; only the status
// counts.
const maxAnswerBytes = 4096

// maxAnswerHeadBytes bounds the head of an answer, which the transport holds in memory.
const maxAnswerHeadBytes = 16 << 10

// errDeadlinePassed means that the order's deadline had passed before the order was
// written.
var errDeadlinePassed = errors.New("order not written: its deadline has passed")

// HTTPSender sends orders over HTTP, each on a connection of its own.
//
// No byte of an order may leave after its deadline: its sender may have lost the
// lease by then, and an engine that ignores fencing numbers would obey the order.
// The visible fault would be a model that disappears again after a stalled process
// resumes. Therefore every write checks the clock, because timers fire late after a
// stall; and a connection is closed with its unsent bytes discarded, because the
// kernel would otherwise keep sending them for minutes after a partition.
type HTTPSender struct {
	clock  clockwork.Clock
	client *http.Client
}

// NewHTTPSender returns a sender that checks deadlines with the given clock.
func NewHTTPSender(clock clockwork.Clock) *HTTPSender {
	dialer := &net.Dialer{Timeout: orderer.OrderTimeout}
	transport := &http.Transport{
		// An idle connection kept for reuse would outlive the order that it was
		// opened for.
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return withWriteDeadline(ctx, conn, clock)
		},
	}
	// An order is for the engine that announced itself. If it were redirected and
	// answered by another server, it would count as accepted.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &HTTPSender{clock: clock, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// deadlineKey carries the order's deadline to the connection: the context of a dial
// keeps the values of its request, not its deadline.
type deadlineKey struct{}

// withWriteDeadline returns a connection that refuses writes after the order's
// deadline.
func withWriteDeadline(ctx context.Context, conn net.Conn, clock clockwork.Clock) (net.Conn, error) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
	}
	deadline, _ := ctx.Value(deadlineKey{}).(time.Time)
	return &deadlineConn{Conn: conn, clock: clock, deadline: deadline}, nil
}

type deadlineConn struct {
	net.Conn
	clock    clockwork.Clock
	deadline time.Time
}

// Write writes data unless the order's deadline has passed.
func (c *deadlineConn) Write(data []byte) (int, error) {
	if !c.clock.Now().Before(c.deadline) {
		return 0, errDeadlinePassed
	}
	return c.Conn.Write(data)
}

// orderBody is the JSON form of an order.
type orderBody struct {
	Fence uint64       `json:"fence"`
	Order orderer.Kind `json:"order"`
	Model string       `json:"model"`
}

// Send sends an order before the context's deadline. Without a deadline, or without
// an answer, the result is Unknown.
func (s *HTTPSender) Send(ctx context.Context, order orderer.Order) orderer.Result {
	deadline, limited := ctx.Deadline()
	if !limited {
		return orderer.Unknown
	}
	text, err := json.Marshal(orderBody{Fence: order.Fence, Order: order.Kind, Model: order.Model})
	if err != nil {
		return orderer.Unknown
	}
	ctx = context.WithValue(ctx, deadlineKey{}, deadline)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address.String()+ordersPath, bytes.NewReader(text))
	if err != nil {
		return orderer.Unknown
	}
	// A retried order could arrive after a later one.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(request)
	if err != nil {
		return orderer.Unknown
	}
	defer answer.Body.Close()
	_, _ = io.CopyN(io.Discard, answer.Body, maxAnswerBytes)
	return resultOf(answer.StatusCode)
}

func resultOf(status int) orderer.Result {
	switch {
	case status == http.StatusConflict:
		return orderer.Outdated
	case status/100 == 2:
		return orderer.Accepted
	default:
		return orderer.Unknown
	}
}
