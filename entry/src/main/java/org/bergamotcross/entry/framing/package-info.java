/** Framing of HTTP messages: where a head and a body end. */
package org.bergamotcross.entry.framing;
