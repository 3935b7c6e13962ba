package measurer

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against wrong slopes of cost over load, and against a division by zero when all
// loads are equal.
func TestFit(t *testing.T) {
	tests := map[string]struct {
		xs, ys []float64
		want   line
	}{
		"exact":     {xs: []float64{1, 2, 4}, ys: []float64{5, 7, 11}, want: line{slope: 2, intercept: 3}},
		"scattered": {xs: []float64{0, 1, 2}, ys: []float64{0, 3, 0}, want: line{slope: 0, intercept: 1}},
		"one place": {xs: []float64{2, 2}, ys: []float64{1, 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := fit(test.xs, test.ys)
			require.InDelta(t, test.want.slope, got.slope, 1e-9)
			require.InDelta(t, test.want.intercept, got.intercept, 1e-9)
		})
	}
}

// Guards against a figure that could not be measured being reported as zero, or not at
// all.
func TestReportListsUnmeasuredFigures(t *testing.T) {
	var out bytes.Buffer
	r := &report{out: &out}
	r.add(Figure{Name: "gap", Where: "here", Unit: "tokens", Value: 5}.withBaseline(10), Figure{Name: "plain", Value: 1}.withBaseline(0))
	r.addUnmeasured("64 routers", errors.New("no port"))
	require.NoError(t, r.write())
	require.Contains(t, out.String(), `{"figure":"gap","where":"here","unit":"tokens","value":5,"baseline":10,"ratio":0.5}`)
	require.Contains(t, out.String(), `"baseline":0}`, "a baseline of zero has no ratio")
	require.True(t, strings.HasSuffix(out.String(), "not measured: 64 routers: no port\n"))
}

// Guards against placements other than intended: even must use all routers, and uneven must
// put half of the workspaces at the first router.
func TestPlacement(t *testing.T) {
	targets := []string{"a", "b", "c", "d"}
	require.Equal(t, targets, even(3, targets))
	require.Equal(t, []string{"a"}, uneven(0, targets))
	require.Equal(t, []string{"a"}, uneven(workspaces/2-1, targets))
	require.Equal(t, []string{"b"}, uneven(workspaces/2, targets))
	require.Equal(t, []string{"d"}, uneven(workspaces/2+2, targets))
	require.Equal(t, []string{"b"}, uneven(workspaces/2+3, targets))
}
