package org.bulrushweir.metrics;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

/** The metrics of a process and their text form. */
public abstract class MetricsPage {

  /** The media type of the text form. */
  public static final String MEDIA_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  /** Holds the metrics. */
  private final PrometheusRegistry registry = new PrometheusRegistry();

  /** Creates a page without metrics. */
  protected MetricsPage() {}

  /**
   * Returns where metrics are registered.
   *
   * @return the registry
   */
  protected final PrometheusRegistry registry() {
    return registry;
  }

  /**
   * Adds a gauge.
   *
   * @param name its name
   * @param help what it shows
   * @param value reads it
   */
  public final void gauge(final String name, final String help, final DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Writes all metrics.
   *
   * @return their text form
   */
  public final byte[] text() {
    final ByteArrayOutputStream output = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(output, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return output.toByteArray();
  }
}
