package scale

import (
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// This file owns the chart of runs: bytes and processor time of a dispatcher
// over the run, each mechanism a line.

var lineColors = []color.Color{
	color.RGBA{0xd9, 0x7b, 0x1c, 0xff}, color.RGBA{0x1f, 0x5f, 0x9e, 0xff}, color.RGBA{0x2e, 0x7d, 0x4f, 0xff},
}

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 6.4 * vg.Inch
)

// WriteChart writes runs of one scenario as SVG.
func WriteChart(w io.Writer, runs []*Run) error {
	bytes := newPlot("Bytes of a dispatcher a second, mean of the hollow ones", "bytes a second")
	share := newPlot("Processor time of a dispatcher, mean of the hollow ones", "share of a core")
	for i, run := range runs {
		hollow := run.groups()[0]
		n := float64(len(hollow.members))
		c := lineColors[i%len(lineColors)]
		if err := addLine(bytes, run, c, func(s *sample) (sum float64) {
			for _, name := range hollow.members {
				sum += float64(s.bytes[name])
			}
			return sum / n
		}); err != nil {
			return err
		}
		if err := addLine(share, run, c, func(s *sample) (sum float64) {
			for holder := range hollow.holders {
				sum += s.cpu[holder].Seconds()
			}
			return sum / n
		}); err != nil {
			return err
		}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1}
	whole := draw.New(canvas)
	bytes.Draw(tiles.At(whole, 0, 0))
	share.Draw(tiles.At(whole, 0, 1))
	_, err := canvas.WriteTo(w)
	return err
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "second of the run", y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// addLine draws how fast a count rises between samples.
func addLine(p *plot.Plot, run *Run, c color.Color, count func(*sample) float64) error {
	var points plotter.XYs
	began := run.samples[0].at
	for i := 1; i < len(run.samples); i++ {
		before, after := &run.samples[i-1], &run.samples[i]
		span := after.at.Sub(before.at).Seconds()
		if span < sampleStep.Seconds()/2 {
			continue // the last look comes soon after the one before
		}
		points = append(points, plotter.XY{X: after.at.Sub(began).Seconds(), Y: (count(after) - count(before)) / span})
	}
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = c, vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(string(run.Mechanism), line)
	return nil
}
