package org.lacewingcroft.placement;

/**
 * One part of a prompt, in the order in which it is read.
 *
 * @param id names its content; equal parts of different prompts have equal ids
 * @param tokens its length
 */
public record PromptPart(String id, long tokens) {}
