package org.bulrushweir.delivery;

import com.google.protobuf.ByteString;

/**
 * A part of an answer.
 *
 * @param payload UTF-8 text of a chat's answer, or a piece of a plain service's response body
 * @param tokens the number of tokens in the text
 */
public record AnswerPart(ByteString payload, int tokens) {}
