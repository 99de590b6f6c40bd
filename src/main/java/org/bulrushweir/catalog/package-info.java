/** What may be called and by whom: routes, organisations, and the endpoints behind services. */
package org.bulrushweir.catalog;
