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

/** Handles one HTTP request. Used on the admin server's event loop only. */
final class AdminRequestHandler extends SimpleChannelInboundHandler<HttpObject> {
  /** No request needs a body; a body longer than this is rejected before it is complete. */
  private static final int MAX_BODY_BYTES = 4096;

  private static final int MAX_MEMBER_ID_LENGTH = 256;

  private final AdminServer server;
  private final AdminOperations operations;
  private HttpRequest request;
  private int bodyBytes;
  private boolean hasResponded;

  AdminRequestHandler(AdminServer server, AdminOperations operations) {
    this.server = server;
    this.operations = operations;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (hasResponded) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      respond(ctx, HttpResponseStatus.BAD_REQUEST, "not an HTTP/1.1 call that can be read\n");
      return;
    }
    if (message instanceof HttpRequest requestHead) {
      request = requestHead;
    }
    if (message instanceof HttpContent content) {
      bodyBytes += content.content().readableBytes();
      if (bodyBytes > MAX_BODY_BYTES) {
        respond(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "no call has a body\n");
      } else if (message instanceof LastHttpContent) {
        server.markRequestComplete(ctx.channel());
        handle(ctx);
      }
    }
  }

  private void handle(ChannelHandlerContext ctx) {
    QueryStringDecoder target = new QueryStringDecoder(request.uri());
    String path;
    List<String> members;
    try {
      path = target.path();
      members = target.parameters().getOrDefault("member", List.of());
    } catch (IllegalArgumentException e) {
      respond(ctx, HttpResponseStatus.BAD_REQUEST, "the path can not be read\n");
      return;
    }
    switch (path) {
      case "/api/ready" -> {
        if (checkMethod(ctx, HttpMethod.GET)) {
          boolean isReady = operations.isReady();
          respond(
              ctx,
              isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
              isReady ? "ready\n" : "not ready\n");
        }
      }
      case "/api/telemetry" -> {
        if (checkMethod(ctx, HttpMethod.GET)) {
          respond(ctx, HttpResponseStatus.OK, PrometheusExposition.of(operations.telemetry()));
        }
      }
      case "/api/exclude" -> exclude(ctx, members, true);
      case "/api/include" -> exclude(ctx, members, false);
      default -> respond(ctx, HttpResponseStatus.NOT_FOUND, "no such call\n");
    }
  }

  private boolean checkMethod(ChannelHandlerContext ctx, HttpMethod method) {
    if (request.method().equals(method)) {
      return true;
    }
    respond(
        ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, "to be called with " + method + "\n", method);
    return false;
  }

  private void exclude(ChannelHandlerContext ctx, List<String> members, boolean isExcluded) {
    if (!checkMethod(ctx, HttpMethod.PUT)) {
      return;
    }
    if (members.size() != 1
        || members.get(0).isEmpty()
        || members.get(0).length() > MAX_MEMBER_ID_LENGTH) {
      respond(ctx, HttpResponseStatus.BAD_REQUEST, "one member=ID is needed\n");
      return;
    }
    String member = members.get(0);
    AdminOperations.Revocable command =
        operations.setExcluded(
            member,
            isExcluded,
            result -> ctx.executor().execute(() -> respondWithResult(ctx, result)));
    ctx.executor()
        .schedule(
            () -> {
              if (!hasResponded && command.revoke()) {
                respond(
                    ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "too busy: nothing was done\n");
              }
            },
            AdminServer.COMMAND_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void respondWithResult(ChannelHandlerContext ctx, AdminOperations.Result result) {
    switch (result) {
      case DONE -> respond(ctx, HttpResponseStatus.OK, "done\n");
      case UNKNOWN_MEMBER -> respond(ctx, HttpResponseStatus.NOT_FOUND, "no such member\n");
      case UNAVAILABLE ->
          respond(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "nothing was done\n");
    }
  }

  private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
    respond(ctx, status, text, null);
  }

  private void respond(
      ChannelHandlerContext ctx, HttpResponseStatus status, String text, HttpMethod allowedMethod) {
    if (hasResponded) {
      return;
    }
    hasResponded = true;
    server.markRequestComplete(ctx.channel());
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, ByteBufUtil.writeUtf8(ctx.alloc(), text));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, PrometheusExposition.CONTENT_TYPE)
        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (allowedMethod != null) {
      response.headers().set(HttpHeaderNames.ALLOW, allowedMethod.name());
    }
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      ctx.close();
    } else {
      respond(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed\n");
    }
  }
}
