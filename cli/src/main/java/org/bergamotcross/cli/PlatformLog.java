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

/** Reads the control log of the platform up to its head, folds its records and appends records. */
final class PlatformLog implements AutoCloseable {
  private static final int PAGE_RECORDS = 500;
  private static final String CLIENT_NAME = "bergamotcross-cli";

  private final PlatformClient client;
  private final ConfigurationFold fold = new ConfigurationFold(TeamSettingsParser.contentParser());
  private final LogReader reader = new LogReader(fold);
  private final Map<String, FoldResult> decisions = new HashMap<>();

  PlatformLog(InetSocketAddress platform) {
    client = PekkoPlatformClient.withOwnActorSystem(platform, CLIENT_NAME);
  }

  /** Returns the configuration folded from the records read so far. */
  ConfigurationFold fold() {
    return fold;
  }

  /**
   * Returns the result of folding an edit where it first appears in the log.
   *
   * @return the result, or empty if the edit has not been read
   */
  Optional<FoldResult> decision(String editId) {
    return Optional.ofNullable(decisions.get(editId));
  }

  PlatformClient.AppendResult append(ControlRecord record) {
    return client
        .append(PlatformClient.CONTROL_STREAM, ControlRecordCodec.encode(record))
        .toCompletableFuture()
        .join();
  }

  /**
   * Reads the log up to its head.
   *
   * @return the reason why the head was not reached within the time limit, or empty if it was
   *     reached
   */
  Optional<String> readToHead(TimeLimit limit) {
    String problem = "no time left";
    while (!limit.hasElapsed()) {
      long from = reader.nextOffset();
      PlatformClient.ReadResult result =
          client
              .read(PlatformClient.CONTROL_STREAM, from, PAGE_RECORDS, Duration.ZERO)
              .toCompletableFuture()
              .join();
      switch (result) {
        case PlatformClient.ReadResult.Page page -> {
          if (foldPage(from, page)) {
            return Optional.empty();
          }
          problem = "the records from offset " + reader.nextOffset() + " on are not readable";
          if (!page.records().isEmpty()) {
            continue;
          }
        }
        case PlatformClient.ReadResult.NotRetained notRetained -> {
          reader.handleOffsetOutOfRange(notRetained.earliest());
          problem =
              "records before offset "
                  + notRetained.earliest()
                  + " are no longer retained, and there is no snapshot";
        }
        case PlatformClient.ReadResult.Unavailable unavailable -> problem = unavailable.reason();
      }
      if (!limit.pauseBeforeRetry()) {
        break;
      }
    }
    return Optional.of(problem);
  }

  private boolean foldPage(long from, PlatformClient.ReadResult.Page page) {
    List<LogReader.Entry> entries = new ArrayList<>();
    Map<Long, String> editIds = new HashMap<>();
    for (PlatformClient.LogRecord record : page.records()) {
      LogReader.Content content =
          switch (ControlRecordCodec.decode(record.data())) {
            case ControlRecordCodec.Decoded.Invalid invalid ->
                new LogReader.Content.Unreadable(invalid.reason());
            case ControlRecordCodec.Decoded.Valid valid -> {
              editId(valid.record()).ifPresent(id -> editIds.put(record.offset(), id));
              yield new LogReader.Content.Parsed(valid.record());
            }
          };
      entries.add(new LogReader.Entry(record.offset(), content));
    }
    LogReader.PageResult result =
        reader.applyPage(
            new LogReader.Page(
                from, page.earliest(), page.next(), entries, entries.size() == PAGE_RECORDS));
    for (LogReader.Step step : result.steps()) {
      Optional.ofNullable(editIds.get(step.offset()))
          .ifPresent(id -> decisions.putIfAbsent(id, step.result()));
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
