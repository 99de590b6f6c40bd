/** Reads TOML texts, collecting all findings with line and column. */
package org.bulrushweir.toml;
