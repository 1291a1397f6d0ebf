package target

import (
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Names of the metrics of a target process.
const (
	metricSkew       = "group.step_time_skew"
	metricMapVersion = "group.map_version"
	metricRunning    = "load.running"
	metricQueued     = "load.queued"
	metricLimit      = "load.limit"
)

// updateGauges sets the gauges to the latest load and group report.
func (t *Target) updateGauges(load *wirepb.LoadReport, group *wirepb.GroupReport) {
	gauge := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, t.node.Metrics).Update(value)
	}
	gauge(metricRunning, int64(load.GetRunning()))
	gauge(metricQueued, int64(load.GetQueued()))
	gauge(metricLimit, int64(load.GetLimit()))
	if group != nil {
		gauge(metricMapVersion, int64(group.GetMapVersion()))
		metrics.GetOrRegisterGaugeFloat64(metricSkew, t.node.Metrics).Update(group.GetSkew())
	}
}
