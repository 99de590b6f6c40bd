/** The router: accepts requests of callers over HTTP and sends them to endpoints. */
package org.bulrushweir.router;
