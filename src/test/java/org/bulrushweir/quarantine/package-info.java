/** Tests which prompt segments are kept away from engines. */
package org.bulrushweir.quarantine;
