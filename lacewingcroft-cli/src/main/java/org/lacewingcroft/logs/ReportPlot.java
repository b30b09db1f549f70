package org.lacewingcroft.logs;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.StackedXYBarRenderer;
import org.jfree.chart.renderer.xy.StandardXYBarPainter;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.DefaultTableXYDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.lacewingcroft.logs.RequestOutcome.Result;

/** Plots request results and the time to first byte of served requests, by second of arrival. */
public final class ReportPlot {
  private static final int WIDTH_PIXELS = 1_200;
  private static final int HEIGHT_PIXELS = 800;
  private static final double[] PERCENTILES = {50, 90, 99};
  private static final Map<Result, Color> COLORS =
      new EnumMap<>(
          Map.of(
              Result.SERVED, new Color(0x6b, 0xae, 0x75),
              Result.REFUSED, new Color(0xe0, 0xb0, 0x3c),
              Result.FAILED, new Color(0xc0, 0x39, 0x2b),
              Result.LEFT, new Color(0x8e, 0x8e, 0x8e)));

  private ReportPlot() {}

  /**
   * Writes the plot as a PNG file.
   *
   * @throws IOException if the file cannot be written
   */
  public static void write(ServiceReport report, Path file) throws IOException {
    Map<Long, OutcomeCounts> bySecond = report.countsBySecond();
    CombinedDomainXYPlot plots = new CombinedDomainXYPlot(new NumberAxis("second"));
    plots.add(countsPlot(bySecond), 2);
    plots.add(latencyPlot(bySecond), 1);
    JFreeChart chart = new JFreeChart("Requests by second of arrival", plots);
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
  }

  private static XYPlot countsPlot(Map<Long, OutcomeCounts> bySecond) {
    DefaultTableXYDataset counts = new DefaultTableXYDataset();
    StackedXYBarRenderer renderer = new StackedXYBarRenderer(0.1);
    renderer.setBarPainter(new StandardXYBarPainter());
    renderer.setShadowVisible(false);
    for (Result result : Result.values()) {
      XYSeries series = new XYSeries(result.name().toLowerCase(Locale.ROOT), true, false);
      bySecond.forEach((second, c) -> series.add(second.doubleValue(), c.count(result)));
      renderer.setSeriesPaint(counts.getSeriesCount(), COLORS.get(result));
      counts.addSeries(series);
    }
    return new XYPlot(counts, null, new NumberAxis("requests"), renderer);
  }

  private static XYPlot latencyPlot(Map<Long, OutcomeCounts> bySecond) {
    XYSeriesCollection latencies = new XYSeriesCollection();
    for (double percentile : PERCENTILES) {
      XYSeries series = new XYSeries("first byte, percentile " + (int) percentile);
      bySecond.forEach(
          (second, c) -> series.add(second.doubleValue(), c.firstByteMillis(percentile)));
      latencies.addSeries(series);
    }
    XYLineAndShapeRenderer lines = new XYLineAndShapeRenderer(true, false);
    return new XYPlot(latencies, null, new NumberAxis("ms"), lines);
  }
}
