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
	"gonum.org/v1/plot/vg/vgsvg"

	"minttray/lab/measure"
)

type line struct {
	name string
	of   func(*measure.Second) float64
}

// charts are the plots of a run, in the order of the page.
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

var colors = []color.Color{color.RGBA{0x1f, 0x4e, 0x9a, 0xff}, color.RGBA{0xc0, 0x5a, 0x1f, 0xff}, color.RGBA{0x3c, 0x8a, 0x3c, 0xff}}

// plots draws all charts as SVG, with the faults marked.
func (r *Result) plots() (map[string][]byte, error) {
	out := map[string][]byte{}
	seconds := r.Stats.Seconds[:min(len(r.Stats.Seconds), int(r.LengthSeconds))]
	for _, c := range charts {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "s", c.unit
		p.Y.Min = 0
		top := 0.0
		for i, l := range c.lines {
			xys := make(plotter.XYs, len(seconds))
			for n, s := range seconds {
				xys[n] = plotter.XY{X: float64(n) + 0.5, Y: l.of(s)}
				top = max(top, xys[n].Y)
			}
			drawn, err := plotter.NewLine(xys)
			if err != nil {
				return nil, err
			}
			drawn.Color, drawn.Width = colors[i%len(colors)], vg.Points(1.2)
			p.Add(drawn)
			if len(c.lines) > 1 {
				p.Legend.Add(l.name, drawn)
			}
		}
		p.Y.Max = max(top*1.05, 1e-3)
		for _, e := range r.Events {
			mark, err := plotter.NewLine(plotter.XYs{{X: e.At, Y: 0}, {X: e.At, Y: p.Y.Max}})
			if err != nil {
				return nil, err
			}
			mark.Color, mark.Width, mark.Dashes = color.Gray{0x88}, vg.Points(0.6), []vg.Length{vg.Points(3), vg.Points(2)}
			p.Add(mark)
		}
		p.Legend.Top = true
		canvas := vgsvg.New(18*vg.Centimeter, 6*vg.Centimeter)
		p.Draw(plotDraw(canvas))
		var b bytes.Buffer
		if _, err := canvas.WriteTo(&b); err != nil {
			return nil, err
		}
		out[c.file] = b.Bytes()
	}
	return out, nil
}

// page is one self-contained page of HTML.
func (r *Result) page(plots map[string][]byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "<!doctype html><html lang=en><meta charset=utf-8><title>%s</title><style>body{font:15px/1.5 sans-serif;max-width:62em;margin:2em auto;padding:0 1em}"+
		"pre{background:#f4f4f2;padding:1em;overflow:auto}svg{max-width:100%%;height:auto}</style><h1>%s</h1><p>%s</p><pre>%s</pre>",
		html.EscapeString(r.Name), html.EscapeString(r.Name), html.EscapeString(r.About), html.EscapeString(r.Summary()))
	if len(r.Events) > 0 {
		b.WriteString("<h2>What was done, and when</h2><ul>")
		for _, e := range r.Events {
			fmt.Fprintf(&b, "<li>%.1f s: %s</li>", e.At, html.EscapeString(e.What))
		}
		b.WriteString("</ul>")
	}
	for _, c := range charts {
		svg := plots[c.file]
		if i := bytes.Index(svg, []byte("<svg")); i >= 0 {
			b.Write(svg[i:])
		}
	}
	b.WriteString("</html>\n")
	return []byte(b.String())
}
