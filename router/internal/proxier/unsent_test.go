package proxier

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
)

// Guards against a flooded router that leaves out healthy endpoints and zones: its dials time out because
// it is starved of processor time itself, or its clients disconnect during the dial. Neither
// may count as a fault of the endpoint.
func TestUnsentRequestBlamesTheEndpointOnlyForItsFaults(t *testing.T) {
	unsent := func(err error) error { return merry.Errorf("%w: %w", forwarder.ErrUnsent, err) }
	timeout := unsent(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
	refused := unsent(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
	tests := map[string]struct {
		err     error
		starved bool
		want    balancer.Outcome
	}{
		"refused":                             {refused, false, balancer.ConnectFailed},
		"refused, starved router":             {refused, true, balancer.ConnectFailed},
		"timed out":                           {timeout, false, balancer.ConnectFailed},
		"timed out, starved router":           {timeout, true, balancer.ConnectLate},
		"client disconnected":                 {unsent(forwarder.ErrWithdrawn), false, balancer.Cancelled},
		"client disconnected, starved router": {unsent(forwarder.ErrWithdrawn), true, balancer.Cancelled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Proxier{options: Options{CPUStarved: func() bool { return test.starved }}}
			require.Equal(t, test.want, p.unsentOutcome(test.err))
		})
	}
}
