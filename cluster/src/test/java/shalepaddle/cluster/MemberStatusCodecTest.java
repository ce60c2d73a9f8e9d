package shalepaddle.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.encoding.CborValues;
import shalepaddle.encoding.MalformedMessageException;
import shalepaddle.raft.MemberRole;
import shalepaddle.raft.MemberStatus;

/** Checks the format of a member's status against bytes that version 0.1.0 wrote. */
class MemberStatusCodecTest {
  private static void assertEncodedAs(String hex, MemberStatus status) throws IOException {
    assertEquals(hex, HexFormat.of().formatHex(MemberStatusCodec.encode(status)));
    assertEquals(status, MemberStatusCodec.decode(HexFormat.of().parseHex(hex)));
  }

  @Test
  void encodesAndDecodesStatusAsEarlierVersion() throws IOException {
    assertEncodedAs(
        "9f626d31664c4541444552626d31059f9f626d31ff9f626d32ffff9f9f626d31ffff09" + "0af6ff",
        new MemberStatus(
            "m1", MemberRole.LEADER, "m1", 5, List.of("m1", "m2"), List.of("m1"), 9, 10, null));
    assertEncodedAs(
        "9f626d34674a4f494e494e47f6009fff9fff00006d6e6f207370616365206c656674ff",
        new MemberStatus(
            "m4", MemberRole.JOINING, null, 0, List.of(), List.of(), 0, 0, "no space left"));
  }

  @Test
  void decodeRejectsRoleOfLaterVersion() {
    byte[] encodedStatus = CborValues.encode("m1", (name, out) -> out.put(name).put("WITNESS"));
    assertThrows(MalformedMessageException.class, () -> MemberStatusCodec.decode(encodedStatus));
  }
}
