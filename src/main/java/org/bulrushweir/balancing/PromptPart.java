package org.bulrushweir.balancing;

/**
 * Names a part of a prompt. Requests whose first parts are the same share their cache.
 *
 * @param id the part's id
 * @param tokens how many tokens it has
 */
public record PromptPart(long id, int tokens) {}
