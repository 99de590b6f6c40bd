package org.bulrushweir.command;

import java.io.PrintStream;

/**
 * Says where a command writes.
 *
 * @param out takes results
 * @param err takes complaints
 */
public record Console(PrintStream out, PrintStream err) {}
