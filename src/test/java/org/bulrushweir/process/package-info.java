/** Tests that run the real binary as separate processes. */
package org.bulrushweir.process;
