/**
 * The adapter to the users' platform: translates its names, formats and calls into the product's
 * types. It decides nothing, and no other package knows the platform's words.
 */
package org.bulrushweir.platform;
