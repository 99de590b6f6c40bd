/**
 * Assignment of models to engines and the state machine, free of I/O, that orders an engine to load
 * and unload them.
 */
package org.bulrushweir.placement;
