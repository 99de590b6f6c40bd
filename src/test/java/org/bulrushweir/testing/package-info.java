/** What tests of all packages share. */
package org.bulrushweir.testing;
