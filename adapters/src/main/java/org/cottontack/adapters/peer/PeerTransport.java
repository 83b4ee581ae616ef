package org.cottontack.adapters.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.core.Event;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.peer.PeerMessage;
import org.cottontack.wire.PeerCodec;
import org.cottontack.wire.WireException;
import org.cottontack.wire.generated.Envelope;

/**
 * Exchanges messages with other entry instances as length-prefixed protobuf, over one outgoing
 * connection to each instance. A message is sent at most once. Lost connections are reported to the
 * core.
 */
public final class PeerTransport implements AutoCloseable {

  private static final int CONNECT_MILLIS = 500;

  private final EventLoopGroup group;
  private final Supplier<InstanceId> self;
  private final Address advertised;
  private final LongSupplier timestamps;
  private final LongConsumer timestampListener;
  private final Consumer<Event> events;
  private final Map<String, ChannelFuture> outgoing = new ConcurrentHashMap<>();
  private final Channel server;

  /**
   * Starts listening for messages.
   *
   * @param group event loops
   * @param address the address to listen on, which is also sent to other instances as the address
   *     for replies
   * @param self supplies the incarnation of this instance at the time of sending
   * @param timestamps supplies the timestamp of each outgoing message
   * @param timestampListener receives the timestamp of each incoming message
   * @param events receives messages, undelivered messages and lost connections
   * @throws AdapterException with {@link AdapterException.Code#CANNOT_LISTEN} if the server cannot
   *     listen on the address
   */
  public PeerTransport(
      EventLoopGroup group,
      Address address,
      Supplier<InstanceId> self,
      LongSupplier timestamps,
      LongConsumer timestampListener,
      Consumer<Event> events) {
    this.group = group;
    this.advertised = address;
    this.self = self;
    this.timestamps = timestamps;
    this.timestampListener = timestampListener;
    this.events = events;
    this.server = listen(address);
  }

  private Channel listen(Address address) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Pipeline(true))
            .bind(address.socket())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new AdapterException(
          AdapterException.Code.CANNOT_LISTEN,
          "cannot listen for other entry instances on " + address,
          bound.cause());
    }
    return bound.channel();
  }

  /** Sends a message and connects first if there is no connection. */
  public void send(String address, PeerMessage message) {
    outgoing
        .computeIfAbsent(address, this::connect)
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess() && connected.channel().isActive()) {
                write(connected.channel(), message);
              } else {
                outgoing.remove(address, connected);
                events.accept(new PeerEvent.Undelivered(address, message));
              }
            });
  }

  private ChannelFuture connect(String address) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new Pipeline(false))
            .connect(Address.parse(address).socket());
    connecting
        .channel()
        .closeFuture()
        .addListener(
            closed -> {
              outgoing.remove(address, connecting);
              if (connecting.isSuccess()) {
                events.accept(new PeerEvent.Lost(address));
              }
            });
    return connecting;
  }

  private void write(Channel channel, PeerMessage message) {
    Envelope.Builder envelope =
        Envelope.newBuilder()
            .setFrom(self.get().value())
            .setAddress(advertised.toString())
            .setClock(timestamps.getAsLong());
    PeerCodec.write(envelope, message);
    channel.writeAndFlush(envelope.build());
  }

  @Override
  public void close() {
    server.close().awaitUninterruptibly();
    outgoing.values().forEach(connected -> connected.channel().close());
  }

  private final class Pipeline extends ChannelInitializer<SocketChannel> {

    private final boolean incoming;

    Pipeline(boolean incoming) {
      this.incoming = incoming;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      ChannelPipeline pipeline = channel.pipeline();
      pipeline.addLast(new ProtobufVarint32FrameDecoder());
      pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
      pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
      pipeline.addLast(new ProtobufEncoder());
      if (incoming) {
        pipeline.addLast(new Incoming());
      }
    }
  }

  private final class Incoming extends SimpleChannelInboundHandler<Envelope> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
      try {
        PeerMessage message = PeerCodec.read(envelope);
        timestampListener.accept(envelope.getClock());
        events.accept(
            new PeerEvent.Received(
                new InstanceId(envelope.getFrom()), envelope.getAddress(), message));
      } catch (WireException | IllegalArgumentException e) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
