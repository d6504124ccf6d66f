package org.bergamotcross.entry.catalog;

import java.util.Optional;
import org.bergamotcross.entry.Broadcasts.Freshness;

/**
 * The state of the catalog that the status page shows.
 *
 * @param revision the number of the configuration that this process published last, counted from 0;
 *     -1 before the first one
 * @param version the version of the settings in force, -1 if there are none
 * @param freshness until when the configuration may be used; empty until settings and targets are
 *     known
 */
record CatalogStatus(long revision, long version, Optional<Freshness> freshness) {}
