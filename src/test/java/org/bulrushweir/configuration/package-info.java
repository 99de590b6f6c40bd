/** Tests of how configurations are accepted and come into force. */
package org.bulrushweir.configuration;
