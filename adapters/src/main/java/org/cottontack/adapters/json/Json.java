package org.cottontack.adapters.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.cfg.EnumFeature;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.util.function.Function;
import org.cottontack.adapters.AdapterException;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.EndpointId;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.id.TeamId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.store.StoreKey;

/**
 * The JSON mapper that all modules share. Identifiers are plain text, payloads are base64, and
 * unknown fields are rejected.
 */
public final class Json {

  private static final ObjectMapper MAPPER = configure(JsonMapper.builder());

  private Json() {}

  /** Returns the shared mapper. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /** Applies the conventions of this project to a mapper builder of any format. */
  public static <M extends ObjectMapper> M configure(MapperBuilder<M, ?> builder) {
    return builder
        .addModule(module())
        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
        .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
        .enable(EnumFeature.WRITE_ENUMS_TO_LOWERCASE)
        .defaultPropertyInclusion(
            JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.ALWAYS))
        .build();
  }

  /** Returns a value as JSON text. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write " + value.getClass().getSimpleName(), e);
    }
  }

  /** Returns a value as a payload of JSON text. */
  public static Payload payload(Object value) {
    return Payload.of(write(value));
  }

  /**
   * Parses JSON text.
   *
   * @throws AdapterException with {@link AdapterException.Code#MALFORMED} if the text cannot be
   *     mapped to the type
   */
  public static <T> T read(String text, Class<T> type) {
    try {
      return MAPPER.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new AdapterException(AdapterException.Code.MALFORMED, oneLine(e), e);
    }
  }

  /**
   * Parses JSON text as a tree.
   *
   * @throws AdapterException with {@link AdapterException.Code#MALFORMED} if the text is not JSON
   */
  public static JsonNode tree(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new AdapterException(AdapterException.Code.MALFORMED, oneLine(e), e);
    }
  }

  /** Returns the message of a parser exception as one line, with the location of the error. */
  public static String oneLine(JsonProcessingException exception) {
    String location =
        exception.getLocation() == null
            ? ""
            : "line %d, column %d: "
                .formatted(
                    exception.getLocation().getLineNr(), exception.getLocation().getColumnNr());
    String problem = exception.getOriginalMessage().lines().findFirst().orElse("not readable");
    return location + (problem.startsWith("Cannot map `null`") ? "a number is missing" : problem);
  }

  private static SimpleModule module() {
    SimpleModule module = new SimpleModule("cottontack");
    id(module, AttemptId.class, AttemptId::new);
    id(module, CallerId.class, CallerId::new);
    id(module, DataCentreId.class, DataCentreId::new);
    id(module, EndpointId.class, EndpointId::new);
    id(module, InstanceId.class, InstanceId::new);
    id(module, RowName.class, RowName::new);
    id(module, TaskId.class, TaskId::new);
    id(module, TeamId.class, TeamId::new);
    id(module, WorkerId.class, WorkerId::new);
    id(module, StoreKey.class, StoreKey::new);
    module.addSerializer(Payload.class, new PayloadSerializer());
    module.addDeserializer(Payload.class, new PayloadDeserializer());
    return module;
  }

  private static <T> void id(SimpleModule module, Class<T> type, Function<String, T> create) {
    module.addSerializer(type, ToStringSerializer.instance);
    module.addDeserializer(type, new IdDeserializer<>(create));
    module.addKeyDeserializer(type, new IdKeyDeserializer<>(create));
  }

  private static final class IdDeserializer<T> extends JsonDeserializer<T> {

    private final Function<String, T> create;

    IdDeserializer(Function<String, T> create) {
      this.create = create;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      try {
        return create.apply(parser.getText());
      } catch (IllegalArgumentException e) {
        throw context.weirdStringException(parser.getText(), handledType(), e.getMessage());
      }
    }
  }

  private static final class IdKeyDeserializer<T> extends KeyDeserializer {

    private final Function<String, T> create;

    IdKeyDeserializer(Function<String, T> create) {
      this.create = create;
    }

    @Override
    public Object deserializeKey(String key, DeserializationContext context) {
      return create.apply(key);
    }
  }

  private static final class PayloadSerializer extends JsonSerializer<Payload> {
    @Override
    public void serialize(Payload value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeBinary(value.bytes());
    }
  }

  private static final class PayloadDeserializer extends JsonDeserializer<Payload> {
    @Override
    public Payload deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      return Payload.of(parser.getBinaryValue());
    }
  }
}
