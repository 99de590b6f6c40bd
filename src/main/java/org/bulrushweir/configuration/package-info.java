/** Decides, without I/O, which configuration is in force and how a new one is accepted. */
package org.bulrushweir.configuration;
