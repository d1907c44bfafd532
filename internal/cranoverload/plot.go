package cranoverload

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes goodput over offered load to a file, with one line for each policy. The extension of the file, such as
// .svg or .png, determines the format.
func Plot(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Goodput in a surge"
	p.X.Label.Text = "offered load / capacity"
	p.Y.Label.Text = "goodput / capacity"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, 1
	p.Add(plotter.NewGrid())
	var lines []any
	for _, policy := range Policies() {
		var points plotter.XYs
		for _, r := range results {
			if r.Settings.Policy == policy {
				points = append(points, plotter.XY{X: r.Settings.Factor, Y: r.Goodput})
			}
		}
		if len(points) > 0 {
			lines = append(lines, string(policy), points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrap(err, "the plot could not be drawn")
	}
	if err := p.Save(6*vg.Inch, 4*vg.Inch, file); err != nil {
		return eris.Wrapf(err, "the plot could not be written to %s", file)
	}
	return nil
}
