package org.bulrushweir.router;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.javalin.http.Context;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.declaration.Declaration;
import org.bulrushweir.declaration.EndpointKind;
import org.bulrushweir.declaration.OrganisationDeclaration;
import org.bulrushweir.declaration.ServiceDeclaration;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.engine.EngineProtocol;
import org.bulrushweir.toml.NearestName;
import org.bulrushweir.wire.generated.Kind;

/** Validates the HTTP requests of callers and converts them to {@link RequestSpec}s. */
final class RequestParser {

  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_FORBIDDEN = 403;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_TOO_LARGE = 413;
  private static final int MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final String BEARER = "Bearer ";
  private static final String CALL_PREFIX = "/services/";

  private final ObjectMapper mapper = new ObjectMapper();

  /**
   * Validates and converts a chat request.
   *
   * @param ctx the HTTP request
   * @param id the request's id
   * @param declaration the declaration in force
   * @return the request
   * @throws ProblemException if the request is invalid or not permitted
   */
  ChatSpec readChat(final Context ctx, final RequestId id, final Declaration declaration) {
    final OrganisationId organisation = organisation(ctx, declaration);
    final byte[] body = ctx.bodyAsBytes();
    final EngineProtocol.ChatRequest chat = parseChat(body);
    final ServiceDeclaration service = serviceOf(chat.model(), declaration);
    requireBodyFits(body.length, service);
    final WorkClass workClass = workClass(ctx, declaration);
    final int promptTokens =
        chat.messages().stream().mapToInt(it -> it.content().length()).sum() / CHARACTERS_PER_TOKEN;
    final int outputTokens =
        chat.maxTokens() == null
            ? workClass.expectedOutputTokens()
            : Math.min(chat.maxTokens(), workClass.expectedOutputTokens());
    final RequestSpec spec =
        new RequestSpec(
            id,
            organisation,
            service,
            workClass,
            Kind.CHAT,
            chatHash(ctx, organisation, chat),
            affinity(ctx),
            chat.model(),
            "",
            "",
            "application/json",
            ByteString.copyFrom(body),
            promptTokens,
            outputTokens,
            true,
            "",
            deadlineMs(ctx, workClass));
    return new ChatSpec(spec, Boolean.TRUE.equals(chat.stream()));
  }

  /**
   * Validates and converts a call of a plain service.
   *
   * @param ctx the HTTP request
   * @param id the request's id
   * @param declaration the declaration in force
   * @return the request
   * @throws ProblemException if the request is invalid or not permitted
   */
  RequestSpec readCall(final Context ctx, final RequestId id, final Declaration declaration) {
    final OrganisationId organisation = organisation(ctx, declaration);
    final String name = ctx.pathParam("service");
    final ServiceDeclaration service = plainService(name, declaration);
    final byte[] body = ctx.bodyAsBytes();
    requireBodyFits(body.length, service);
    final String path = ctx.path().substring((CALL_PREFIX + name).length());
    final String method = ctx.method().name();
    final String key = Optional.ofNullable(ctx.header(Headers.IDEMPOTENCY_KEY)).orElse("");
    requireValidIdempotencyKey(key);
    final boolean idempotent = service.isIdempotent(method, path);
    final WorkClass workClass = workClass(ctx, declaration);
    return new RequestSpec(
        id,
        organisation,
        service,
        workClass,
        Kind.CALL,
        0,
        null,
        "",
        method,
        ctx.queryString() == null ? path : path + '?' + ctx.queryString(),
        Optional.ofNullable(ctx.contentType()).orElse(""),
        ByteString.copyFrom(body),
        0,
        0,
        idempotent,
        idempotent ? "" : key,
        deadlineMs(ctx, workClass));
  }

  private static OrganisationId organisation(final Context ctx, final Declaration declaration) {
    final String name = ctx.header(Headers.ORGANISATION);
    if (name == null) {
      throw new ProblemException(
          STATUS_UNAUTHORIZED,
          "no-organisation",
          "the header " + Headers.ORGANISATION + " is missing");
    }
    final OrganisationDeclaration organisation =
        Identifiers.isValid(name)
            ? declaration.organisations().get(new OrganisationId(name))
            : null;
    if (organisation == null) {
      throw new ProblemException(
          STATUS_FORBIDDEN,
          "unknown-organisation",
          "organisation \"" + name + "\" is not declared");
    }
    requireApiKey(ctx, organisation);
    return organisation.id();
  }

  private static void requireApiKey(final Context ctx, final OrganisationDeclaration organisation) {
    if (organisation.apiKeyDigests().isEmpty()) {
      return;
    }
    final String authorization = ctx.header("Authorization");
    if (authorization == null || !authorization.startsWith(BEARER)) {
      throw new ProblemException(
          STATUS_UNAUTHORIZED,
          "no-api-key",
          "organisation \""
              + organisation.id()
              + "\" needs an API key: Authorization: Bearer <key>");
    }
    final String digest =
        Hashing.sha256()
            .hashString(authorization.substring(BEARER.length()), StandardCharsets.UTF_8)
            .toString();
    if (!organisation.apiKeyDigests().contains(digest)) {
      throw new ProblemException(
          STATUS_FORBIDDEN,
          "wrong-api-key",
          "the API key is not one of organisation \"" + organisation.id() + '"');
    }
  }

