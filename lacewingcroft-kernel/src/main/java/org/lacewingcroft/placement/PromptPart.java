package org.lacewingcroft.placement;

/**
 * One part of a prompt, in prompt order.
 *
 * @param id identifies its content; equal parts of different prompts have equal ids
 * @param tokens its length
 */
public record PromptPart(String id, long tokens) {}
