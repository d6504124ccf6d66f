/**
 * The catalog duty: follows settings and targets that are published as whole documents outside the
 * fleet, and shares what one instance reads with the others.
 */
package org.bergamotcross.entry.catalog;
