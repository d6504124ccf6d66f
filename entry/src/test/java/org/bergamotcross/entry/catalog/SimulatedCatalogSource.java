package org.bergamotcross.entry.catalog;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.entry.CatalogSource;

/** One instance's access to the store; results stay pending until the fleet delivers them. */
final class SimulatedCatalogSource implements CatalogSource {
  private final SimulatedStore store;
  private static final int RESPONSE_TIMEOUT_MS = 1_500;

  private final int index;
  final List<Runnable> pendingResults = new ArrayList<>();
  private final List<Runnable> longPolls = new ArrayList<>();

  SimulatedCatalogSource(SimulatedStore store, int index) {
    this.store = store;
    this.index = index;
  }

  private boolean fails() {
    return store.down || store.rejectedInstances.contains(index);
  }

  @Override
  public CompletionStage<SettingsReadResult> readSettings(CatalogPosition from, Duration wait) {
    store.settingsReads++;
    CompletableFuture<SettingsReadResult> read = new CompletableFuture<>();
    longPolls.add(() -> completeSettings(read, from, (int) wait.toMillis()));
    return read;
  }

  private void completeSettings(
      CompletableFuture<SettingsReadResult> read, CatalogPosition from, int waitMs) {
    if (isUnanswered()) {
      longPolls.add(
          () -> failAfter(read, new SettingsReadResult.Unavailable("no response"), waitMs));
    } else if (fails()) {
      pendingResults.add(() -> read.complete(new SettingsReadResult.Unavailable("rejected")));
    } else if (waitMs <= 0) {
      CatalogPosition end = from.era() == store.era ? from : new CatalogPosition(store.era, 0);
      pendingResults.add(() -> read.complete(new SettingsReadResult.Read(Optional.empty(), end)));
    } else if (!store.versions.isEmpty()
        && (from.era() != store.era || store.versions.size() > from.offset())) {
      int newest = store.versions.size() - 1;
      CatalogPosition position = new CatalogPosition(store.era, newest);
      byte[] content = store.versions.get(newest).getBytes(StandardCharsets.UTF_8);
      pendingResults.add(
          () ->
              read.complete(
                  new SettingsReadResult.Read(
                      Optional.of(new SettingsDocument(position, content)), position.next())));
    } else {
      longPolls.add(() -> completeSettings(read, from, waitMs - SimulatedFleet.STEP_MS));
    }
  }

  /** Completes a read that gets no response when it times out. */
  private <T> void failAfter(CompletableFuture<T> read, T failure, int waitMs) {
    if (waitMs + RESPONSE_TIMEOUT_MS <= 0) {
      pendingResults.add(() -> read.complete(failure));
    } else {
      longPolls.add(() -> failAfter(read, failure, waitMs - SimulatedFleet.STEP_MS));
    }
  }

  private boolean isUnanswered() {
    return store.unansweredInstances.contains(index);
  }

  void poll() {
    List<Runnable> due = List.copyOf(longPolls);
    longPolls.clear();
    due.forEach(Runnable::run);
  }

  @Override
  public DecodeResult decodeSettings(SettingsDocument document) {
    String text = new String(document.content(), StandardCharsets.UTF_8);
    return text.startsWith("v")
        ? new DecodeResult.Valid(
            new CatalogSource.CatalogSettings(
                Long.parseLong(text.substring(1)),
                List.of(),
                List.of(),
                List.of(SimulatedStore.POOL),
                List.of()))
        : new DecodeResult.Invalid("found " + text);
  }

  @Override
  public CompletionStage<TargetsReadResult> readTargets(CatalogPosition from) {
    store.targetReads++;
    CompletableFuture<TargetsReadResult> read = new CompletableFuture<>();
    if (isUnanswered()) {
      failAfter(read, new TargetsReadResult.Unavailable("no response"), 0);
    } else if (fails()) {
      pendingResults.add(() -> read.complete(new TargetsReadResult.Unavailable("rejected")));
    } else {
      TargetsReadResult result = store.read(from);
      pendingResults.add(() -> read.complete(result));
    }
    return read;
  }

  @Override
  public CompletionStage<DirectoryReadResult> readDirectory() {
    CompletableFuture<DirectoryReadResult> read = new CompletableFuture<>();
    if (fails()) {
      pendingResults.add(() -> read.complete(new DirectoryReadResult.Unavailable("rejected")));
    } else {
      List<Member> members = List.copyOf(store.directory.values());
      long era = store.era;
      pendingResults.add(() -> read.complete(new DirectoryReadResult.Read(members, era)));
    }
    return read;
  }

  @Override
  public CompletionStage<DirectoryUpdateResult> register(Member instance) {
    return change(() -> store.directory.put(instance.id(), instance));
  }

  @Override
  public CompletionStage<DirectoryUpdateResult> deregister(InstanceId instance) {
    return change(() -> store.directory.remove(instance));
  }

  private CompletionStage<DirectoryUpdateResult> change(Runnable change) {
    CompletableFuture<DirectoryUpdateResult> changed = new CompletableFuture<>();
    if (fails()) {
      pendingResults.add(
          () -> changed.complete(new DirectoryUpdateResult.OutcomeUnknown("rejected")));
    } else {
      change.run();
      long era = store.era;
      pendingResults.add(() -> changed.complete(new DirectoryUpdateResult.Acknowledged(era)));
    }
    return changed;
  }
}
