/**
 * The configuration that operators write: organisations, work classes, services and their models.
 */
package org.bulrushweir.declaration;
