package org.persimmonrelay.experiment

import org.jfree.chart.ChartFactory
import org.jfree.chart.JFreeChart
import org.jfree.chart.plot.ValueMarker
import org.jfree.chart.plot.XYPlot
import org.jfree.data.xy.XYSeries
import org.jfree.data.xy.XYSeriesCollection
import org.jfree.svg.SVGGraphics2D
import java.awt.Color
import java.awt.Rectangle

/** Draws the charts of a scenario as one SVG document, one below the other. */
public class ScenarioPlot {
    /** The charts of [report] as SVG text; null if it has none. */
    public fun draw(report: ScenarioReport): String? {
        if (report.charts.isEmpty()) return null
        val graphics = SVGGraphics2D(WIDTH.toDouble(), HEIGHT.toDouble() * report.charts.size)
        graphics.defsKeyPrefix = report.scenario
        report.charts.forEachIndexed { index, chart ->
            draw(chart).draw(graphics, Rectangle(0, index * HEIGHT, WIDTH, HEIGHT))
        }
        return graphics.svgDocument
    }

    private fun draw(data: ChartData): JFreeChart {
        val series = XYSeriesCollection()
        data.lines.forEach { (name, points) -> series.addSeries(line(name, points)) }
        val chart = ChartFactory.createXYLineChart(data.title, data.timeUnit, data.unit, series)
        val plot = chart.plot as XYPlot
        plot.backgroundPaint = Color.WHITE
        data.marks.forEach { plot.addDomainMarker(ValueMarker(it, Color.LIGHT_GRAY, plot.domainGridlineStroke)) }
        return chart
    }

    private fun line(name: String, points: List<ChartPoint>): XYSeries {
        val line = XYSeries(name)
        points.forEach { line.add(it.at, it.value) }
        return line
    }

    private companion object {
        const val WIDTH = 900
        const val HEIGHT = 420
    }
}
