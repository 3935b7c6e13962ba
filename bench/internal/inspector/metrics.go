package inspector

import (
	"context"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"shallotkeel.example/bench/internal/launcher"
)

// Metrics holds sums of counters and gauges, over all labels and processes, by name.
type Metrics map[string]float64

// Scrape reads the metrics of processes and adds them up.
func Scrape(ctx context.Context, nodes []*launcher.Node) (Metrics, error) {
	sums := make(Metrics)
	for _, node := range nodes {
		if err := sums.scrape(ctx, node); err != nil {
			return nil, err
		}
	}
	return sums, nil
}

// scrape adds the metrics of one process.
func (m Metrics) scrape(ctx context.Context, node *launcher.Node) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, node.URL()+"/metrics", nil)
	if err != nil {
		return merry.Errorf("%w: %v", ErrInspect, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Errorf("%w: %v", ErrInspect, err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return merry.Errorf("%w: metrics of %s: %v", ErrInspect, node.Name, err)
	}
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			m[name] += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return nil
}

// Minus returns the growth of each sum since earlier metrics.
func (m Metrics) Minus(earlier Metrics) Metrics {
	growth := make(Metrics)
	for name, value := range m {
		growth[name] = value - earlier[name]
	}
	return growth
}

// Matching adds up the metrics with a name that contains every part. It reports whether
// there is one, because a metric that is not published must not count as zero.
func (m Metrics) Matching(parts ...string) (sum float64, found bool) {
	for name, value := range m {
		matches := true
		for _, part := range parts {
			matches = matches && strings.Contains(name, part)
		}
		if matches {
			sum += value
			found = true
		}
	}
	return sum, found
}
