package org.bergamotcross.entry.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.EditReference;
import org.bergamotcross.core.config.FoldState;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;

/**
 * Encodes and decodes the records of the stream {@code control} as JSON.
 *
 * <p>Each field is required and has one type; unknown fields are ignored. Any other record is
 * {@link Decoded.Invalid}, and every reader skips it, so that all readers reach the same state.
 *
 * <pre>{@code
 * switch (ControlRecordCodec.decode(bytes)) {
 *   case ControlRecordCodec.Decoded.Valid valid -> fold.apply(offset, valid.record());
 *   case ControlRecordCodec.Decoded.Invalid invalid -> fold.skip(offset);
 * }
 * }</pre>
 */
public final class ControlRecordCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ControlRecordCodec() {}

  /** The result of decoding a record. */
  public sealed interface Decoded {

    /**
     * The record is valid.
     *
     * @param record the decoded record
     */
    record Valid(ControlRecord record) implements Decoded {}

    /**
     * The record has an unknown type or an invalid format.
     *
     * @param reason the invalid field and what was expected
     */
    record Invalid(String reason) implements Decoded {}
  }

  /** Aborts decoding at the first invalid field; never thrown out of this class. */
  private static final class FieldException extends Exception {
    private static final long serialVersionUID = 1L;

    FieldException(String message) {
      super(message);
    }
  }

  /**
   * Encodes a record.
   *
   * @param record the record
   * @return JSON in UTF-8
   */
  public static byte[] encode(ControlRecord record) {
    ObjectNode node = MAPPER.createObjectNode();
    switch (record) {
      case ControlRecord.Edit edit ->
          node.put("type", "edit")
              .put("editId", edit.editId())
              .put("path", edit.path())
              .put("basedOn", edit.basedOn())
              .put("author", edit.author())
              .put("content", edit.content());
      case ControlRecord.Withdraw withdraw ->
          node.put("type", "withdraw")
              .put("editId", withdraw.editId())
              .put("keyHash", withdraw.key().hex());
      case ControlRecord.Snapshot snapshot ->
          writeState(node.put("type", "snapshot"), snapshot.state());
      case ControlRecord.Join join -> writeMember(node.put("type", "join"), join.member());
      case ControlRecord.Leave leave ->
          node.put("type", "leave")
              .put("instance", leave.instance().value())
              .put("incarnation", leave.incarnation());
      case ControlRecord.Expel expel ->
          node.put("type", "expel")
              .put("instance", expel.instance().value())
              .put("incarnation", expel.incarnation());
    }
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree of text and numbers could not be serialized", e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param data JSON in UTF-8
   * @return the record, or the reason why it is invalid
   */
  public static Decoded decode(byte[] data) {
    try {
      JsonNode node = MAPPER.readTree(data);
      if (node == null || !node.isObject()) {
        return new Decoded.Invalid("not a JSON object");
      }
      return new Decoded.Valid(parseRecord(node));
    } catch (IOException e) {
      return new Decoded.Invalid("not JSON: " + e.getClass().getSimpleName());
    } catch (FieldException e) {
      return new Decoded.Invalid(e.getMessage());
    }
  }

  private static ControlRecord parseRecord(JsonNode node) throws FieldException {
    String type = text(node, "type");
    return switch (type) {
      case "edit" ->
          new ControlRecord.Edit(
              text(node, "editId"),
              text(node, "path"),
              number(node, "basedOn"),
              text(node, "author"),
              text(node, "content"));
      case "withdraw" ->
          new ControlRecord.Withdraw(text(node, "editId"), keyHash(text(node, "keyHash")));
      case "snapshot" -> new ControlRecord.Snapshot(readState(node));
      case "join" -> new ControlRecord.Join(readMember(node));
      case "leave" ->
          new ControlRecord.Leave(
              new InstanceId(text(node, "instance")), number(node, "incarnation"));
      case "expel" ->
          new ControlRecord.Expel(
              new InstanceId(text(node, "instance")), number(node, "incarnation"));
      default -> throw new FieldException("unknown type \"" + type + "\"");
    };
  }

  private static void writeState(ObjectNode node, FoldState state) {
    node.put("upTo", state.upTo()).put("epoch", state.members().epoch());
    ArrayNode teams = node.putArray("teams");
    for (FoldState.TeamVersion team : state.teams()) {
      ObjectNode entry = teams.addObject().put("team", team.team()).put("content", team.content());
      writeReference(entry, team.edit());
    }
    ArrayNode withdrawn = node.putArray("withdrawn");
    state.withdrawn().stream().map(KeyHash::hex).sorted().forEach(withdrawn::add);
    ArrayNode members = node.putArray("members");
    state.members().list().forEach(member -> writeMember(members.addObject(), member));
    ArrayNode seen = node.putArray("seen");
    state.seenEdits().forEach(reference -> writeReference(seen.addObject(), reference));
  }

  private static FoldState readState(JsonNode node) throws FieldException {
    List<FoldState.TeamVersion> teams = new ArrayList<>();
    for (JsonNode entry : array(node, "teams")) {
      teams.add(
          new FoldState.TeamVersion(
              text(entry, "team"), readReference(entry), text(entry, "content")));
    }
    Set<KeyHash> withdrawn = new HashSet<>();
    for (JsonNode entry : array(node, "withdrawn")) {
      withdrawn.add(keyHash(entry.asText()));
    }
    List<Member> members = new ArrayList<>();
    for (JsonNode entry : array(node, "members")) {
      members.add(readMember(entry));
    }
    List<EditReference> seen = new ArrayList<>();
    for (JsonNode entry : array(node, "seen")) {
      seen.add(readReference(entry));
    }
    return new FoldState(
        number(node, "upTo"), teams, withdrawn, new Members(number(node, "epoch"), members), seen);
  }

  private static void writeReference(ObjectNode node, EditReference reference) {
    node.put("editId", reference.editId())
        .put("author", reference.author())
        .put("offset", reference.offset());
  }

  private static EditReference readReference(JsonNode node) throws FieldException {
    return new EditReference(text(node, "editId"), text(node, "author"), number(node, "offset"));
  }

  private static void writeMember(ObjectNode node, Member member) {
    node.put("instance", member.id().value())
        .put("incarnation", member.incarnation())
        .put("failureDomain", member.failureDomain().value())
        .put("peerAddress", member.peerAddress());
  }

  private static Member readMember(JsonNode node) throws FieldException {
    return new Member(
        new InstanceId(text(node, "instance")),
        number(node, "incarnation"),
        new FailureDomain(text(node, "failureDomain")),
        text(node, "peerAddress"));
  }

  private static String text(JsonNode node, String field) throws FieldException {
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      throw new FieldException("field \"" + field + "\" is not text");
    }
    return value.textValue();
  }

  private static long number(JsonNode node, String field) throws FieldException {
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new FieldException("field \"" + field + "\" is not a whole number");
    }
    return value.longValue();
  }

  private static JsonNode array(JsonNode node, String field) throws FieldException {
    JsonNode value = node.path(field);
    if (!value.isArray()) {
      throw new FieldException("field \"" + field + "\" is not an array");
    }
    return value;
  }

  private static KeyHash keyHash(String text) throws FieldException {
    return KeyHashParser.parse(text)
        .orElseThrow(() -> new FieldException("a key hash is not 64 hexadecimal digits"));
  }
}
