package org.bergamotcross.entry.peer;

import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** A socket of {@link PeerNetwork}, attached to its selection key. */
sealed interface PeerEndpoint permits PeerEndpoint.Listener, PeerEndpoint.Incoming, PeerLink {
  /**
   * Accepts the connections of peers.
   *
   * @param channel the listening socket
   */
  record Listener(ServerSocketChannel channel) implements PeerEndpoint {}

  /**
   * Receives the frames of one peer and sends nothing.
   *
   * @param channel the accepted connection
   * @param frames splits the received bytes into frames
   */
  record Incoming(SocketChannel channel, FrameReader frames) implements PeerEndpoint {}
}
