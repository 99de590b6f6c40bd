/** Tests of the settings. */
package org.bulrushweir.settings;
