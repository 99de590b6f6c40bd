/** Tests of settings. */
package org.bulrushweir.settings;
