/** Tests for the submission and adoption of configurations. */
package org.bulrushweir.configuration;
