package shalepaddle.admin;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One caller's one call, and its answer. Runs on the door's thread. */
final class AdminRequestHandler extends SimpleChannelInboundHandler<HttpObject> {
  /** No call needs a body; one that is longer is turned down before it has come. */
  private static final int MAX_BODY = 4096;

  private static final int MAX_MEMBER = 256;

  private final AdminServer door;
  private final AdminOperations operated;
  private HttpRequest request;
  private int body;
  private boolean answered;

  AdminRequestHandler(AdminServer door, AdminOperations operated) {
    this.door = door;
    this.operated = operated;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (answered) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      answer(ctx, HttpResponseStatus.BAD_REQUEST, "not an HTTP/1.1 call that can be read\n");
      return;
    }
    if (message instanceof HttpRequest head) {
      request = head;
    }
    if (message instanceof HttpContent content) {
      body += content.content().readableBytes();
      if (body > MAX_BODY) {
        answer(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "no call has a body\n");
      } else if (message instanceof LastHttpContent) {
        door.requestComplete(ctx.channel());
        call(ctx);
      }
    }
  }

  private void call(ChannelHandlerContext ctx) {
    QueryStringDecoder target = new QueryStringDecoder(request.uri());
    String path;
    List<String> members;
    try {
      path = target.path();
      members = target.parameters().getOrDefault("member", List.of());
    } catch (IllegalArgumentException e) {
      answer(ctx, HttpResponseStatus.BAD_REQUEST, "the path can not be read\n");
      return;
    }
    switch (path) {
      case "/api/ready" -> {
        if (takes(ctx, HttpMethod.GET)) {
          boolean ready = operated.isReady();
          answer(
              ctx,
              ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
              ready ? "ready\n" : "not ready\n");
        }
      }
      case "/api/telemetry" -> {
        if (takes(ctx, HttpMethod.GET)) {
          answer(ctx, HttpResponseStatus.OK, PrometheusExposition.of(operated.telemetry()));
        }
      }
      case "/api/exclude" -> exclude(ctx, members, true);
      case "/api/include" -> exclude(ctx, members, false);
      default -> answer(ctx, HttpResponseStatus.NOT_FOUND, "no such call\n");
    }
  }

  private boolean takes(ChannelHandlerContext ctx, HttpMethod method) {
    if (request.method().equals(method)) {
      return true;
    }
    answer(
        ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, "to be called with " + method + "\n", method);
    return false;
  }

  private void exclude(ChannelHandlerContext ctx, List<String> members, boolean out) {
    if (!takes(ctx, HttpMethod.PUT)) {
      return;
    }
    if (members.size() != 1 || members.get(0).isEmpty() || members.get(0).length() > MAX_MEMBER) {
      answer(ctx, HttpResponseStatus.BAD_REQUEST, "one member=ID is needed\n");
      return;
    }
    String member = members.get(0);
    AdminOperations.Revocable command =
        operated.exclude(member, out, result -> ctx.executor().execute(() -> tell(ctx, result)));
    ctx.executor()
        .schedule(
            () -> {
              if (!answered && command.revoke()) {
                answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "too busy: nothing was done\n");
              }
            },
            AdminServer.COMMAND_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void tell(ChannelHandlerContext ctx, AdminOperations.Result result) {
    switch (result) {
      case DONE -> answer(ctx, HttpResponseStatus.OK, "done\n");
      case UNKNOWN_MEMBER -> answer(ctx, HttpResponseStatus.NOT_FOUND, "no such member\n");
      case UNAVAILABLE -> answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "nothing was done\n");
    }
  }

  private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
    answer(ctx, status, text, null);
  }

  private void answer(
      ChannelHandlerContext ctx, HttpResponseStatus status, String text, HttpMethod allowed) {
    if (answered) {
      return;
    }
    answered = true;
    door.requestComplete(ctx.channel());
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, ByteBufUtil.writeUtf8(ctx.alloc(), text));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, PrometheusExposition.CONTENT_TYPE)
        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (allowed != null) {
      response.headers().set(HttpHeaderNames.ALLOW, allowed.name());
    }
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      ctx.close();
    } else {
      answer(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed\n");
    }
  }
}
