package meter

import "github.com/prometheus/client_golang/prometheus"

var (
	limitDesc    = newLoadDesc("limit", "Concurrency limit of the backend servers beside this daemon.")
	inFlightDesc = newLoadDesc("in_flight", "Calls that run in the backend servers beside this daemon.")
	waitingDesc  = newLoadDesc("waiting", "Calls that wait for admission at this daemon.")
)

type (
	// Load is the admission state of one backend server.
	Load struct {
		Service  string
		Limit    int
		InFlight int
		Waiting  int
	}

	// loadCollector reads the loads at each scrape.
	loadCollector struct{ read func() []Load }
)

// WatchLoads registers gauges of the loads that read returns at each scrape, summed by service.
func (m *Meter) WatchLoads(read func() []Load) { m.Registry.MustRegister(loadCollector{read: read}) }

// Describe sends the descriptions of the metrics.
func (l loadCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- limitDesc
	descs <- inFlightDesc
	descs <- waitingDesc
}

// Collect sends the current values.
func (l loadCollector) Collect(metrics chan<- prometheus.Metric) {
	sums := map[string]Load{}
	for _, load := range l.read() {
		sum := sums[load.Service]
		sum.Limit += load.Limit
		sum.InFlight += load.InFlight
		sum.Waiting += load.Waiting
		sums[load.Service] = sum
	}
	for service, sum := range sums {
		metrics <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(sum.Limit), service)
		metrics <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(sum.InFlight), service)
		metrics <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(sum.Waiting), service)
	}
}

func newLoadDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"service"}, nil)
}
