/**
 * The routing plan and the endpoints: routes, services, organisations, and the directory of the
 * registered endpoints.
 */
package org.bulrushweir.catalog;
