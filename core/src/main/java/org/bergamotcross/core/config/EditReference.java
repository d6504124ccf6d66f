package org.bergamotcross.core.config;

/**
 * A reference to an edit in the log.
 *
 * @param editId the id that the author chose
 * @param author who published the edit
 * @param offset the offset of the edit
 */
public record EditReference(String editId, String author, long offset) {}
