/** A small fleet in one process, on stand-ins: a newcomer's first run. */
package org.bulrushweir.demo;
