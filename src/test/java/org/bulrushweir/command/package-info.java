/** Tests the commands of the binary. */
package org.bulrushweir.command;
