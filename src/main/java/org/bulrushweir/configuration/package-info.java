/**
 * State machines, free of I/O, for the submission of configurations and for putting accepted ones
 * in force.
 */
package org.bulrushweir.configuration;
