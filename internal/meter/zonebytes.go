package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
)

var zoneBytesDesc = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "zone_bytes_total"),
	"Bytes on connections that this daemon opened to daemons of other availability zones, by cause and direction.",
	[]string{"cause", "direction"}, nil)

// zoneBytesCollector reads the counts at each scrape.
type zoneBytesCollector struct{ bytes *cross.Bytes }

// WatchZoneBytes registers counters of the bytes between availability zones.
func (m *Meter) WatchZoneBytes(bytes *cross.Bytes) {
	m.Registry.MustRegister(zoneBytesCollector{bytes: bytes})
}

// Describe sends the description of the metric.
func (z zoneBytesCollector) Describe(descs chan<- *prometheus.Desc) { descs <- zoneBytesDesc }

// Collect sends the current values.
func (z zoneBytesCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, cause := range cross.Causes() {
		for direction, label := range map[cross.Direction]string{cross.Sent: "sent", cross.Received: "received"} {
			metrics <- prometheus.MustNewConstMetric(zoneBytesDesc, prometheus.CounterValue,
				float64(z.bytes.Count(cause, direction)), cause.String(), label)
		}
	}
}
