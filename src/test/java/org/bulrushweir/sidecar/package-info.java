/** Tests of sidecars. */
package org.bulrushweir.sidecar;
