/** Settings of the processes, read from TOML files. */
package org.bulrushweir.settings;
