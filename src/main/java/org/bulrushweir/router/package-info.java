/** The router: takes callers' requests over HTTP and brings them to endpoints. */
package org.bulrushweir.router;
