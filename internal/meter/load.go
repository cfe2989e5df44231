package meter

import "github.com/prometheus/client_golang/prometheus"

var (
	limitDesc    = loadDesc("limit", "Concurrency limit of the backend servers beside this daemon.")
	inFlightDesc = loadDesc("in_flight", "Calls that run in the backend servers beside this daemon.")
	waitingDesc  = loadDesc("waiting", "Calls that wait for admission at this daemon.")
)

type (
	// Load is the admission state of one backend server.
	Load struct {
		Service  string
		Limit    int
		InFlight int
		Waiting  int
	}

	// loads reads the loads when metrics are gathered.
	loads struct{ read func() []Load }
)

// WatchLoads adds the loads that read returns to the metrics, summed by service.
func (m *Meter) WatchLoads(read func() []Load) { m.Registry.MustRegister(loads{read: read}) }

// Describe sends the descriptions of the metrics.
func (l loads) Describe(to chan<- *prometheus.Desc) {
	to <- limitDesc
	to <- inFlightDesc
	to <- waitingDesc
}

// Collect sends the present values.
func (l loads) Collect(to chan<- prometheus.Metric) {
	sums := map[string]Load{}
	for _, load := range l.read() {
		sum := sums[load.Service]
		sum.Limit += load.Limit
		sum.InFlight += load.InFlight
		sum.Waiting += load.Waiting
		sums[load.Service] = sum
	}
	for service, sum := range sums {
		to <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(sum.Limit), service)
		to <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(sum.InFlight), service)
		to <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(sum.Waiting), service)
	}
}

func loadDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"service"}, nil)
}
