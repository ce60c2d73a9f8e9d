package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.testkit.ScriptedPeer;

/** Replies without a request id on a connection on which an earlier one may arrive twice. */
@Timeout(30)
class RepeatedReplyTest {
  private static final int DEADLINE_MILLIS = 1900;

  /** More than the socket buffers of both ends hold, as the server's is limited. */
  private static final int LARGE_VALUE_BYTES = 4 << 20;

  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

  private NodeFixture rig;
  private ScriptedPeer client;
  private ScriptedPeer secondClient;
  private ScriptedPeer server;

  /** Has the first request on the only connection to the server rejected. */
  @BeforeEach
  void rejectFirstRequest() throws Exception {
    rig = new NodeFixture(1);
    client = rig.connectClient().write(write("a1"));
    secondClient = rig.connectClient();
    server = rig.acceptCache();
    awaitRequest("a1");
    server.write("SERVER_ERROR busy\r\n");
    assertEquals("SERVER_ERROR busy", client.readLine());
  }

  @AfterEach
  void closeNode() throws Exception {
    rig.close();
  }

  private static String write(String id) {
    return NodeFixture.writeCommand(id, DEADLINE_MILLIS, "v");
  }

  private static String read(String id) {
    return NodeFixture.readCommand(id, DEADLINE_MILLIS);
  }

  private void awaitRequest(String id) throws Exception {
    awaitRequest(server, id);
  }

  private static void awaitRequest(ScriptedPeer connection, String id) throws Exception {
    String line = connection.readLine();
    assertTrue(line != null && line.contains("O" + id + " "), "instead of " + id + ": " + line);
    if (line.startsWith("ms ")) {
      connection.readLine();
    }
  }

  private void awaitNoOp() throws Exception {
    assertEquals("mn", server.readLine());
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void writeIsServedWhenCopiesOfEarlierRejectionPrecedeItsReply(int copies) throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR busy\r\n".repeat(copies));
    rig.awaitLoopTurns();
    server.write("HD Ob1 c7\r\n");
    assertEquals("HD Ob1 c7", client.readLine());
  }

