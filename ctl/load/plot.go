package load

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a plot of the latency over time, with the timed events as vertical
// lines. The extension of the file name determines the format.
func (rep *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = rep.Scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "milliseconds from scheduled arrival to the end"
	var p50, p99 plotter.XYs
	top := 0.0
	for _, s := range rep.perSecond {
		p50 = append(p50, plotter.XY{X: float64(s.Second), Y: s.P50})
		p99 = append(p99, plotter.XY{X: float64(s.Second), Y: s.P99})
		top = max(top, s.P99)
	}
	if err := plotutil.AddLinePoints(p, "p50", p50, "p99", p99); err != nil {
		return errors.Wrap(err, "plot")
	}
	for _, e := range rep.Events {
		x := float64(e.AtMs) / 1000
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color = color.Gray{Y: 128}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(line)
		p.Legend.Add(string(e.Kind)+" "+e.DataCentre+e.Process, line)
	}
	p.Legend.Top = true
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
