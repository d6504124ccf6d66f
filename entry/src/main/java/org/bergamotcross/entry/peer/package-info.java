/** The exchange of messages between instances: TCP frames of MessagePack. */
package org.bergamotcross.entry.peer;
