/** The settings of a process, read from a TOML file. */
package org.bulrushweir.settings;
