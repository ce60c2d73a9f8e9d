package shalepaddle.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws slopes as a grid of charts, with measured points, fitted line, and planned size. */
public final class SlopeChart {
  private static final int COLUMN_COUNT = 3;

  private SlopeChart() {}

  /**
   * Draws one chart for each slope.
   *
   * @param file the PNG to write
   * @param nodes the planned number of nodes
   * @param servers the planned number of cache servers
   */
  public static void draw(Path file, List<Slope> slopes, int nodes, int servers)
      throws IOException {
    List<XYChart> charts = new ArrayList<>();
    for (Slope slope : slopes) {
      charts.add(createChart(slope, slope.size().equals("nodes") ? nodes : servers));
    }
    int rowCount = (charts.size() + COLUMN_COUNT - 1) / COLUMN_COUNT;
    while (charts.size() < rowCount * COLUMN_COUNT) {
      charts.add(new XYChartBuilder().width(420).height(300).build());
    }
    String fileName = file.toString();
    BitmapEncoder.saveBitmap(
        new ArrayList<>(charts), rowCount, COLUMN_COUNT, fileName, BitmapEncoder.BitmapFormat.PNG);
  }

  private static XYChart createChart(Slope slope, int plannedSize) {
    XYChart chart =
        new XYChartBuilder()
            .width(420)
            .height(300)
            .title(slope.role() + ": " + slope.figure())
            .xAxisTitle(slope.size())
            .yAxisTitle(slope.unit())
            .build();
    chart.getStyler().setLegendVisible(false).setChartTitleFont(chart.getStyler().getLegendFont());
    double[] sizes = slope.points().stream().mapToDouble(Slope.Point::size).toArray();
    double[] values = slope.points().stream().mapToDouble(Slope.Point::value).toArray();
    chart.addSeries("measured", sizes, values);
    double[] endSizes = {sizes[0], sizes[sizes.length - 1]};
    chart
        .addSeries(
            "line", endSizes, new double[] {slope.valueAt(endSizes[0]), slope.valueAt(endSizes[1])})
        .setMarker(SeriesMarkers.NONE);
    chart.addSeries(
        "planned", new double[] {plannedSize}, new double[] {slope.valueAt(plannedSize)});
    return chart;
  }
}
