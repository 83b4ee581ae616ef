package org.cottontack.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Random;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.peer.PeerMessage;
import org.cottontack.core.store.StoreKey;
import org.cottontack.wire.generated.Envelope;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link PeerCodec} preserves messages and rejects invalid input. */
public final class PeerCodecTest {

  private PeerCodecTest() {}

  /** Valid messages. */
  public static final class RoundTrip {

    /** Returns one message of each kind. */
    @DataProvider(name = "messages")
    public Object[][] messages() {
      AttemptId attempt = new AttemptId("a-1");
      return new Object[][] {
        {new PeerMessage.PromiseAsk(3, 4)},
        {new PeerMessage.PromiseGiven(3, 4)},
        {new PeerMessage.Report(5, 6)},
        {new PeerMessage.TaskNotice(new StoreKey("task/dc/01/t"))},
        {
          new PeerMessage.Forward(
              attempt, new CallerId("c"), new RowName("r"), "", 9, Payload.of("body"))
        },
        {new PeerMessage.Forwarded(attempt, "ok", 0, 200, Payload.of("answer"))},
      };
    }

    /** A message equals the original after writing and reading it. */
    @Test(dataProvider = "messages")
    public void readsWhatWasWritten(PeerMessage message) {
      Envelope.Builder envelope = Envelope.newBuilder();
      PeerCodec.write(envelope, message);
      assertEquals(PeerCodec.read(envelope.build()), message);
    }
  }

  /** Invalid messages. */
  public static final class InvalidInput {

    private static final long SEED = 42;

    /** An envelope without a known message is rejected. */
    @Test
    public void rejectsEmptyEnvelope() {
      assertThrows(WireException.class, () -> PeerCodec.read(Envelope.getDefaultInstance()));
    }

    /**
     * Random bytes fail to parse, are rejected, or are read as a message. No other exception is
     * thrown.
     */
    @Test
    public void readsOrRejectsRandomBytes() {
      Random random = new Random(SEED);
      for (int i = 0; i < 20_000; i++) {
        byte[] bytes = new byte[random.nextInt(64)];
        random.nextBytes(bytes);
        readOrReject(bytes);
      }
    }

    private static void readOrReject(byte[] bytes) {
      try {
        PeerCodec.read(Envelope.parseFrom(bytes));
      } catch (InvalidProtocolBufferException | WireException e) {
        return; // Both exceptions close the connection.
      }
    }
  }
}