  @Test
  void writeIsRejectedOnceNoOpInFrontOfNextRequestConfirmsItsRejection() throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR busy\r\n");
    rig.awaitLoopTurns();
    secondClient.write(read("c1"));
    awaitNoOp();
    awaitRequest("c1");
    server.write("MN\r\nVA 1 Oc1\r\nx\r\n");
    assertEquals("SERVER_ERROR busy", client.readLine());
    assertEquals("VA 1 Oc1", secondClient.readLine());
  }

  @Test
  void writeIsRejectedOnceNoOpConfirmsItsRejectionWithoutNextRequest() throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR busy\r\n");
    awaitNoOp();
    server.write("MN\r\n");
    assertEquals("SERVER_ERROR busy", client.readLine());
  }

  /** Guards against a copied rejection as proof when the answer bears the next write's id. */
  @Test
  void writeIsNotRejectedWhenItsReplyBearsIdOfNextWrite() throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR busy\r\n");
    rig.awaitLoopTurns();
    secondClient.write(write("c1"));
    awaitNoOp();
    awaitRequest("c1");
    server.write("HD Oc1 c7\r\n");
    assertEquals("SERVER_ERROR failed", client.readLine());
    assertEquals("SERVER_ERROR failed", secondClient.readLine());
  }

  /** Guards against a copied rejection as proof when the answer bears an earlier request's id. */
  @Test
  void writeIsNotRejectedWhenItsReplyBearsIdOfEarlierRead() throws Exception {
    client.write(read("b1"));
    awaitRequest("b1");
    server.write("VA 1 Ob1\r\nx\r\n");
    assertEquals("VA 1 Ob1", client.readLine());
    assertEquals("x", client.readLine());
    client.write(write("c1"));
    awaitRequest("c1");
    server.write("VA 1 Ob1\r\nx\r\nSERVER_ERROR busy\r\n");
    awaitNoOp();
    server.write("MN\r\n");
    assertEquals("SERVER_ERROR failed", client.readLine());
  }

  /** Guards against an answer with another read's id, after a copied rejection, serving it. */
  @Test
  void readIsNotServedWithReplyToEarlierReadThatBearsItsId() throws Exception {
    client.write(read("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR busy\r\n");
    assertEquals("SERVER_ERROR busy", client.readLine());
    secondClient.write(read("c1"));
    awaitNoOp();
    awaitRequest("c1");
    server.write("VA 1 Oc1\r\ny\r\n");
    assertEquals("SERVER_ERROR busy", secondClient.readLine());
  }

  /** Guards against a large value serving a read that an earlier one may have been given it for. */
  @Test
  void largeValueInDoubtIsNotServed() throws Exception {
    client.write(read("b1"));
    awaitRequest("b1");
    secondClient.write(read("c1"));
    awaitRequest("c1");
    server.write("SERVER_ERROR busy\r\nVA 100000 Oc1\r\n" + "x".repeat(100_000) + "\r\n");
    awaitNoOp();
    server.write("SERVER_ERROR busy\r\nMN\r\n");
    assertEquals("SERVER_ERROR busy", client.readLine());
    assertEquals("SERVER_ERROR busy", secondClient.readLine());
  }

  @Test
  void pipelinedRequestsAreResolvedTogetherByTheirOrder() throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    secondClient.write(read("c1"));
    awaitRequest("c1");
    server.write("SERVER_ERROR busy\r\nVA 1 Oc1\r\nx\r\n");
    awaitNoOp();
    server.write("MN\r\n");
    assertEquals("SERVER_ERROR busy", client.readLine());
    assertEquals("VA 1 Oc1", secondClient.readLine());
  }

  @Test
  void writeFailsWhenFailureFollowsRejectionThatMayBeCopy() throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR busy\r\nSERVER_ERROR failed\r\n");
    rig.awaitLoopTurns();
    secondClient.write(read("c1"));
    awaitNoOp();
    awaitRequest("c1");
    server.write("MN\r\nVA 1 Oc1\r\nx\r\n");
    assertEquals("SERVER_ERROR failed", client.readLine());
    assertEquals("VA 1 Oc1", secondClient.readLine());
  }

  @Test
  void writeFailsAtOnceWhenFailureFollowsEarlierRejection() throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR failed\r\n");
    assertEquals("SERVER_ERROR failed", client.readLine());
  }

  @Test
  void rejectionIsProofAfterFailureOnSameConnection() throws Exception {
    try (NodeFixture otherRig = new NodeFixture(1)) {
      ScriptedPeer otherClient = otherRig.connectClient().write(write("a1"));
      ScriptedPeer otherServer = otherRig.acceptCache();
      awaitRequest(otherServer, "a1");
      otherServer.write("SERVER_ERROR failed\r\n");
      assertEquals("SERVER_ERROR failed", otherClient.readLine());
      otherClient.write(write("b1"));
      awaitRequest(otherServer, "b1");
      otherServer.write("SERVER_ERROR busy\r\n");
      assertEquals("SERVER_ERROR busy", otherClient.readLine());
    }
  }

  @Test
  void writeAfterRejectionUsesNewConnectionAndOldOneCloses() throws Exception {
    try (NodeFixture otherRig = new NodeFixture(2)) {
      ScriptedPeer otherClient = otherRig.connectClient().write(write("a1"));
      ScriptedPeer rejectingConnection = otherRig.acceptCache();
      awaitRequest(rejectingConnection, "a1");
      rejectingConnection.write("SERVER_ERROR busy\r\n");
      assertEquals("SERVER_ERROR busy", otherClient.readLine());
      otherClient.write(write("b1"));
      ScriptedPeer newConnection = otherRig.acceptCache();
      awaitRequest(newConnection, "b1");
      newConnection.write("SERVER_ERROR busy\r\n");
      assertEquals("SERVER_ERROR busy", otherClient.readLine());
      assertNull(rejectingConnection.readLine());
    }
  }

  /**
   * The reply can be the first write's, sent out of order, or the second one's with a wrong id: the
   * first must be neither served, nor rejected, nor sent again.
   */
  @Test
  void writeFailsWhenReplyWithItsIdFollowsRejectionWithTwoInFlight() throws Exception {
    try (NodeFixture otherRig = new NodeFixture(1)) {
      ScriptedPeer otherClient = otherRig.connectClient().write(write("a1"));
      ScriptedPeer otherServer = otherRig.acceptCache();
      awaitRequest(otherServer, "a1");
      ScriptedPeer nextClient = otherRig.connectClient().write(write("b1"));
      awaitRequest(otherServer, "b1");
      otherServer.write("SERVER_ERROR busy\r\nHD Oa1 c7\r\n");
      assertEquals("mn", otherServer.readLine());
      otherServer.write("MN\r\n");
      assertEquals("SERVER_ERROR failed", otherClient.readLine());
      assertEquals("SERVER_ERROR failed", nextClient.readLine());
      assertNull(otherServer.readLine(), "sent again");
    }
  }

  @Test
  void restOfLargeWriteIsNotSentAfterRejectionOfItsFirstBytes() throws Exception {
    try (NodeFixture otherRig = new NodeFixture(1)) {
      otherRig.cache.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      ScriptedPeer otherClient = otherRig.connectClient();
      otherClient.write(
          NodeFixture.writeCommand("a1", DEADLINE_MILLIS, "v".repeat(LARGE_VALUE_BYTES)));
      ScriptedPeer otherServer = otherRig.acceptCache();
      assertTrue(otherServer.readLine().contains("Oa1 "));
      otherServer.write("SERVER_ERROR busy\r\n");
      assertEquals("SERVER_ERROR busy", otherClient.readLine());
      assertTrue(
          otherServer.readBytes(LARGE_VALUE_BYTES).length < LARGE_VALUE_BYTES,
          "the write was sent completely after it was rejected");
    }
  }

  @Test
  void writesBehindEachOtherAreNotConfirmedByReplyToTheFirst() throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    secondClient.write(write("c1"));
    awaitRequest("c1");
    server.write("SERVER_ERROR busy\r\nSERVER_ERROR busy\r\nHD Ob1 c7\r\n");
    rig.awaitLoopTurns();
    server.write("HD Oc1 c8\r\nMN\r\n");
    assertEquals("HD Ob1 c7", client.readLine());
    assertEquals("HD Oc1 c8", secondClient.readLine());
  }

  @Test
  void writeFailsAtItsDeadlineWhenNothingConfirmsItsRejection() throws Exception {
    client.write(write("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR busy\r\n");
    awaitNoOp();
    assertEquals("SERVER_ERROR failed", client.readLine());
    assertNull(server.readLine(), "the connection is still used");
  }

  @Test
  void readIsRejectedByCopyAndItsOwnReplyAnswersNothing() throws Exception {
    client.write(read("b1"));
    awaitRequest("b1");
    server.write("SERVER_ERROR busy\r\n");
    assertEquals("SERVER_ERROR busy", client.readLine());
    secondClient.write(read("c1"));
    awaitNoOp();
    awaitRequest("c1");
    server.write("VA 1 Ob1\r\ny\r\nMN\r\nVA 1 Oc1\r\nx\r\n");
    assertEquals("VA 1 Oc1", secondClient.readLine());
    assertEquals("x", secondClient.readLine());
  }

  @Test
  void copyOfReplyBeforeTheLastOneBreaksNoRequest() throws Exception {
    client.write(read("b1"));
    awaitRequest("b1");
    server.write("VA 1 Ob1\r\nx\r\n");
    assertEquals("VA 1 Ob1", client.readLine());
    client.readLine();
    client.write(read("c1"));
    awaitRequest("c1");
    server.write("VA 1 Oc1\r\nx\r\n");
    assertEquals("VA 1 Oc1", client.readLine());
    secondClient.write(write("d1"));
    awaitRequest("d1");
    server.write("VA 1 Ob1\r\nx\r\nHD Od1 c7\r\n");
    assertEquals("HD Od1 c7", secondClient.readLine());
  }

  @Test
  void copyOfLargeValueBreaksNoRequest() throws Exception {
    String largeReply = "VA 100000 Ob1\r\n" + "x".repeat(100_000) + "\r\n";
    client.write(read("b1"));
    awaitRequest("b1");
    server.write(largeReply);
    assertEquals("VA 100000 Ob1", client.readLine());
    assertEquals(100_002, client.readBytes(100_002).length);
    secondClient.write(write("c1"));
    awaitRequest("c1");
    server.write(largeReply + "HD Oc1 c7\r\n");
    assertEquals("HD Oc1 c7", secondClient.readLine());
  }
}
