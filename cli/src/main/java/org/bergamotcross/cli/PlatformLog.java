package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.ConfigurationFold;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.FoldResult;
import org.bergamotcross.core.config.LogReader;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.entry.platform.PekkoPlatformClient;
import org.bergamotcross.entry.platform.PlatformClient;
import org.bergamotcross.entry.platform.TeamSettingsParser;

/** The log as an operator's command sees it: read up to the head, folded, and appended to. */
final class PlatformLog implements AutoCloseable {
  private static final int PAGE = 500;
  private static final String CLIENT_NAME = "bergamotcross-cli";

  private final PlatformClient client;
  private final ConfigurationFold fold = new ConfigurationFold(TeamSettingsParser.contentReader());
  private final LogReader reader = new LogReader(fold);
  private final Map<String, FoldResult> judged = new HashMap<>();

  PlatformLog(InetSocketAddress platform) {
    client = PekkoPlatformClient.withOwnActorSystem(platform, CLIENT_NAME);
  }

  /** Returns the state up to the last record that was read. */
  ConfigurationFold fold() {
    return fold;
  }

  /**
   * Returns what the log decided about an edit at its first place.
   *
   * @return the decision; nothing when the edit has not been read
   */
  Optional<FoldResult> judgement(String editId) {
    return Optional.ofNullable(judged.get(editId));
  }

  PlatformClient.AppendResult append(ControlRecord record) {
    return client
        .append(PlatformClient.CONTROL_STREAM, ControlRecordCodec.encode(record))
        .toCompletableFuture()
        .join();
  }

  /**
   * Reads up to the head of the log.
   *
   * @return nothing when the head is reached, or why it is not by the end of the time
   */
  Optional<String> readToHead(TimeLimit limit) {
    String problem = "no time left";
    while (!limit.isOver()) {
      long from = reader.nextOffset();
      PlatformClient.ReadResult result =
          client
              .read(PlatformClient.CONTROL_STREAM, from, PAGE, Duration.ZERO)
              .toCompletableFuture()
              .join();
      switch (result) {
        case PlatformClient.ReadResult.Page page -> {
          if (take(from, page)) {
            return Optional.empty();
          }
          problem = "the records from offset " + reader.nextOffset() + " on are not readable";
          if (!page.records().isEmpty()) {
            continue;
          }
        }
        case PlatformClient.ReadResult.NotRetained gone -> {
          reader.gone(gone.earliest());
          problem = "records before offset " + gone.earliest() + " are gone, without a snapshot";
        }
        case PlatformClient.ReadResult.Unavailable unavailable -> problem = unavailable.reason();
      }
      if (!limit.pause()) {
        break;
      }
    }
    return Optional.of(problem);
  }

  private boolean take(long from, PlatformClient.ReadResult.Page page) {
    List<LogReader.Entry> entries = new ArrayList<>();
    Map<Long, String> editIds = new HashMap<>();
    for (PlatformClient.LogRecord record : page.records()) {
      LogReader.Content content =
          switch (ControlRecordCodec.decode(record.data())) {
            case ControlRecordCodec.Decoded.Invalid unreadable ->
                new LogReader.Content.Unreadable(unreadable.reason());
            case ControlRecordCodec.Decoded.Valid understood -> {
              editId(understood.record()).ifPresent(id -> editIds.put(record.offset(), id));
              yield new LogReader.Content.Known(understood.record());
            }
          };
      entries.add(new LogReader.Entry(record.offset(), content));
    }
    LogReader.PageResult result =
        reader.page(
            new LogReader.Page(
                from, page.earliest(), page.next(), entries, entries.size() == PAGE));
    for (LogReader.Step step : result.steps()) {
      Optional.ofNullable(editIds.get(step.offset()))
          .ifPresent(id -> judged.putIfAbsent(id, step.result()));
    }
    return result.atHead();
  }

  private static Optional<String> editId(ControlRecord record) {
    return record instanceof ControlRecord.Edit edit
        ? Optional.of(edit.editId())
        : Optional.empty();
  }

  @Override
  public void close() {
    client.close();
  }
}
