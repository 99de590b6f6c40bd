/** The operators' text: which services exist, what they depend on and what holds for them. */
package org.bulrushweir.declaration;
