package passer

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

// Symptom: a router under a flood leaves out endpoints and whole zones that are well.
// Sequence: its dials are not done in time, because it is late itself, or its clients leave
// while it dials. Cause: whatever was not sent was taken for the endpoint's fault.
func TestUnsentRequestTellsOfTheEndpointWhatIsItsFault(t *testing.T) {
	unsent := func(err error) error { return merry.Errorf("%w: %w", forwarder.ErrUnsent, err) }
	timeout := unsent(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
	refused := unsent(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
	tests := map[string]struct {
		err  error
		lags bool
		want balancer.Outcome
	}{
		"refused":                     {refused, false, balancer.ConnectFailed},
		"refused, at a late router":   {refused, true, balancer.ConnectFailed},
		"not in time":                 {timeout, false, balancer.ConnectFailed},
		"not in time, a late router":  {timeout, true, balancer.ConnectLate},
		"its client left":             {unsent(forwarder.ErrWithdrawn), false, balancer.Cancelled},
		"its client left, late there": {unsent(forwarder.ErrWithdrawn), true, balancer.Cancelled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Passer{options: Options{Lags: func() bool { return test.lags }}}
			require.Equal(t, test.want, p.unsent(test.err))
		})
	}
}
