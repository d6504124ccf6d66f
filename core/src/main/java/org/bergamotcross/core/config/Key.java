package org.bergamotcross.core.config;

/**
 * A key that an operator has given to an organisation.
 *
 * @param name the name in the settings
 * @param organisation whose requests come with it
 * @param hash the hash of the key
 */
public record Key(String name, OrganisationId organisation, KeyHash hash) {}
