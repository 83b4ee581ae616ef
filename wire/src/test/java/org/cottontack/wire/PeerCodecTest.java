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

/** Messages between entry instances survive the wire; rubbish does not get through. */
public final class PeerCodecTest {

  private PeerCodecTest() {}

  /** Good messages. */
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

    /** What was written is read. */
    @Test(dataProvider = "messages")
    public void readsWhatWasWritten(PeerMessage message) {
      Envelope.Builder envelope = Envelope.newBuilder();
      PeerCodec.write(envelope, message);
      assertEquals(PeerCodec.read(envelope.build()), message);
    }
  }

  /** Bad messages. */
  public static final class Rubbish {

    private static final long SEED = 42;

    /** An envelope without a known message is refused. */
    @Test
    public void emptyEnvelope() {
      assertThrows(WireException.class, () -> PeerCodec.read(Envelope.getDefaultInstance()));
    }

    /** Random bytes either fail to parse, are refused, or are some message; nothing else. */
    @Test
    public void randomBytes() {
      Random random = new Random(SEED);
      for (int i = 0; i < 20_000; i++) {
        byte[] bytes = new byte[random.nextInt(64)];
        random.nextBytes(bytes);
        readOrRefuse(bytes);
      }
    }

    private static void readOrRefuse(byte[] bytes) {
      try {
        PeerCodec.read(Envelope.parseFrom(bytes));
      } catch (InvalidProtocolBufferException | WireException e) {
        return; // both close the connection
      }
    }
  }
}
