package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Serves readiness to the load balancer, and metrics. */
@ChannelHandler.Sharable
final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final String READY = "/ready";
  private static final String METRICS = "/metrics";

  private final GatewayCore core;
  private final GatewayMetrics metrics;

  /**
   * Creates the handler.
   *
   * @param core supplies the readiness
   * @param metrics the metrics to serve
   */
  StatusHandler(final GatewayCore core, final GatewayMetrics metrics) {
    this.core = core;
    this.metrics = metrics;
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext context, final FullHttpRequest request) {
    final FullHttpResponse response =
        switch (request.uri()) {
          case READY ->
              response(
                  core.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                  Unpooled.EMPTY_BUFFER);
          case METRICS -> metricsResponse();
          default -> response(HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER);
        };
    if (HttpUtil.isKeepAlive(request)) {
      context.writeAndFlush(response);
      return;
    }
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private FullHttpResponse metricsResponse() {
    final FullHttpResponse response =
        response(HttpResponseStatus.OK, Unpooled.wrappedBuffer(metrics.text()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, GatewayMetrics.MEDIA_TYPE);
    return response;
  }

  private static FullHttpResponse response(final HttpResponseStatus status, final ByteBuf body) {
    final FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    return response;
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    core.log().recordCallerFailure(cause);
    context.close();
  }
}
