package shalepaddle.encoding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.changefeed.ChangeEntry;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.changefeed.SubscriberMessage;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;

/**
 * Checks the byte formats against bytes that version 0.1.0 wrote, since members of that version and
 * of this one can run in one group.
 */
class EncodedFormatsTest {
  private static final List<String> RAFT_MESSAGES_HEX =
      List.of(
          "9f01656269726473626d3105040c0a9f9f0d04014107ff9f0e04029f9f626d31ff9f62"
              + "6d32ff9f626d33ffff9f9f626d31ffff626d326d52454d4f56455f4d454d424552ffff"
              + "19012c1a00011170ff",
          "9f02656269726473626d31050e19012c1a00011170ff",
          "9f03656269726473626d31050919012d1a00011171ff",
          "9f04656269726473626d3106050eff",
          "9f05656269726473626d3106f5ff",
          "9f06656269726473626d3106050ef5ff",
          "9f07656269726473626d3106f4ff",
          "9f08656269726473626d3106050eff",
          "9f09656269726473626d3106f5030c029f9f0c0301020b9f9f626d31ff9f626d32ff9f"
              + "626d33ffff9f9f626d31ffff01420506ffff9f9f626d31ff9f626d32ff9f626d33ffff"
              + "0b9f9f626d31ff9f626d32ff9f626d33ffff9f9f626d31ffff19012e1a00011172ff",
          "9f0a656269726473626d31060c0119012e1a00011172ff");

  private static final List<String> PROPOSALS_HEX =
      List.of("9f6469642d311903e80163732d31f5ff", "9f6469642d321903e9184dff");

  private static final List<String> RESULTS_HEX =
      List.of("9f6448454c4409ff", "9f674e4f5f524f4f4d09ff", "9f694e4f545f4b4e4f574e09ff");

  private static final String SNAPSHOT_HEX =
      "9f01091903e99f9f63732d31ff9f63732d32ffff9f9f6469642d311903e86448454c44" + "08ffffff";

  private static final List<String> SUBSCRIBER_MESSAGES_HEX =
      List.of("9f01656269726473626e3107ff", "9f0208ff", "9f03096b6e6f2073756368206b6579ff");

  private static final List<String> PUBLISHER_MESSAGES_HEX =
      List.of(
          "9f01079f9f09420102ffffff", "9f02094103ff", "9f0309ff", "9f046b6361746368696e67207570ff");

  private static String toHex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static byte[] parseHex(String hex) {
    return HexFormat.of().parseHex(hex);
  }

  @Test
  void encodesRaftMessagesAsEarlierVersion() {
    List<String> encodedMessages = new ArrayList<>();
    for (RaftMessage message : RaftMessageSamples.allMessages()) {
      encodedMessages.add(toHex(RaftMessageCodec.encode(message)));
    }
    assertEquals(RAFT_MESSAGES_HEX, encodedMessages);
  }

  @Test
  void decodesRaftMessagesOfEarlierVersion() throws IOException {
    List<RaftMessage> samples = RaftMessageSamples.allMessages();
    for (int i = 0; i < samples.size(); i++) {
      RaftMessage decodedMessage = RaftMessageCodec.decode(parseHex(RAFT_MESSAGES_HEX.get(i)));
      assertEquals(samples.get(i).getClass(), decodedMessage.getClass());
      assertEquals(RAFT_MESSAGES_HEX.get(i), toHex(RaftMessageCodec.encode(decodedMessage)));
    }
  }

  @Test
  void encodesAndDecodesProposalsAsEarlierVersion() throws IOException {
    List<Proposal> proposals =
        List.of(
            new Proposal("id-1", 1000, new StateCommand.SetExclusion("s-1", true)),
            new Proposal("id-2", 1001, new StateCommand.UnknownCommand(77)));
    for (int i = 0; i < proposals.size(); i++) {
      assertEquals(
          PROPOSALS_HEX.get(i), toHex(ReplicatedStateCodec.encodeProposal(proposals.get(i))));
      assertEquals(
          proposals.get(i), ReplicatedStateCodec.decodeProposal(parseHex(PROPOSALS_HEX.get(i))));
    }
  }

  @Test
  void encodesAndDecodesResultsAsEarlierVersion() throws IOException {
    CommandResult.Outcome[] outcomes = CommandResult.Outcome.values();
    assertEquals(RESULTS_HEX.size(), outcomes.length);
    for (int i = 0; i < outcomes.length; i++) {
      CommandResult result = new CommandResult(outcomes[i], 9);
      assertEquals(RESULTS_HEX.get(i), toHex(ReplicatedStateCodec.encodeResult(result)));
      assertEquals(result, ReplicatedStateCodec.decodeResult(parseHex(RESULTS_HEX.get(i))));
    }
  }

