package org.bergamotcross.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides which offset of the log to read next, and folds the records that arrive.
 *
 * <p>The reader follows the log record by record. When the next record has expired from the log, it
 * scans from the oldest retained record for a snapshot that leaves no gap to the retained records,
 * and continues after that snapshot; meanwhile a peer may provide its own state.
 */
public final class LogReader {

  /**
   * An entry of the log.
   *
   * @param offset the offset of the entry
   * @param content the record, or why it is unreadable
   */
  public record Entry(long offset, Content content) {}

  /** The content of a log entry. */
  public sealed interface Content {

    /**
     * A record that was decoded.
     *
     * @param record the record
     */
    record Parsed(ControlRecord record) implements Content {}

    /**
     * A record that is unreadable and skipped by all readers.
     *
     * @param reason why it is unreadable
     */
    record Unreadable(String reason) implements Content {}
  }

  /**
   * A page of the log.
   *
   * @param from the first requested offset
   * @param oldestRetained the oldest offset that the log retains
   * @param endOffset the offset that the next append gets
   * @param entries the entries in offset order
   * @param mayHaveMore whether the page has as many entries as requested, so that more may follow
   */
  public record Page(
      long from, long oldestRetained, long endOffset, List<Entry> entries, boolean mayHaveMore) {

    public Page {
      entries = List.copyOf(entries);
    }
  }

  /**
   * The effect of one log entry.
   *
   * @param offset the offset of the entry
   * @param result the result of the fold
   * @param changedMembership the configuration after the entry when it changed the members;
   *     admission must see each of these, or it would not recognise the holders in between
   */
  public record Step(long offset, FoldResult result, Optional<Configuration> changedMembership) {}

  /**
   * The effect of a page.
   *
   * @param steps the effects of the entries that were folded
   * @param atHead whether the state is that of the head of the log as shown by this page
   */
  public record PageResult(List<Step> steps, boolean atHead) {

    public PageResult {
      steps = List.copyOf(steps);
    }
  }

  private final ConfigurationFold fold;
  private Optional<Long> scanOffset = Optional.empty();
  private long highestEndOffset;

  /**
   * Creates a reader that continues after the last folded offset.
   *
   * @param fold the fold that the records are applied to
   */
  public LogReader(ConfigurationFold fold) {
    this.fold = fold;
  }

  /**
   * Returns the offset to read from.
   *
   * @return the first offset of the next page
   */
  public long nextOffset() {
    return scanOffset.orElse(fold.offset() + 1);
  }

  /**
   * Tells whether the reader scans for a snapshot because the log no longer retains the next
   * record.
   *
   * @return whether it scans
   */
  public boolean isScanning() {
    return scanOffset.isPresent();
  }

  /**
   * Handles a read that failed because the log no longer retains the next offset.
   *
   * @param oldestRetained the oldest offset that the log retains
   */
  public void handleOffsetOutOfRange(long oldestRetained) {
    scanOffset =
        oldestRetained > fold.offset() + 1 ? Optional.of(oldestRetained) : Optional.empty();
  }

  /**
   * Applies a page of the log.
   *
   * @param page the page
   * @return the folded entries, and whether the head is reached
   */
  public PageResult applyPage(Page page) {
    highestEndOffset = Math.max(highestEndOffset, page.endOffset());
    endScanIfCaughtUp(page.oldestRetained());
    if (page.oldestRetained() > fold.offset() + 1 && scanOffset.isEmpty()) {
      scanOffset = Optional.of(page.oldestRetained());
    }
    if (scanOffset.isPresent()) {
      return new PageResult(scanForSnapshot(page.oldestRetained(), page.entries()), false);
    }
    List<Step> steps = foldEntries(page.entries());
    return new PageResult(steps, isAtHead(page));
  }

  /**
   * Records the offset that the log has assigned to an append.
   *
   * @param offset the offset
   */
  public void recordAppend(long offset) {
    highestEndOffset = Math.max(highestEndOffset, offset + 1);
  }

  // A stale page ends before a record that is known to exist, or repeats entries that were not
  // requested.
  private boolean isAtHead(Page page) {
    return !page.mayHaveMore()
        && page.endOffset() == highestEndOffset
        && page.endOffset() == fold.offset() + 1
        && page.entries().stream().allMatch(entry -> entry.offset() >= page.from());
  }

  /**
   * Applies records that a peer has folded.
   *
   * @param entries the entries in offset order
   * @return the folded entries
   */
  public List<Step> applyPeerRecords(List<Entry> entries) {
    return foldEntries(entries);
  }

  /**
   * Applies the folded state of a peer.
   *
   * @param state the state
   * @return the effect
   */
  public FoldResult applyPeerSnapshot(FoldState state) {
    return fold.restore(state);
  }

  private void endScanIfCaughtUp(long oldestRetained) {
    if (fold.offset() + 1 >= oldestRetained) {
      scanOffset = Optional.empty();
    }
  }

  private List<Step> foldEntries(List<Entry> entries) {
    List<Step> steps = new ArrayList<>();
    for (Entry entry : entries) {
      FoldResult result =
          switch (entry.content()) {
            case Content.Parsed parsed -> fold.apply(entry.offset(), parsed.record());
            case Content.Unreadable unreadable -> fold.skip(entry.offset(), unreadable.reason());
          };
      steps.add(new Step(entry.offset(), result, changedMembership(result)));
      if (result instanceof FoldResult.Gap) {
        break;
      }
    }
    return steps;
  }

  private Optional<Configuration> changedMembership(FoldResult result) {
    return result instanceof FoldResult.Accepted accepted
            && (accepted.record() instanceof ControlRecord.Join
                || accepted.record() instanceof ControlRecord.Leave
                || accepted.record() instanceof ControlRecord.Expel)
        ? Optional.of(fold.configuration())
        : Optional.empty();
  }

  private List<Step> scanForSnapshot(long oldestRetained, List<Entry> entries) {
    for (Entry entry : entries) {
      Optional<FoldResult> result = usableSnapshot(entry, oldestRetained).map(fold::restore);
      if (result.isPresent() && result.get() instanceof FoldResult.Accepted) {
        scanOffset = Optional.empty();
        return List.of(new Step(entry.offset(), result.get(), Optional.empty()));
      }
      scanOffset = Optional.of(entry.offset() + 1);
    }
    return List.of();
  }

  // A snapshot is usable when no record between it and the oldest retained record is missing.
  private static Optional<FoldState> usableSnapshot(Entry entry, long oldestRetained) {
    return entry.content() instanceof Content.Parsed parsed
            && parsed.record() instanceof ControlRecord.Snapshot snapshot
            && snapshot.state().upTo() + 1 >= oldestRetained
            && snapshot.state().upTo() < entry.offset()
        ? Optional.of(snapshot.state())
        : Optional.empty();
  }
}
