// Command lockplot plots reports of `lockflow simulate --json`: the calls that a warming-up server receives each
// second, compared with its capacity and its overload limit. It is a separate program so that the daemon does not
// link the plotting library.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lockflow/internal/simulation/fleetsim"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lockplot REPORTS.json PICTURE.svg|.png|.pdf")
		os.Exit(2)
	}
	if err := draw(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "lockplot:", err)
		os.Exit(1)
	}
}

func draw(reportsPath, picturePath string) error {
	raw, err := os.ReadFile(reportsPath)
	if err != nil {
		return err
	}
	var reports []fleetsim.Report
	if err := json.Unmarshal(raw, &reports); err != nil {
		return fmt.Errorf("reading %s: %w", reportsPath, err)
	}
	if len(reports) == 0 {
		return fmt.Errorf("%s: contains no reports", reportsPath)
	}
	p := plot.New()
	p.Title.Text = "What a cold server is sent"
	p.X.Label.Text = "seconds since its start"
	p.Y.Label.Text = "calls a second"
	p.Legend.Top, p.Legend.Left = true, true
	line := func(name string, r fleetsim.Report, value func(fleetsim.Point) float64, i int) error {
		var points plotter.XYs
		for _, point := range r.Trace {
			points = append(points, plotter.XY{X: point.Second, Y: value(point)})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plotting %s: %w", name, err)
		}
		l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i/4), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(name, l)
		return nil
	}
	if err := line("it bears over 2 s", reports[0], func(point fleetsim.Point) float64 { return point.OverloadLimit }, 0); err != nil {
		return err
	}
	if err := line("it can do", reports[0], func(point fleetsim.Point) float64 { return point.Capacity }, 1); err != nil {
		return err
	}
	for i, r := range reports {
		name := fmt.Sprintf("%d instances, told %d, news up to %v late", r.Instances, r.GroupSize, r.Lag)
		if err := line(name, r, func(point fleetsim.Point) float64 { return point.SentCalls }, i+2); err != nil {
			return err
		}
	}
	if err := p.Save(8*vg.Inch, 4.5*vg.Inch, picturePath); err != nil {
		return fmt.Errorf("writing %s: %w", picturePath, err)
	}
	return nil
}
