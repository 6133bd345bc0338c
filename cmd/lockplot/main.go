// Command lockplot draws what lockflow simulate --json prints: what a cold server is sent each
// second beside what it can do and what it bears. It is a program of its own so that the daemon
// doesn't carry the drawing library.
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

func draw(from, to string) error {
	raw, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	var all []fleetsim.Report
	if err := json.Unmarshal(raw, &all); err != nil {
		return fmt.Errorf("reading %s: %w", from, err)
	}
	if len(all) == 0 {
		return fmt.Errorf("%s: there is no report in it", from)
	}
	p := plot.New()
	p.Title.Text = "What a cold server is sent"
	p.X.Label.Text = "seconds since its start"
	p.Y.Label.Text = "calls a second"
	p.Legend.Top, p.Legend.Left = true, true
	line := func(name string, r fleetsim.Report, of func(fleetsim.Point) float64, i int) error {
		var xy plotter.XYs
		for _, pt := range r.Trace {
			xy = append(xy, plotter.XY{X: pt.Second, Y: of(pt)})
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return fmt.Errorf("drawing %s: %w", name, err)
		}
		l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i/4), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(name, l)
		return nil
	}
	if err := line("it bears over 2 s", all[0], func(pt fleetsim.Point) float64 { return pt.OverloadLimit }, 0); err != nil {
		return err
	}
	if err := line("it can do", all[0], func(pt fleetsim.Point) float64 { return pt.Capacity }, 1); err != nil {
		return err
	}
	for i, r := range all {
		name := fmt.Sprintf("%d instances, told %d, news up to %v late", r.Instances, r.GroupSize, r.Lag)
		if err := line(name, r, func(pt fleetsim.Point) float64 { return pt.SentCalls }, i+2); err != nil {
			return err
		}
	}
	if err := p.Save(8*vg.Inch, 4.5*vg.Inch, to); err != nil {
		return fmt.Errorf("writing %s: %w", to, err)
	}
	return nil
}