  @Test
  void encodesAndDecodesSnapshotAsEarlierVersion() throws IOException {
    CommandResult result = new CommandResult(CommandResult.Outcome.COMMITTED, 8);
    ReplicatedState.Snapshot snapshot =
        new ReplicatedState.Snapshot(
            9,
            1001,
            List.of("s-1", "s-2"),
            List.of(new ReplicatedState.RetainedResult("id-1", 1000, result)));
    assertEquals(SNAPSHOT_HEX, toHex(ReplicatedStateCodec.encodeSnapshot(snapshot)));
    assertEquals(snapshot, ReplicatedStateCodec.decodeSnapshot(parseHex(SNAPSHOT_HEX)));
  }

  @Test
  void encodesAndDecodesSubscriberMessagesAsEarlierVersion() throws IOException {
    List<SubscriberMessage> messages =
        List.of(
            new SubscriberMessage.Hello("birds", "n1", 7),
            new SubscriberMessage.Acknowledgement(8),
            new SubscriberMessage.EntryRejected(9, "no such key"));
    for (int i = 0; i < messages.size(); i++) {
      String hex = SUBSCRIBER_MESSAGES_HEX.get(i);
      assertEquals(hex, toHex(ChangeFeedCodec.encode(messages.get(i))));
      assertEquals(messages.get(i), ChangeFeedCodec.decodeSubscriberMessage(parseHex(hex)));
    }
  }

  @Test
  void encodesAndDecodesPublisherMessagesAsEarlierVersion() throws IOException {
    List<PublisherMessage> messages =
        List.of(
            new PublisherMessage.Entries(7, List.of(new ChangeEntry(9, new byte[] {1, 2}))),
            new PublisherMessage.Snapshot(9, new byte[] {3}),
            new PublisherMessage.Heartbeat(9),
            new PublisherMessage.Rejection("catching up"));
    for (int i = 0; i < messages.size(); i++) {
      String hex = PUBLISHER_MESSAGES_HEX.get(i);
      assertEquals(hex, toHex(ChangeFeedCodec.encode(messages.get(i))));
      PublisherMessage decodedMessage = ChangeFeedCodec.decodePublisherMessage(parseHex(hex));
      assertEquals(hex, toHex(ChangeFeedCodec.encode(decodedMessage)));
      assertEquals(messages.get(i).getClass(), decodedMessage.getClass());
    }
  }

  @Test
  void decodersRejectFormatOfLaterVersion() {
    byte[] messageOfFormat99 = CborValues.encode(99, (format, out) -> out.put(format));
    assertEquals(
        "a publisher's message has format 99, which only a later version knows",
        assertThrows(
                UnknownFormatException.class,
                () -> ChangeFeedCodec.decodePublisherMessage(messageOfFormat99))
            .getMessage());
    assertThrows(
        UnknownFormatException.class,
        () -> ChangeFeedCodec.decodeSubscriberMessage(messageOfFormat99));
    assertThrows(
        UnknownFormatException.class, () -> ReplicatedStateCodec.decodeSnapshot(messageOfFormat99));
    byte[] message =
        CborValues.encode(99, (format, out) -> out.put(format).put("birds").put("m1").put(1));
    assertThrows(UnknownFormatException.class, () -> RaftMessageCodec.decode(message));
  }

  @Test
  void decodePublisherMessageRejectsIncompleteAndMistypedBytes() {
    byte[] completeMessage = parseHex(PUBLISHER_MESSAGES_HEX.get(0));
    byte[] incompleteMessage = Arrays.copyOf(completeMessage, completeMessage.length - 1);
    assertThrows(
        MalformedMessageException.class,
        () -> ChangeFeedCodec.decodePublisherMessage(incompleteMessage));
    byte[] messageWithTextFormat = CborValues.encode("one", (value, out) -> out.put(value));
    assertEquals(
        "expected an integer, found VALUE_STRING",
        assertThrows(
                MalformedMessageException.class,
                () -> ChangeFeedCodec.decodePublisherMessage(messageWithTextFormat))
            .getMessage());
    byte[] messageWithNegativeIndex =
        CborValues.encode(3, (format, out) -> out.put(format).put(-1));
    assertThrows(
        MalformedMessageException.class,
        () -> ChangeFeedCodec.decodePublisherMessage(messageWithNegativeIndex));
    byte[] messageWithLongText =
        CborValues.encode(
            4,
            (format, out) ->
                out.put(format).put("x".repeat(SubscriberMessage.MAX_TEXT_LENGTH + 1)));
    assertThrows(
        MalformedMessageException.class,
        () -> ChangeFeedCodec.decodePublisherMessage(messageWithLongText));
  }

  @Test
  void decodePublisherMessageSkipsFieldsOfLaterVersion() throws IOException {
    byte[] extendedMessage =
        CborValues.encode(
            3,
            (format, out) ->
                out.put(format).put(9).put("new").putList(List.of(1L), (n, to) -> to.put(n)));
    assertEquals(
        new PublisherMessage.Heartbeat(9), ChangeFeedCodec.decodePublisherMessage(extendedMessage));
  }
}
