package org.bulrushweir.delivery;

import com.google.protobuf.ByteString;

/**
 * Holds a part of an answer.
 *
 * @param payload the bytes: text of a chat's answer, or a piece of a response body
 * @param tokens how many tokens the text has
 */
public record AnswerPart(ByteString payload, int tokens) {}
