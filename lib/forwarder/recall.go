package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// recallGrace is how long an endpoint that takes no more requests may take to acknowledge one that was sent before. A
// lost packet is sent again after some 200 ms.
const recallGrace = 500 * time.Millisecond

// recall ends an exchange whose endpoint takes no more requests and has not acknowledged the request: it is held up
// behind a cut, and would reach the endpoint whenever that ends.
type recall struct {
	exchange *Exchange
	ended    chan struct{} // closed once the head of the answer has arrived, or the exchange has failed

	mutex sync.Mutex // held while ended is closed, and while the exchange is ended
	done  bool       // whether the exchange was ended
}

// receiveUnlessRecalled returns once the head of the answer has arrived. Only requests that wait in the system as a whole
// are recalled: a body that is still being written may make progress.
func (x *Exchange) receiveUnlessRecalled(ctx context.Context, out *Outgoing) error {
	if out.Accepting == nil || x.bodyWrite != nil {
		return x.receive(out)
	}
	r := &recall{exchange: x, ended: make(chan struct{})}
	stop := context.AfterFunc(out.Accepting, r.run)
	err := x.receive(out)
	stop()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	close(r.ended)
	switch {
	case !r.done:
		return err
	case err != nil:
		return merry.Errorf("%w: %w", err, ErrRecalled)
	}
	return x.liftDeadline(ctx) // the head arrived at the same moment
}

// liftDeadline lets the answer be read on, unless the context has ended.
func (x *Exchange) liftDeadline(ctx context.Context) error {
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		return merry.Errorf("%w: %w", ErrBroken, err)
	}
	if ctx.Err() != nil {
		return merry.Errorf("%w: %w", ErrBroken, ctx.Err())
	}
	return nil
}

// run waits for recallGrace, and ends the exchange if the endpoint has acknowledged nothing meanwhile.
func (r *recall) run() {
	before := unacknowledged(r.exchange.conn.Conn)
	if before == 0 {
		return
	}
	select {
	case <-r.ended:
	case <-r.exchange.client.Clock.After(recallGrace):
		r.end(before)
	}
}

// end ends the exchange if it is under way and as many bytes as before are not acknowledged.
func (r *recall) end(before int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.ended:
		return // the connection may carry another request
	default:
	}
	if conn := r.exchange.conn; unacknowledged(conn.Conn) >= before {
		r.done = true
		if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			conn.Close()
		}
	}
}
