package org.bulrushweir.configuration;

import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.declaration.Declaration;

/**
 * Holds an accepted configuration.
 *
 * @param number its number
 * @param digest the SHA-256 digest of its text, in hexadecimal
 * @param text the operators' text
 * @param declaration what the text declares
 */
public record AcceptedConfig(
    ConfigNumber number, String digest, String text, Declaration declaration) {}
