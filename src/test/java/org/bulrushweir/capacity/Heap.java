package org.bulrushweir.capacity;

import java.util.function.Supplier;

/** Measures how much memory objects take. */
final class Heap {

  private static final int COLLECTIONS = 4;

  private Heap() {}

  /**
   * Measures the memory that a new object keeps.
   *
   * @param create creates the object
   * @return bytes
   */
  static long bytesOf(final Supplier<Object> create) {
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
