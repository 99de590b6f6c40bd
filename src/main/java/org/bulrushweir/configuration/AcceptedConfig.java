package org.bulrushweir.configuration;

import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.declaration.Declaration;

/**
 * A configuration that was accepted.
 *
 * @param number the configuration's number
 * @param digest the SHA-256 digest of its text, in hexadecimal
 * @param text the text as the operator submitted it
 * @param declaration the parsed text
 */
public record AcceptedConfig(
    ConfigNumber number, String digest, String text, Declaration declaration) {}
