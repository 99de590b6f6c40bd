/** The client of the platform's table service, object store and VM list. */
package org.bulrushweir.platform;
