package shalepaddle.encoding;

import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import java.io.IOException;

/** Writes and reads the fields of the messages that replicate the log. */
final class AppendEntriesCodec {
  private AppendEntriesCodec() {}

  static void writeRequest(AppendEntriesRequest request, CborValues.Writer out) throws IOException {
    out.put(request.getPreviousLogTerm())
        .put(request.getPreviousLogIndex())
        .put(request.getCommitIndex())
        .putList(request.getLogEntries(), LogEntryCodec::writeEntry)
        .put(request.getQuerySequenceNumber())
        .put(request.getFlowControlSequenceNumber());
  }

  static AppendEntriesRequest readRequest(RaftMessageCodec.Header header, CborValues.Reader in)
      throws IOException {
    return LogEntryCodec.modelFactory()
        .createAppendEntriesRequestBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setPreviousLogTerm(in.readInt())
        .setPreviousLogIndex(in.readLong())
        .setCommitIndex(in.readLong())
        .setLogEntries(in.readList(LogEntryCodec::readEntry))
        .setQuerySequenceNumber(in.readLong())
        .setFlowControlSequenceNumber(in.readLong())
        .build();
  }

  static void writeSuccess(AppendEntriesSuccessResponse response, CborValues.Writer out)
      throws IOException {
    out.put(response.getLastLogIndex())
        .put(response.getQuerySequenceNumber())
        .put(response.getFlowControlSequenceNumber());
  }

  static AppendEntriesSuccessResponse readSuccess(
      RaftMessageCodec.Header header, CborValues.Reader in) throws IOException {
    return LogEntryCodec.modelFactory()
        .createAppendEntriesSuccessResponseBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setLastLogIndex(in.readLong())
        .setQuerySequenceNumber(in.readLong())
        .setFlowControlSequenceNumber(in.readLong())
        .build();
  }

  static void writeFailure(AppendEntriesFailureResponse response, CborValues.Writer out)
      throws IOException {
    out.put(response.getExpectedNextIndex())
        .put(response.getQuerySequenceNumber())
        .put(response.getFlowControlSequenceNumber());
  }

  static AppendEntriesFailureResponse readFailure(
      RaftMessageCodec.Header header, CborValues.Reader in) throws IOException {
    return LogEntryCodec.modelFactory()
        .createAppendEntriesFailureResponseBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setExpectedNextIndex(in.readLong())
        .setQuerySequenceNumber(in.readLong())
        .setFlowControlSequenceNumber(in.readLong())
        .build();
  }
}
