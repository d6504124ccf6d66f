package org.bergamotcross.core.config;

/**
 * Names an edit in the log.
 *
 * @param editId the id that its author chose
 * @param author who published it
 * @param offset where it stands in the log
 */
public record EditReference(String editId, String author, long offset) {}
