package org.bergamotcross.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides which offset of the log to read next, and folds what arrives.
 *
 * <p>It follows the log record by record. When the next record has left the retention, it scans
 * from the oldest retained record for a snapshot that leaves no record out, and goes on behind it;
 * meanwhile a peer may help with a snapshot of its own.
 */
public final class LogReader {

  /**
   * A record as it was read.
   *
   * @param offset its offset
   * @param content the record, or why it can't be read
   */
  public record Entry(long offset, Content content) {}

  /** A record, or why it can't be read. */
  public sealed interface Content {

    /**
     * The record is understood.
     *
     * @param record the record
     */
    record Known(ControlRecord record) implements Content {}

    /**
     * The record can't be read and is skipped by all readers.
     *
     * @param reason what is wrong
     */
    record Unreadable(String reason) implements Content {}
  }

  /**
   * An answer of the log.
   *
   * @param from the first offset that was asked for
   * @param earliest the oldest offset that the log retains
   * @param next the offset that the next append gets
   * @param entries the records in order
   * @param full whether there are as many records as were asked for, so that more may follow
   */
  public record Page(long from, long earliest, long next, List<Entry> entries, boolean full) {

    /** Copies the list. */
    public Page {
      entries = List.copyOf(entries);
    }
  }

  /**
   * What one record did.
   *
   * @param offset its offset
   * @param result what it did
   * @param members the configuration after it, when it changed the members; admission must see each
   *     such step, or it takes the holders in between for unknown
   */
  public record Step(long offset, FoldResult result, Optional<Configuration> members) {}

  /**
   * What a page did.
   *
   * @param steps the results of the records that were folded
   * @param atHead whether the state is that of the head of the log as this page shows it
   */
  public record PageResult(List<Step> steps, boolean atHead) {

    /** Copies the list. */
    public PageResult {
      steps = List.copyOf(steps);
    }
  }

  private final ConfigurationFold fold;
  private Optional<Long> scanFrom = Optional.empty();
  private long highestNext;

  /**
   * Creates a reader that starts at the offset after the folded one.
   *
   * @param fold the fold that receives the records
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
    return scanFrom.orElse(fold.offset() + 1);
  }

  /**
   * Tells whether records are missing that the log no longer retains.
   *
   * @return whether the reader looks for a snapshot
   */
  public boolean isScanning() {
    return scanFrom.isPresent();
  }

  /**
   * Takes the answer that the next offset is not retained.
   *
   * @param earliest the oldest offset that the log retains
   */
  public void gone(long earliest) {
    scanFrom = earliest > fold.offset() + 1 ? Optional.of(earliest) : Optional.empty();
  }

  /**
   * Takes a page of the log.
   *
   * @param page the page
   * @return what was folded, and whether the head is reached
   */
  public PageResult page(Page page) {
    highestNext = Math.max(highestNext, page.next());
    resumeWhenCaughtUp(page.earliest());
    if (page.earliest() > fold.offset() + 1 && scanFrom.isEmpty()) {
      scanFrom = Optional.of(page.earliest());
    }
    if (scanFrom.isPresent()) {
      return new PageResult(scan(page.earliest(), page.entries()), false);
    }
    List<Step> steps = fold(page.entries());
    return new PageResult(steps, showsHead(page));
  }

  /**
   * Takes an offset that the log has given to an append.
   *
   * @param offset the offset
   */
  public void appended(long offset) {
    highestNext = Math.max(highestNext, offset + 1);
  }

  // A page from the past ends before what is known to exist, or repeats what was not asked for.
  private boolean showsHead(Page page) {
    return !page.full()
        && page.next() == highestNext
        && page.next() == fold.offset() + 1
        && page.entries().stream().allMatch(entry -> entry.offset() >= page.from());
  }

  /**
   * Takes records that a peer has folded.
   *
   * @param entries the records in order
   * @return what was folded
   */
  public List<Step> recordsOfPeer(List<Entry> entries) {
    return fold(entries);
  }

  /**
   * Takes the state of a peer.
   *
   * @param state the state
   * @return what it did
   */
  public FoldResult snapshotOfPeer(FoldState state) {
    return fold.restore(state);
  }

  private void resumeWhenCaughtUp(long earliest) {
    if (fold.offset() + 1 >= earliest) {
      scanFrom = Optional.empty();
    }
  }

  private List<Step> fold(List<Entry> entries) {
    List<Step> steps = new ArrayList<>();
    for (Entry entry : entries) {
      FoldResult result =
          switch (entry.content()) {
            case Content.Known known -> fold.apply(entry.offset(), known.record());
            case Content.Unreadable unreadable -> fold.skip(entry.offset(), unreadable.reason());
          };
      steps.add(new Step(entry.offset(), result, changedMembers(result)));
      if (result instanceof FoldResult.Gap) {
        break;
      }
    }
    return steps;
  }

  private Optional<Configuration> changedMembers(FoldResult result) {
    return result instanceof FoldResult.Accepted accepted
            && (accepted.record() instanceof ControlRecord.Join
                || accepted.record() instanceof ControlRecord.Leave
                || accepted.record() instanceof ControlRecord.Expel)
        ? Optional.of(fold.configuration())
        : Optional.empty();
  }

  private List<Step> scan(long earliest, List<Entry> entries) {
    for (Entry entry : entries) {
      Optional<FoldResult> result = usable(entry, earliest).map(fold::restore);
      if (result.isPresent() && result.get() instanceof FoldResult.Accepted) {
        scanFrom = Optional.empty();
        return List.of(new Step(entry.offset(), result.get(), Optional.empty()));
      }
      scanFrom = Optional.of(entry.offset() + 1);
    }
    return List.of();
  }

  // A snapshot helps when no record between it and the oldest retained one is missing.
  private static Optional<FoldState> usable(Entry entry, long earliest) {
    return entry.content() instanceof Content.Known known
            && known.record() instanceof ControlRecord.Snapshot snapshot
            && snapshot.state().upTo() + 1 >= earliest
            && snapshot.state().upTo() < entry.offset()
        ? Optional.of(snapshot.state())
        : Optional.empty();
  }
}
