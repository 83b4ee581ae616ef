package org.cottontack.wire;

import com.google.protobuf.ByteString;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.peer.PeerMessage;
import org.cottontack.core.store.StoreKey;
import org.cottontack.wire.generated.Envelope;
import org.cottontack.wire.generated.Forward;
import org.cottontack.wire.generated.Forwarded;
import org.cottontack.wire.generated.PromiseAsk;
import org.cottontack.wire.generated.PromiseGiven;
import org.cottontack.wire.generated.Report;
import org.cottontack.wire.generated.TaskNotice;

/** Encodes and decodes a {@link PeerMessage} as the body of an {@link Envelope}. */
public final class PeerCodec {

  private PeerCodec() {}

  /** Writes a message into an envelope. */
  public static void write(Envelope.Builder envelope, PeerMessage message) {
    if (message instanceof PeerMessage.PromiseAsk ask) {
      envelope.setPromiseAsk(PromiseAsk.newBuilder().setEpoch(ask.epoch()).setRound(ask.round()));
    } else if (message instanceof PeerMessage.PromiseGiven given) {
      envelope.setPromiseGiven(
          PromiseGiven.newBuilder().setEpoch(given.epoch()).setRound(given.round()));
    } else if (message instanceof PeerMessage.Report report) {
      envelope.setReport(
          Report.newBuilder()
              .setFreeSlots(report.freeSlots())
              .setTableVersion(report.tableVersion()));
    } else if (message instanceof PeerMessage.TaskNotice notice) {
      envelope.setTaskNotice(TaskNotice.newBuilder().setKey(notice.key().value()));
    } else if (message instanceof PeerMessage.Forward forward) {
      envelope.setForward(forward(forward));
    } else if (message instanceof PeerMessage.Forwarded answer) {
      envelope.setForwarded(forwarded(answer));
    } else {
      throw new WireException("no protobuf encoding for " + message.getClass().getSimpleName());
    }
  }

  /**
   * Reads the message from an envelope.
   *
   * @throws WireException if the envelope does not contain a known message or a field is invalid
   */
  public static PeerMessage read(Envelope envelope) {
    try {
      return body(envelope);
    } catch (IllegalArgumentException e) {
      throw new WireException("a message has an invalid field: " + e.getMessage());
    }
  }

  private static PeerMessage body(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case PROMISE_ASK ->
          new PeerMessage.PromiseAsk(
              envelope.getPromiseAsk().getEpoch(), envelope.getPromiseAsk().getRound());
      case PROMISE_GIVEN ->
          new PeerMessage.PromiseGiven(
              envelope.getPromiseGiven().getEpoch(), envelope.getPromiseGiven().getRound());
      case REPORT ->
          new PeerMessage.Report(
              envelope.getReport().getFreeSlots(), envelope.getReport().getTableVersion());
      case TASK_NOTICE ->
          new PeerMessage.TaskNotice(new StoreKey(envelope.getTaskNotice().getKey()));
      case FORWARD -> forward(envelope.getForward());
      case FORWARDED -> forwarded(envelope.getForwarded());
      case BODY_NOT_SET -> throw new WireException("the envelope does not contain a known message");
    };
  }

  private static Forward forward(PeerMessage.Forward forward) {
    return Forward.newBuilder()
        .setAttempt(forward.attempt().value())
        .setCaller(forward.caller().value())
        .setRow(forward.row().value())
        .setKey(forward.key())
        .setMillisLeft(forward.millisLeft())
        .setBody(ByteString.copyFrom(forward.body().bytes()))
        .build();
  }

  private static PeerMessage.Forward forward(Forward forward) {
    return new PeerMessage.Forward(
        new AttemptId(forward.getAttempt()),
        new CallerId(forward.getCaller()),
        new RowName(forward.getRow()),
        forward.getKey(),
        forward.getMillisLeft(),
        Payload.of(forward.getBody().toByteArray()));
  }

  private static Forwarded forwarded(PeerMessage.Forwarded answer) {
    return Forwarded.newBuilder()
        .setAttempt(answer.attempt().value())
        .setCode(answer.code())
        .setRetryAfterMillis(answer.retryAfterMillis())
        .setEndpointStatus(answer.endpointStatus())
        .setBody(ByteString.copyFrom(answer.body().bytes()))
        .build();
  }

  private static PeerMessage.Forwarded forwarded(Forwarded answer) {
    return new PeerMessage.Forwarded(
        new AttemptId(answer.getAttempt()),
        answer.getCode(),
        answer.getRetryAfterMillis(),
        answer.getEndpointStatus(),
        Payload.of(answer.getBody().toByteArray()));
  }
}
