/** Tests for claims of idempotency keys. */
package org.bulrushweir.runonce;
