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

// ordersPath is where engines take orders.
const ordersPath = "/control/orders"

// maxAnswer bounds what is read of an answer, in bytes; only its status counts.
const maxAnswer = 4096

// errLate means that the order's time was over before it was written.
var errLate = errors.New("the order's time is over")

// HTTPSender sends orders over HTTP, each on a connection of its own.
//
// Nothing of an order may leave after its time: by then its sender may have lost
// the lease, and an engine that ignores fencing numbers would obey it. One would
// notice a model that vanishes again after a process that stood still resumes.
// Therefore every write looks at the clock, because timers fire late after a
// standstill; and a connection is closed with its unsent bytes thrown away,
// because otherwise the kernel goes on sending them for minutes after a
// partition.
type HTTPSender struct {
	clock  clockwork.Clock
	client *http.Client
}

// NewHTTPSender returns a sender.
func NewHTTPSender(clock clockwork.Clock) *HTTPSender {
	dialer := &net.Dialer{Timeout: orderer.OrderTimeout}
	transport := &http.Transport{
		// A kept connection would outlive the order that it was made for.
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return guard(ctx, conn, clock)
		},
	}
	// An order is for the engine that announced itself. One that was sent on, and
	// answered by someone else, would pass for obeyed.
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &HTTPSender{clock: clock, client: &http.Client{Transport: transport, CheckRedirect: stay}}
}

// deadlineKey carries the order's deadline to the connection: the context of a
// dial keeps the values of its request, not its deadline.
type deadlineKey struct{}

// guard lets nothing be written to a connection after its order's time.
func guard(ctx context.Context, conn net.Conn, clock clockwork.Clock) (net.Conn, error) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
	}
	deadline, _ := ctx.Value(deadlineKey{}).(time.Time)
	return &guarded{Conn: conn, clock: clock, deadline: deadline}, nil
}

type guarded struct {
	net.Conn
	clock    clockwork.Clock
	deadline time.Time
}

// Write writes unless the order's time is over.
func (g *guarded) Write(data []byte) (int, error) {
	if !g.clock.Now().Before(g.deadline) {
		return 0, errLate
	}
	return g.Conn.Write(data)
}

// body is an order as engines read it.
type body struct {
	Fence uint64       `json:"fence"`
	Order orderer.Kind `json:"order"`
	Model string       `json:"model"`
}

// Send sends an order before the context's deadline.
func (s *HTTPSender) Send(ctx context.Context, order orderer.Order) orderer.Result {
	deadline, limited := ctx.Deadline()
	if !limited {
		return orderer.Unknown
	}
	text, err := json.Marshal(body{Fence: order.Fence, Order: order.Kind, Model: order.Model})
	if err != nil {
		return orderer.Unknown
	}
	ctx = context.WithValue(ctx, deadlineKey{}, deadline)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address.String()+ordersPath, bytes.NewReader(text))
	if err != nil {
		return orderer.Unknown
	}
	// A repeated order could arrive after a later one.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(request)
	if err != nil {
		return orderer.Unknown
	}
	defer answer.Body.Close()
	_, _ = io.CopyN(io.Discard, answer.Body, maxAnswer)
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
