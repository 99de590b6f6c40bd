/**
 * Finds prompt segments under which engines crash, and keeps requests with them away from engines.
 */
package org.bulrushweir.quarantine;
