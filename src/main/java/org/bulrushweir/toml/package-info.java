/** Reads TOML texts and collects all findings about them with line and column. */
package org.bulrushweir.toml;
