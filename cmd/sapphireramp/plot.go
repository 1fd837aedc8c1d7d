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

// Range of the vertical axis, the time to first token, in milliseconds.
const (
	minPlotMillis = 1.0
	maxPlotMillis = 1_000_000.0
)

var (
	// plotColours holds the line colours of lengthClasses, in the same order.
	plotColours = []string{"#1f4e9c", "#1e7b34", "#b26a00", "#b3261e"}
	// plotQuantiles lists the percentiles on the horizontal axis, which are drawn at equal distances.
	plotQuantiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9}
)

// writePlot writes an SVG image that plots the time to first token against the percentile, with one line for
// each class of prompt lengths.
func (l *loadTest) writePlot(w io.Writer) error {
	p := &plotter{w: w}
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, plotWidth, plotHeight)
	p.printf(`<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="24">time to first token (ms) by percentile and prompt length in tokens</text>`, plotMargin)
	p.drawAxes()
	for i, c := range lengthClasses {
		p.drawSeries(l.results[i], c.name, plotColours[i], i)
	}
	p.printf(`</svg>`)
	return p.err
}

// plotter writes SVG elements to w. After the first write error it writes nothing more.
type plotter struct {
	w io.Writer
	// err is the first write error, nil if none occurred.
	err error
}

// printf writes a formatted line, unless an earlier write failed.
func (p *plotter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// xPosition returns the horizontal position, in pixels, of the element at index i of plotQuantiles.
func xPosition(i int) float64 {
	return plotMargin + float64(i)*(plotWidth-2*plotMargin)/float64(len(plotQuantiles)-1)
}

// yPosition returns the vertical position, in pixels, of a time in milliseconds on a logarithmic scale. A time
// outside the range of the axis is drawn at the nearer end of the axis.
func yPosition(millis float64) float64 {
	fraction := math.Log(min(maxPlotMillis, max(minPlotMillis, millis))/minPlotMillis) / math.Log(maxPlotMillis/minPlotMillis)
	return plotHeight - plotMargin - fraction*(plotHeight-2*plotMargin)
}

// drawAxes draws a grid line for each power of ten milliseconds, and the labels of both axes.
func (p *plotter) drawAxes() {
	for millis := minPlotMillis; millis <= maxPlotMillis; millis *= 10 {
		y := yPosition(millis)
		p.printf(`<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ccd"/><text x="%d" y="%.1f" text-anchor="end">%.0f</text>`,
			plotMargin, plotWidth-plotMargin, y, y, plotMargin-6, y+4, millis)
	}
	for i, q := range plotQuantiles {
		p.printf(`<text x="%.1f" y="%d" text-anchor="middle">p%g</text>`, xPosition(i), plotHeight-plotMargin+18, q)
	}
}

// drawSeries draws the line of one class of prompt lengths, and the name of the class in the given row of the
// legend, counted from 0. It draws nothing if the class has no measurements.
func (p *plotter) drawSeries(result classResult, name, colour string, legendRow int) {
	if result.timeToFirstToken.TotalCount() == 0 {
		return
	}
	points := ""
	for i, q := range plotQuantiles {
		points += fmt.Sprintf("%.1f,%.1f ", xPosition(i), yPosition(quantileMillis(result.timeToFirstToken, q)))
	}
	p.printf(`<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`, points, colour)
	p.printf(`<text x="%d" y="%d" fill="%s">%s</text>`, plotMargin+8, plotMargin+14*(legendRow+1), colour, name)
}
