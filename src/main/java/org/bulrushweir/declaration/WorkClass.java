package org.bulrushweir.declaration;

/**
 * Describes a work class, which sets the priority and time limits of its requests.
 *
 * @param name the name of the work class
 * @param priority the priority; smaller numbers run first
 * @param deadlineMs the time limit for a whole answer, in milliseconds
 * @param firstTokenMs the limit on the time to first token, in milliseconds
 * @param expectedOutputTokens the length of a typical answer, in tokens
 * @param shortWork whether requests of this class may use the reserved slots
 */
public record WorkClass(
    String name,
    int priority,
    long deadlineMs,
    long firstTokenMs,
    int expectedOutputTokens,
    boolean shortWork) {}
