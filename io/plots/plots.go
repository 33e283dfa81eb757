package plots

import (
	"clementinelock/core/ctrl"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width         = 24 * vg.Centimeter
	height        = 12 * vg.Centimeter
	barWidth      = 8
	labelRotation = 1.1
)

// WhatIf draws the utilization of every site, region and link before and after a change, and saves the
// chart to a file.
func WhatIf(file string, b *ctrl.WhatIfResult) error {
	before := map[string]float64{}
	for _, row := range b.Before.Rows {
		before[row.What] = utilization(row)
	}
	var names []string
	var old, next plotter.Values
	for _, row := range b.After.Rows {
		names = append(names, row.What)
		old = append(old, before[row.What])
		next = append(next, utilization(row))
	}
	p := plot.New()
	p.Title.Text = "Use before and after"
	p.Y.Label.Text = "part of the limit"
	if err := addBars(p, "before", old, 0); err != nil {
		return err
	}
	if err := addBars(p, "after", next, 1); err != nil {
		return err
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = labelRotation
	p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = -1, -0.5
	return p.Save(width, height, file)
}

func utilization(row ctrl.UsageRow) float64 {
	if row.Limit == 0 {
		return 0
	}
	return row.Used / row.Limit
}

func addBars(p *plot.Plot, name string, values plotter.Values, index int) error {
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(index)
	bars.Offset = vg.Points(barWidth) * vg.Length(index)
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

// Line is one line of a chart.
type Line struct {
	Name string
	X, Y []float64
}

// Lines draws a line chart and saves it to a file.
func Lines(file, title, xLabel, yLabel string, lines ...Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	for i, line := range lines {
		points := make(plotter.XYs, len(line.X))
		for j := range line.X {
			points[j] = plotter.XY{X: line.X[j], Y: line.Y[j]}
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		drawn.Color = plotutil.Color(i)
		p.Add(drawn)
		p.Legend.Add(line.Name, drawn)
	}
	return p.Save(width, height, file)
}
