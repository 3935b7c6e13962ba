package director

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a router that runs out of memory because of long heads at the addresses for probes and metrics.
func TestLongHeadOfAProbeIsRefused(t *testing.T) {
	r := newStoppingRouter(t)
	for name, at := range map[string]netip.AddrPort{"ready": r.settings.Ready, "metrics": r.settings.Metrics} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+at.String()+"/metrics", nil)
			require.NoError(t, err)
			request.Header.Set("Long", strings.Repeat("x", 2*maxProbeHeaderBytes))
			response, err := http.DefaultTransport.RoundTrip(request)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		})
	}
}
