package org.bulrushweir.declaration;

/**
 * Describes a class of work.
 *
 * @param name the class's name
 * @param priority smaller numbers go first
 * @param deadlineMs how long a whole answer may take, in milliseconds
 * @param firstTokenMs how long the first token may take, in milliseconds
 * @param expectedOutputTokens the length of a usual answer, in tokens
 * @param shortWork whether slots are reserved for this class
 */
public record WorkClass(
    String name,
    int priority,
    long deadlineMs,
    long firstTokenMs,
    int expectedOutputTokens,
    boolean shortWork) {}
