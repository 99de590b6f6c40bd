/** Tests of routers' connections with sidecars. */
package org.bulrushweir.router;
