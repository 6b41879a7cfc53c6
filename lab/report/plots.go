package report

import (
	"bytes"
	"fmt"
	"html"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"minttray/lab/measure"
)

// line is one line of a chart.
type line struct {
	name  string
	value func(*measure.Second) float64
}

// charts are the plots of a run, in the order of the HTML page. file is the name of the SVG file without its extension.
var charts = []struct {
	file, title, unit string
	lines             []line
}{
	{"service", "benefit answered in time, of that asked for", "share", []line{
		{"in time", func(s *measure.Second) float64 { return s.BenefitInTime / max(s.BenefitRequested, 1e-9) }}}},
	{"latency", "answers by when their op was due", "ms", []line{
		{"half", func(s *measure.Second) float64 { return s.P50 }},
		{"99%", func(s *measure.Second) float64 { return s.P99 }}}},
	{"ops", "ops, tries and refusals", "a second", []line{
		{"ops", func(s *measure.Second) float64 { return float64(s.Ops) }},
		{"tries", func(s *measure.Second) float64 { return float64(s.Tries) }},
		{"nacked", func(s *measure.Second) float64 { return float64(s.Nacked) }}}},
	{"origin", "fetches from the origin", "a second", []line{
		{"fetches", func(s *measure.Second) float64 { return float64(s.Fetches) }}}},
	{"servers", "connections to caches, and what waits there", "count", []line{
		{"connections", func(s *measure.Second) float64 { return float64(s.Conns) }},
		{"waiting", func(s *measure.Second) float64 { return float64(s.QueuedRequests) }}}},
	{"proxies", "the proxies' cores", "cores", []line{
		{"cores", func(s *measure.Second) float64 { return s.CPU }}}},
}

// lineColors are the colors of a chart's lines, in order.
var lineColors = []color.Color{color.RGBA{0x1f, 0x4e, 0x9a, 0xff}, color.RGBA{0xc0, 0x5a, 0x1f, 0xff}, color.RGBA{0x3c, 0x8a, 0x3c, 0xff}}

// eventColor is the color of the marks of events.
var eventColor = color.Gray{0x88}

// Sizes of charts.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 6 * vg.Centimeter
	headroom    = 1.05 // height of the Y axis, as a multiple of the largest value
	minYMax     = 1e-3 // smallest height of the Y axis
)

// plots draws all charts as SVG, by file name. Events are marked by dashed vertical lines.
func (r *Result) plots() (map[string][]byte, error) {
	files := map[string][]byte{}
	seconds := r.Stats.Seconds[:min(len(r.Stats.Seconds), int(r.LengthSeconds))]
	for _, chart := range charts {
		p := plot.New()
		p.Title.Text = chart.title
		p.X.Label.Text = "s"
		p.Y.Label.Text = chart.unit
		p.Y.Min = 0
		maxValue := 0.0
		for i, l := range chart.lines {
			points := make(plotter.XYs, len(seconds))
			for n, s := range seconds {
				points[n] = plotter.XY{X: float64(n) + 0.5, Y: l.value(s)}
				maxValue = max(maxValue, points[n].Y)
			}
			drawn, err := plotter.NewLine(points)
			if err != nil {
				return nil, err
			}
			drawn.Color = lineColors[i%len(lineColors)]
			drawn.Width = vg.Points(1.2)
			p.Add(drawn)
			if len(chart.lines) > 1 {
				p.Legend.Add(l.name, drawn)
			}
		}
		p.Y.Max = max(maxValue*headroom, minYMax)
		for _, event := range r.Events {
			mark, err := plotter.NewLine(plotter.XYs{{X: event.At, Y: 0}, {X: event.At, Y: p.Y.Max}})
			if err != nil {
				return nil, err
			}
			mark.Color = eventColor
			mark.Width = vg.Points(0.6)
			mark.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
			p.Add(mark)
		}
		p.Legend.Top = true
		canvas := vgsvg.New(chartWidth, chartHeight)
		p.Draw(draw.New(canvas))
		var svg bytes.Buffer
		if _, err := canvas.WriteTo(&svg); err != nil {
			return nil, err
		}
		files[chart.file] = svg.Bytes()
	}
	return files, nil
}

// page formats the result as an HTML page with the charts embedded.
func (r *Result) page(plots map[string][]byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "<!doctype html><html lang=en><meta charset=utf-8><title>%s</title><style>body{font:15px/1.5 sans-serif;max-width:62em;margin:2em auto;padding:0 1em}"+
		"pre{background:#f4f4f2;padding:1em;overflow:auto}svg{max-width:100%%;height:auto}</style><h1>%s</h1><p>%s</p><pre>%s</pre>",
		html.EscapeString(r.Name), html.EscapeString(r.Name), html.EscapeString(r.About), html.EscapeString(r.Summary()))
	if len(r.Events) > 0 {
		b.WriteString("<h2>What was done, and when</h2><ul>")
		for _, event := range r.Events {
			fmt.Fprintf(&b, "<li>%.1f s: %s</li>", event.At, html.EscapeString(event.What))
		}
		b.WriteString("</ul>")
	}
	for _, chart := range charts {
		svg := plots[chart.file]
		if i := bytes.Index(svg, []byte("<svg")); i >= 0 { // leaves out the XML declaration
			b.Write(svg[i:])
		}
	}
	b.WriteString("</html>\n")
	return []byte(b.String())
}
