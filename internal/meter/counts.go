package meter

import (
	dto "github.com/prometheus/client_model/go"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// Counts returns the counters for the status report.
func (m *Meter) Counts() admin.Counts {
	counts := admin.Counts{Refused: map[string]uint64{}}
	families, err := m.Registry.Gather()
	if err != nil {
		return counts
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			value := uint64(metric.GetCounter().GetValue())
			switch family.GetName() {
			case namespace + "_calls_total":
				counts.Calls += value
				if labelValue(metric, "result") == "answered" {
					counts.Completed += value
				}
			case namespace + "_retries_total":
				counts.Retries += value
			case namespace + "_refusals_total":
				counts.Refused[labelValue(metric, "reason")] += value
			}
		}
	}
	return counts
}

func labelValue(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
