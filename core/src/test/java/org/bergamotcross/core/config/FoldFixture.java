package org.bergamotcross.core.config;

import java.util.Arrays;
import java.util.List;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/** Provides records and a settings parser for tests of the fold. */
final class FoldFixture {
  private FoldFixture() {}

  /** Parses the content {@code team:key,key}; any other text is invalid. */
  static ContentParser.Result parse(String path, String content) {
    String[] parts = content.split(":", -1);
    if (parts.length != 2) {
      return new ContentParser.Result.Invalid(List.of("content " + content));
    }
    OrganisationId owner = new OrganisationId(parts[0] + "/o");
    List<ApiKey> keys =
        Arrays.stream(parts[1].split(",", -1))
            .filter(key -> !key.isEmpty())
            .map(key -> new ApiKey(key, owner, new KeyHash(key)))
            .toList();
    return new ContentParser.Result.Valid(
        new TeamSettings(parts[0], List.of(), keys, List.of(), List.of()));
  }

  static ConfigurationFold fold() {
    return new ConfigurationFold(FoldFixture::parse);
  }

  static ControlRecord.Edit edit(String id, String team, long basedOn, String keys) {
    return new ControlRecord.Edit(id, "/teams/" + team, basedOn, "author-" + id, team + ":" + keys);
  }

  static ControlRecord.Withdraw withdraw(String id, String key) {
    return new ControlRecord.Withdraw(id, new KeyHash(key));
  }

  static Member member(String id, long incarnation) {
    return new Member(new InstanceId(id), incarnation, new FailureDomain("d-" + id), "127.0.0.1:1");
  }

  static LogReader.Entry entry(long offset, ControlRecord record) {
    return new LogReader.Entry(offset, new LogReader.Content.Parsed(record));
  }
}
