/** Tests of what the demo sends and shows. */
package org.bulrushweir.demo;
