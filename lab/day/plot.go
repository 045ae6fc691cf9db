package day

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot in the units of package vg.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot plots the service level over time of one or more reports to a file. The file's
// extension (svg, png or pdf) selects the format. It returns ErrReport.
func Plot(path string, reports ...*Report) error {
	p := plot.New()
	p.Title.Text = reports[0].Day
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "service"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	for i, r := range reports {
		line, err := plotter.NewLine(points(r))
		if err != nil {
			return fmt.Errorf("%w: %w", ErrReport, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s, seed %d", r.Policy, r.Seed), line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("%w: %w", ErrReport, err)
	}
	return nil
}

func points(r *Report) plotter.XYs {
	xy := make(plotter.XYs, len(r.Windows))
	for i, service := range r.Windows {
		xy[i].X = windowLength.Seconds() * float64(i)
		xy[i].Y = service
	}
	return xy
}
