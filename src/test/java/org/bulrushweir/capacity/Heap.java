package org.bulrushweir.capacity;

import java.util.Arrays;
import java.util.function.Supplier;

/** Measures how much memory objects take. */
final class Heap {

  private static final int COLLECTIONS = 4;
  private static final int MEASUREMENTS = 5;

  private Heap() {}

  /**
   * Measures the memory that a new object keeps: the median of several measurements, because tests
   * that ran in the same process before leave objects behind that are freed during one of them.
   *
   * @param create creates the object
   * @return bytes
   */
  static long bytesOf(final Supplier<Object> create) {
    final long[] measured = new long[MEASUREMENTS];
    for (int count = 0; count < MEASUREMENTS; count++) {
      measured[count] = measure(create);
    }
    Arrays.sort(measured);
    return measured[MEASUREMENTS / 2];
  }

  private static long measure(final Supplier<Object> create) {
    final long before = used();
    final Object object = create.get();
    final long after = used();
    if (object.hashCode() == before) {
      System.out.print("");
    }
    return after - before;
  }

  private static long used() {
    for (int count = 0; count < COLLECTIONS; count++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
