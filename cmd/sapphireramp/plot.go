package main

import (
	"fmt"
	"io"
	"math"
)

// Size of the plot and of its margins, in pixels.
const (
	plotWidth  = 720
	plotHeight = 420
	plotMargin = 60
)

// Range of the plot's vertical axis, in milliseconds.
const (
	plotLeast = 1.0
	plotMost  = 1_000_000.0
)

var (
	plotColours   = []string{"#1f4e9c", "#1e7b34", "#b26a00", "#b3261e"}
	plotQuantiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9}
)

// plot writes the time to first token against its quantile as an SVG, a line
// for each class of lengths.
func (l *load) plot(w io.Writer) error {
	p := &plotter{w: w}
	p.print(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, plotWidth, plotHeight)
	p.print(`<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="24">time to first token (ms) by quantile and tokens of the prompt</text>`, plotMargin)
	p.axes()
	for i, c := range lengthClasses {
		p.line(l.classes[i], c.name, plotColours[i], i)
	}
	p.print(`</svg>`)
	return p.err
}

// plotter writes shapes and keeps the first error.
type plotter struct {
	w   io.Writer
	err error
}

func (p *plotter) print(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// horizontal places the n-th quantile; vertical a time in milliseconds, on a
// logarithmic scale.
func horizontal(n int) float64 {
	return plotMargin + float64(n)*(plotWidth-2*plotMargin)/float64(len(plotQuantiles)-1)
}

func vertical(millis float64) float64 {
	part := math.Log(min(plotMost, max(plotLeast, millis))/plotLeast) / math.Log(plotMost/plotLeast)
	return plotHeight - plotMargin - part*(plotHeight-2*plotMargin)
}

func (p *plotter) axes() {
	for millis := plotLeast; millis <= plotMost; millis *= 10 {
		y := vertical(millis)
		p.print(`<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ccd"/><text x="%d" y="%.1f" text-anchor="end">%.0f</text>`,
			plotMargin, plotWidth-plotMargin, y, y, plotMargin-6, y+4, millis)
	}
	for n, q := range plotQuantiles {
		p.print(`<text x="%.1f" y="%d" text-anchor="middle">p%g</text>`, horizontal(n), plotHeight-plotMargin+18, q)
	}
}

func (p *plotter) line(t classTally, name, colour string, row int) {
	if t.firstToken.TotalCount() == 0 {
		return
	}
	points := ""
	for n, q := range plotQuantiles {
		points += fmt.Sprintf("%.1f,%.1f ", horizontal(n), vertical(millis(t.firstToken, q)))
	}
	p.print(`<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`, points, colour)
	p.print(`<text x="%d" y="%d" fill="%s">%s</text>`, plotMargin+8, plotMargin+14*(row+1), colour, name)
}
