package org.cicadahead.testbed.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes the figures as Markdown and the program latencies as SVG plots. */
final class BenchReport {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 360;
    private static final int MARGIN = 50;
    private static final int POINTS = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    private static final String METHOD = """
            # Report of ./bench

            First seed %d, %d seeds. 90%% load is 90%% of the capacity that the engines have under a perfect cache:
            each new prompt token is computed once and each batch is full. The programs start over %d s. A worst value
            is the worst of the seeds.

            | figure | value | target | result |
            |---|---|---|---|
            """;

    private final Path folder;
    private final List<String> plots = new ArrayList<>();

    BenchReport(Path folder) {
        this.folder = folder;
    }

    /** Plots the percentiles of program latency of both versions; the vertical axis is logarithmic. */
    void plot(SeedRun run) throws IOException {
        String name = "latency-" + run.deployment.label + "-" + run.seed + ".svg";
        double most = Math.max(run.naive.max(), run.chosen.max()) / MILLIS_PER_SECOND;
        String svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + WIDTH + "\" height=\"" + HEIGHT + "\">"
                + "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>"
                + text(MARGIN, 20, run.deployment.label + ", seed " + run.seed + ": program latency by percentile, s")
                + curve(run.chosen, most, "#1b6ca8")
                + curve(run.naive, most, "#c0392b")
                + axes(most)
                + text(WIDTH - 200, 40, "blue: chosen, red: naive")
                + "</svg>\n";
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(name), svg);
        plots.add(name);
    }

    void write(long seed, int seeds, List<Figure> figures) throws IOException {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, METHOD, seed, seeds, SeedRun.SECONDS));
        for (Figure figure : figures) {
            String[] words = figure.line().split(" ");
            text.append("| ").append(String.join(" | ", words)).append(" |\n");
        }
        text.append('\n');
        plots.forEach(plot -> text.append("![program latency](").append(plot).append(")\n"));
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("report.md"), text);
    }

    private static String axes(double most) {
        StringBuilder axes = new StringBuilder();
        for (double seconds = 1; seconds <= most; seconds *= 10) {
            axes.append(text(5, y(seconds, most), String.format(Locale.ROOT, "%.0f", seconds)));
        }
        for (int percent = 0; percent <= POINTS; percent += 25) {
            axes.append(text(x(percent), HEIGHT - 10, "p" + percent));
        }
        return axes.toString();
    }

    private static String curve(Results results, double most, String colour) {
        StringBuilder points = new StringBuilder();
        for (int percent = 1; percent <= POINTS; percent++) {
            double seconds = results.percentile(percent) / MILLIS_PER_SECOND;
            points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(percent), y(seconds, most)));
        }
        return "<polyline fill=\"none\" stroke=\"" + colour + "\" points=\""
                + points.toString().strip() + "\"/>";
    }

    private static double x(double percent) {
        return MARGIN + percent / POINTS * (WIDTH - 2 * MARGIN);
    }

    private static double y(double seconds, double most) {
        double share = Math.log(Math.max(1, seconds)) / Math.log(Math.max(2, most));
        return HEIGHT - MARGIN + 10 - share * (HEIGHT - 2 * MARGIN);
    }

    private static String text(double x, double y, String content) {
        return String.format(Locale.ROOT, "<text x=\"%.0f\" y=\"%.0f\" font-size=\"12\">%s</text>", x, y, content);
    }
}
