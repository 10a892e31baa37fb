// Package plot renders reports as charts.
package plot

import (
	"cmp"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	gonum "gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"buckthornridge/loadtool/report"
)

// Size of a chart.
const (
	width  = 8 * vg.Inch
	height = 5 * vg.Inch
)

const percent = 100

// Kinds of chart.
const (
	// Load plots the p95 time to first token in ms and, below it, the goodput in
	// percent against the request rate.
	Load = "load"
	// Spend plots the budgets of each report over time.
	Spend = "spend"
	// Config plots the time until a configuration version is in force against the
	// number of VMs.
	Config = "config"
)

// Draw writes a chart of the reports to path; the file extension selects SVG or PNG.
func Draw(kind string, reports []*report.Report, path string) error {
	panels, known := map[string][]panel{
		Load:   {drawFirstToken, drawGoodput},
		Spend:  {drawSpend},
		Config: {drawConfig},
	}[kind]
	if !known {
		return eris.Errorf("unknown chart kind %q", kind)
	}
	var plots [][]*gonum.Plot
	for _, drawPanel := range panels {
		p := gonum.New()
		p.Legend.Top, p.Legend.Left = true, true
		if err := drawPanel(p, reports); err != nil {
			return eris.Wrapf(err, "draw %s", kind)
		}
		plots = append(plots, []*gonum.Plot{p})
	}
	return eris.Wrapf(save(plots, path), "write %s", path)
}

// panel draws one of the plots of a chart.
type panel func(*gonum.Plot, []*report.Report) error

// save writes the plots below each other with aligned axes.
func save(column [][]*gonum.Plot, path string) error {
	canvas, err := draw.NewFormattedCanvas(width, height, strings.TrimPrefix(filepath.Ext(path), "."))
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: len(column), Cols: 1, PadY: vg.Points(10), PadRight: vg.Points(10)}
	for row, area := range gonum.Align(column, tiles, draw.New(canvas)) {
		column[row][0].Draw(area[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = canvas.WriteTo(file)
	return errors.Join(err, file.Close())
}

func sortedPoints(reports []*report.Report, at func(*report.Report) plotter.XY) plotter.XYs {
	var all plotter.XYs
	for _, r := range reports {
		all = append(all, at(r))
	}
	slices.SortFunc(all, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return all
}

func drawFirstToken(p *gonum.Plot, reports []*report.Report) error {
	p.Title.Text = "Time to first token and goodput by request rate"
	p.X.Label.Text = "requests per second"
	p.Y.Label.Text = "time to first token p95, ms"
	p.Y.Min = 0
	return plotutil.AddLinePoints(p, sortedPoints(reports, func(r *report.Report) plotter.XY {
		return plotter.XY{X: r.Rate, Y: r.TTFT.P95}
	}))
}

func drawGoodput(p *gonum.Plot, reports []*report.Report) error {
	p.X.Label.Text = "requests per second"
	p.Y.Label.Text = "goodput, percent"
	err := plotutil.AddLinePoints(p, sortedPoints(reports, func(r *report.Report) plotter.XY {
		return plotter.XY{X: r.Rate, Y: r.Goodput * percent}
	}))
	p.Y.Min, p.Y.Max = 0, percent
	return err
}

func drawSpend(p *gonum.Plot, reports []*report.Report) error {
	p.Title.Text = "Budgets over time"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens"
	var lines []any
	for _, r := range reports {
		line := func(name string, tokens func(report.Point) int64) {
			var all plotter.XYs
			for _, s := range r.Spend {
				all = append(all, plotter.XY{X: s.Second, Y: float64(tokens(s))})
			}
			lines = append(lines, r.Scenario+" "+name, all)
		}
		line("purchased", func(s report.Point) int64 { return s.Purchased })
		line("billed", func(s report.Point) int64 { return s.Billed })
		line("billed and held", func(s report.Point) int64 { return s.Billed + s.Held })
	}
	return plotutil.AddLines(p, lines...)
}

func drawConfig(p *gonum.Plot, reports []*report.Report) error {
	p.Title.Text = "Time until a configuration version is in force on all VMs"
	p.X.Label.Text = "VMs"
	p.Y.Label.Text = "seconds"
	return plotutil.AddLinePoints(p, "slowest VM", sortedPoints(reports, func(r *report.Report) plotter.XY {
		return plotter.XY{X: float64(r.VMs), Y: r.ConfigInForce}
	}))
}
