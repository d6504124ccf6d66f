/** Message exchange, heartbeats and peer discovery between instances over TCP and MessagePack. */
package org.bergamotcross.entry.peer;
