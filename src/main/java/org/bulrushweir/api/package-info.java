/** Small, stable types shared by all packages: identifiers, the clock and findings about inputs. */
package org.bulrushweir.api;
