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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.bulrushweir.explain.ExplanationFields;

/** Serves readiness to the load balancer, metrics, and explanations beside the metrics. */
@ChannelHandler.Sharable
final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final String READY = "/ready";
  private static final String METRICS = "/metrics";

  private final GatewayCore core;
  private final GatewayMetrics metrics;
  private final Optional<RequestExplainer> explainer;

  /**
   * Creates the handler.
   *
   * @param core supplies the readiness
   * @param metrics the metrics to serve
   * @param explainer explains where requests would be sent, empty to serve no explanations
   */
  StatusHandler(
      final GatewayCore core,
      final GatewayMetrics metrics,
      final Optional<RequestExplainer> explainer) {
    this.core = core;
    this.metrics = metrics;
    this.explainer = explainer;
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
          default -> explanation(request);
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

  private FullHttpResponse explanation(final FullHttpRequest request) {
    final QueryStringDecoder query = new QueryStringDecoder(request.uri());
    if (explainer.isEmpty()
        || !request.method().equals(HttpMethod.GET)
        || !query.rawPath().equals(ExplanationFields.PATH)) {
      return response(HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER);
    }
    final RequestExplainer.Answer answer = explainer.get().explain(query);
    final FullHttpResponse response =
        response(
            answer.status(), Unpooled.copiedBuffer(answer.json() + "\n", StandardCharsets.UTF_8));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
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
