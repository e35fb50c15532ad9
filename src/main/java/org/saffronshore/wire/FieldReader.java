package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Checked access to the fields of an object. Every method throws {@link InvalidFieldException},
 * which names the field by its path, when the field is missing or not valid.
 */
public record FieldReader(JsonNode node, String path) {

  /** The fields of a value that has to be an object. */
  public static FieldReader of(@Nullable JsonNode node, String path) throws InvalidFieldException {
    if (node == null || !node.isObject()) {
      throw new InvalidFieldException(path.isEmpty() ? "body" : path, "must be an object");
    }
    return new FieldReader(node, path);
  }

  private String pathOf(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  private static boolean isAbsent(@Nullable JsonNode value) {
    return value == null || value.isNull();
  }

  /** Whether the field is there and not null. */
  public boolean has(String field) {
    return !isAbsent(node.get(field));
  }

  /** An object that has to be there. */
  public FieldReader object(String field) throws InvalidFieldException {
    return of(node.get(field), pathOf(field));
  }

  /** A list of objects that has to be there. */
  public List<FieldReader> objects(String field) throws InvalidFieldException {
    List<FieldReader> all = new ArrayList<>();
    JsonNode values = node.get(field);
    if (isAbsent(values) || !values.isArray()) {
      throw new InvalidFieldException(pathOf(field), "must be a list");
    }
    for (int i = 0; i < values.size(); i++) {
      all.add(of(values.get(i), pathOf(field) + "[" + i + "]"));
    }
    return all;
  }

  /** A text that has to be there and not empty. */
  public String text(String field) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (isAbsent(value) || !value.isTextual() || value.textValue().isEmpty()) {
      throw new InvalidFieldException(pathOf(field), "must be a non-empty text");
    }
    return value.textValue();
  }

  /** A text that is not empty, or null when it is absent or null. */
  public @Nullable String textOrNull(String field) throws InvalidFieldException {
    return has(field) ? text(field) : null;
  }

  /** A list of texts, or null when it is absent or null. */
  public @Nullable List<String> textsOrNull(String field) throws InvalidFieldException {
    if (!has(field)) {
      return null;
    }
    JsonNode values = node.get(field);
    if (!values.isArray()) {
      throw new InvalidFieldException(pathOf(field), "must be a list of texts or null");
    }
    List<String> all = new ArrayList<>();
    for (JsonNode value : values) {
      if (!value.isTextual()) {
        throw new InvalidFieldException(pathOf(field), "must be a list of texts or null");
      }
      all.add(value.textValue());
    }
    return List.copyOf(all);
  }

  /** A number that has to be there and in a range. */
  public double number(String field, double min, double max) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (isAbsent(value) || !value.isNumber()) {
      throw new InvalidFieldException(pathOf(field), "must be a number");
    }
    double number = value.doubleValue();
    if (!Double.isFinite(number) || number < min || number > max) {
      throw new InvalidFieldException(pathOf(field), "must be from " + min + " to " + max);
    }
    return number;
  }

  public double number(String field, double min, double max, double defaultValue)
      throws InvalidFieldException {
    return has(field) ? number(field, min, max) : defaultValue;
  }

  /** A whole number that has to be there and in a range. */
  public long integer(String field, long min, long max) throws InvalidFieldException {
    double number = number(field, (double) min, (double) max);
    if (number != Math.rint(number)) {
      throw new InvalidFieldException(pathOf(field), "must be a whole number");
    }
    return node.get(field).longValue();
  }

  /** A boolean that has to be there. */
  public boolean bool(String field) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (isAbsent(value) || !value.isBoolean()) {
      throw new InvalidFieldException(pathOf(field), "must be true or false");
    }
    return value.booleanValue();
  }
}
