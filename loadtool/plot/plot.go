// Package plot draws reports as pictures.
package plot

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
	gonum "gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"buckthornridge/loadtool/report"
)

// Size of a picture.
const (
	width  = 8 * vg.Inch
	height = 5 * vg.Inch
)

const percent = 100

// Kinds of picture.
const (
	// Load draws the first token's p95 in ms and the goodput in percent against
	// the rate of requests.
	Load = "load"
	// Spend draws each report's budgets against time.
	Spend = "spend"
	// Config draws the time until a version is in force against the VMs.
	Config = "config"
)

// Draw writes a picture of reports; the file's ending selects SVG or PNG.
func Draw(kind string, reports []*report.Report, path string) error {
	p := gonum.New()
	var err error
	switch kind {
	case Load:
		err = drawLoad(p, reports)
	case Spend:
		err = drawSpend(p, reports)
	case Config:
		err = drawConfig(p, reports)
	default:
		return eris.Errorf("there is no picture %q", kind)
	}
	if err != nil {
		return eris.Wrapf(err, "draw %s", kind)
	}
	return eris.Wrapf(p.Save(width, height, path), "write %s", path)
}

func points(reports []*report.Report, at func(*report.Report) plotter.XY) plotter.XYs {
	var all plotter.XYs
	for _, r := range reports {
		all = append(all, at(r))
	}
	slices.SortFunc(all, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return all
}

func drawLoad(p *gonum.Plot, reports []*report.Report) error {
	p.Title.Text = "First token and goodput against load"
	p.X.Label.Text = "requests a second"
	p.Y.Label.Text = "ms, percent"
	return plotutil.AddLinePoints(p,
		"first token p95, ms", points(reports, func(r *report.Report) plotter.XY { return plotter.XY{X: r.Rate, Y: r.TTFT.P95} }),
		"goodput, percent", points(reports, func(r *report.Report) plotter.XY { return plotter.XY{X: r.Rate, Y: r.Goodput * percent} }),
	)
}

func drawSpend(p *gonum.Plot, reports []*report.Report) error {
	p.Title.Text = "Budgets against time"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens"
	var lines []any
	for _, r := range reports {
		line := func(name string, of func(report.Point) int64) {
			var all plotter.XYs
			for _, s := range r.Spend {
				all = append(all, plotter.XY{X: s.Second, Y: float64(of(s))})
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
	p.Title.Text = "Time until a version is in force everywhere"
	p.X.Label.Text = "VMs"
	p.Y.Label.Text = "seconds"
	return plotutil.AddLinePoints(p, "slowest VM", points(reports, func(r *report.Report) plotter.XY {
		return plotter.XY{X: float64(r.VMs), Y: r.ConfigInForce}
	}))
}
