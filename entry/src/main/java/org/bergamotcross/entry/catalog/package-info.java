/**
 * Service discovery through an external store: the catalog duty follows the settings and targets
 * published there and disseminates what one instance reads to the others.
 */
package org.bergamotcross.entry.catalog;
