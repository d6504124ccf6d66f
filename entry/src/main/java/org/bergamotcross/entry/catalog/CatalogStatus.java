package org.bergamotcross.entry.catalog;

import org.bergamotcross.entry.Broadcasts.Freshness;

/**
 * What the status page shows of the catalog.
 *
 * @param revision the number of configurations that this process has published
 * @param version the version of the settings in force
 * @param freshness until when the configuration may be used
 */
record CatalogStatus(long revision, long version, Freshness freshness) {}
