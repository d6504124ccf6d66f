package org.bergamotcross.core.config;

/**
 * An API key that an operator has issued to an organisation.
 *
 * @param name the name in the settings
 * @param organisation the organisation on whose behalf requests with the key run
 * @param hash the hash of the key
 */
public record ApiKey(String name, OrganisationId organisation, KeyHash hash) {}
