package subscriber

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// Guards against a poll that fails for a fault of these programs and is logged like a lost path.
func TestFailedPollNamesItsSide(t *testing.T) {
	broken := "b\xff"
	answering := func(answer func(ctx context.Context) (*messenger.FollowResponse, error)) http.Handler {
		return messenger.NewPlanningServer(&keeper{answer: func(ctx context.Context, _ int) (*messenger.FollowResponse, error) { return answer(ctx) }})
	}
	for name, test := range map[string]struct {
		handler http.Handler
		node    string
		timeout time.Duration // of the poll, waitTimeout if 0
		want    Failure
	}{
		"the answer cannot be encoded": {want: FailedAtKeeper, handler: answering(func(context.Context) (*messenger.FollowResponse, error) {
			return &messenger.FollowResponse{Zone: broken}, nil
		})},
		"the keeper refuses": {want: FailedAtKeeper, handler: answering(func(context.Context) (*messenger.FollowResponse, error) {
			return nil, errors.New("stopping")
		})},
		"the request cannot be encoded": {want: FailedHere, node: broken, handler: answering(nil)},
		"the connection breaks": {want: FailedOnPath, handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		})},
		"no answer in time": {want: FailedByTimeout, timeout: 50 * time.Millisecond, handler: answering(func(ctx context.Context) (*messenger.FollowResponse, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), cmp.Or(test.timeout, waitTimeout))
			defer cancel()
			_, err := messenger.NewPlanningProtobufClient(server.URL, http.DefaultClient).Follow(ctx, &messenger.FollowRequest{Node: test.node})
			require.Error(t, err)
			require.Equal(t, test.want, failureOf(err), err.Error())
		})
	}
}
