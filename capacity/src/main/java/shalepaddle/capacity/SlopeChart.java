package shalepaddle.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Slopes as small charts side by side: what was measured, the line, and the size that is coming.
 */
public final class SlopeChart {
  private static final int COLUMNS = 3;

  private SlopeChart() {}

  /**
   * Draws them.
   *
   * @param file a PNG
   * @param nodes and
   * @param servers the size that is asked for
   */
  public static void draw(Path file, List<Slope> slopes, int nodes, int servers)
      throws IOException {
    List<XYChart> charts = new ArrayList<>();
    for (Slope slope : slopes) {
      charts.add(chart(slope, slope.size().equals("nodes") ? nodes : servers));
    }
    int rows = (charts.size() + COLUMNS - 1) / COLUMNS;
    while (charts.size() < rows * COLUMNS) {
      charts.add(new XYChartBuilder().width(420).height(300).build());
    }
    String name = file.toString();
    BitmapEncoder.saveBitmap(
        new ArrayList<>(charts), rows, COLUMNS, name, BitmapEncoder.BitmapFormat.PNG);
  }

  private static XYChart chart(Slope slope, int asked) {
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
    double[] ends = {sizes[0], sizes[sizes.length - 1]};
    chart
        .addSeries("line", ends, new double[] {slope.at(ends[0]), slope.at(ends[1])})
        .setMarker(SeriesMarkers.NONE);
    chart.addSeries("asked", new double[] {asked}, new double[] {slope.at(asked)});
    return chart;
  }
}
