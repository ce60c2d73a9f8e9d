package shalepaddle.encoding;

import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import java.io.IOException;
import java.util.List;

/** Writes and reads the fields of the messages that transfer a snapshot. */
final class InstallSnapshotCodec {
  private InstallSnapshotCodec() {}

  static void writeRequest(InstallSnapshotRequest request, CborValues.Writer out)
      throws IOException {
    out.put(request.isSenderLeader())
        .put(request.getSnapshotTerm())
        .put(request.getSnapshotIndex())
        .put(request.getTotalSnapshotChunkCount());
    SnapshotChunk chunk = request.getSnapshotChunk();
    out.putList(chunk == null ? List.of() : List.of(chunk), LogEntryCodec::writeSnapshotChunk);
    LogEntryCodec.writeMembers(request.getSnapshottedMembers(), out);
    LogEntryCodec.writeMembersView(request.getGroupMembersView(), out);
    out.put(request.getQuerySequenceNumber()).put(request.getFlowControlSequenceNumber());
  }

  static InstallSnapshotRequest readRequest(RaftMessageCodec.Header header, CborValues.Reader in)
      throws IOException {
    return LogEntryCodec.modelFactory()
        .createInstallSnapshotRequestBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setSenderLeader(in.readBoolean())
        .setSnapshotTerm(in.readInt())
        .setSnapshotIndex(in.readLong())
        .setTotalSnapshotChunkCount(in.readInt())
        .setSnapshotChunk(
            in.readList(LogEntryCodec::readSnapshotChunk).stream().findFirst().orElse(null))
        .setSnapshottedMembers(LogEntryCodec.readMembers(in))
        .setGroupMembersView(LogEntryCodec.readMembersView(in))
        .setQuerySequenceNumber(in.readLong())
        .setFlowControlSequenceNumber(in.readLong())
        .build();
  }

  static void writeResponse(InstallSnapshotResponse response, CborValues.Writer out)
      throws IOException {
    out.put(response.getSnapshotIndex())
        .put(response.getRequestedSnapshotChunkIndex())
        .put(response.getQuerySequenceNumber())
        .put(response.getFlowControlSequenceNumber());
  }

  static InstallSnapshotResponse readResponse(RaftMessageCodec.Header header, CborValues.Reader in)
      throws IOException {
    return LogEntryCodec.modelFactory()
        .createInstallSnapshotResponseBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setSnapshotIndex(in.readLong())
        .setRequestedSnapshotChunkIndex(in.readInt())
        .setQuerySequenceNumber(in.readLong())
        .setFlowControlSequenceNumber(in.readLong())
        .build();
  }
}
