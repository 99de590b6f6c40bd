/** Small, stable types shared by all modules: ids, time, findings and the service interface. */
package org.bulrushweir.api;