  private EngineProtocol.ChatRequest parseChat(final byte[] body) {
    final EngineProtocol.ChatRequest chat;
    try {
      chat = mapper.readValue(body, EngineProtocol.ChatRequest.class);
    } catch (JsonProcessingException e) {
      final JsonLocation at = e.getLocation();
      final String place =
          at == null ? "" : "line " + at.getLineNr() + ", column " + at.getColumnNr() + ": ";
      throw badRequest("malformed-json", place + e.getOriginalMessage());
    } catch (IOException e) {
      throw new IllegalStateException("failed to read the request body from memory", e);
    }
    if (chat == null || chat.messages() == null || chat.messages().isEmpty()) {
      throw badRequest("no-messages", "\"messages\" is missing or empty");
    }
    for (final EngineProtocol.ChatMessage message : chat.messages()) {
      if (message == null || message.role() == null || message.content() == null) {
        throw badRequest("bad-message", "each message needs \"role\" and \"content\"");
      }
    }
    if (chat.maxTokens() != null && chat.maxTokens() < 1) {
      throw badRequest("bad-max-tokens", "\"max_tokens\" is less than one");
    }
    return chat;
  }

  private static ProblemException badRequest(final String type, final String message) {
    return new ProblemException(STATUS_BAD_REQUEST, type, message);
  }

  private static ServiceDeclaration serviceOf(final String model, final Declaration declaration) {
    final Optional<ServiceDeclaration> service =
        Identifiers.isValid(model) ? declaration.serviceOf(new ModelName(model)) : Optional.empty();
    return service.orElseThrow(() -> unknownModel(model, declaration));
  }

  private static ProblemException unknownModel(final String model, final Declaration declaration) {
    if (model == null) {
      return badRequest("no-model", "\"model\" is missing");
    }
    final List<String> models =
        declaration.services().values().stream()
            .flatMap(service -> service.models().stream())
            .map(it -> it.name().value())
            .toList();
    return new ProblemException(
        STATUS_NOT_FOUND,
        "unknown-model",
        "model \"" + model + "\" is not declared; " + NearestName.suggestion(model, models));
  }

  private static ServiceDeclaration plainService(final String name, final Declaration declaration) {
    final ServiceDeclaration service =
        Identifiers.isValid(name) ? declaration.services().get(new ServiceName(name)) : null;
    if (service == null || service.kind() != EndpointKind.SERVICE) {
      final List<String> names =
          declaration.services().values().stream()
              .filter(it -> it.kind() == EndpointKind.SERVICE)
              .map(it -> it.name().value())
              .toList();
      throw new ProblemException(
          STATUS_NOT_FOUND,
          "unknown-service",
          "service \"" + name + "\" is not declared; " + NearestName.suggestion(name, names));
    }
    return service;
  }

  private static void requireBodyFits(final int length, final ServiceDeclaration service) {
    if (length > service.maximumBodyBytes()) {
      throw new ProblemException(
          STATUS_TOO_LARGE,
          "body-too-large",
          "the body has "
              + length
              + " bytes, \""
              + service.name()
              + "\" takes "
              + service.maximumBodyBytes());
    }
  }

  private static void requireValidIdempotencyKey(final String key) {
    final boolean printable = key.chars().allMatch(it -> it > ' ' && it < 0x7f);
    if (key.length() > MAXIMUM_IDEMPOTENCY_KEY_LENGTH || !printable) {
      throw badRequest(
          "bad-idempotency-key",
          "an Idempotency-Key has at most "
              + MAXIMUM_IDEMPOTENCY_KEY_LENGTH
              + " printable ASCII characters without spaces");
    }
  }

  private static WorkClass workClass(final Context ctx, final Declaration declaration) {
    final String name = ctx.header(Headers.WORK_CLASS);
    if (name == null) {
      return declaration.defaultClass();
    }
    final WorkClass workClass = declaration.classes().get(name);
    if (workClass == null) {
      throw badRequest(
          "unknown-class",
          "class \""
              + name
              + "\" is not declared; "
              + NearestName.suggestion(name, declaration.classes().keySet()));
    }
    return workClass;
  }

  private static long deadlineMs(final Context ctx, final WorkClass workClass) {
    final String text = ctx.header(Headers.DEADLINE);
    if (text == null) {
      return workClass.deadlineMs();
    }
    try {
      final long deadlineMs = Long.parseLong(text);
      if (deadlineMs > 0) {
        return Math.min(deadlineMs, workClass.deadlineMs());
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number that is not positive.
    }
    throw badRequest("bad-deadline", Headers.DEADLINE + " is not a positive whole number: " + text);
  }

  private static EndpointId affinity(final Context ctx) {
    final String text = ctx.header(Headers.AFFINITY);
    return Identifiers.isValid(text) ? new EndpointId(text) : null;
  }

  /**
   * Hashes the organisation, the model and the chat's name or, without one, the chat's first
   * message. Zero stands for "no chat" and is never returned.
   */
  private static long chatHash(
      final Context ctx, final OrganisationId organisation, final EngineProtocol.ChatRequest chat) {
    final Hasher hasher =
        Hashing.sipHash24()
            .newHasher()
            .putString(organisation.value() + '\n' + chat.model(), StandardCharsets.UTF_8);
    final String name = ctx.header(Headers.CHAT);
    if (name == null) {
      hasher.putString(chat.messages().getFirst().content(), StandardCharsets.UTF_8);
    } else {
      hasher.putString(name, StandardCharsets.UTF_8);
    }
    final long hash = hasher.hash().asLong();
    return hash == 0 ? 1 : hash;
  }

  /**
   * Combines a chat request with the requested form of its answer.
   *
   * @param spec the request
   * @param stream whether the answer is to be streamed
   */
  record ChatSpec(RequestSpec spec, boolean stream) {}
}
