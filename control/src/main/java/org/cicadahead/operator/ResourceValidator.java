package org.cicadahead.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.cicadahead.model.Resource;
import org.cicadahead.protocol.EditOutcome;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.wire.Codec;

/** Validates resources before they are proposed, because replicas cannot reject a committed edit. */
public final class ResourceValidator {

    private ResourceValidator() {}

    /**
     * Validates an edit.
     *
     * @param edit the edit
     * @return the refusal of the edit, or empty if the edit is valid
     */
    public static Optional<EditReply> validate(PutResource edit) {
        if (edit.kind() == null || edit.name() == null || edit.request() == null || edit.expectedRevision() < 0) {
            return invalid("the edit needs a kind, a name, a request id and an expected revision");
        }
        if (edit.body() == null || !edit.body().isObject()) {
            return invalid("the resource must be a JSON object");
        }
        try {
            Resource resource =
                    Codec.json().treeToValue(edit.body(), edit.kind().type());
            if (!resource.resourceName().equals(edit.name())) {
                return invalid(
                        "the resource is named " + resource.resourceName() + ", but the path names " + edit.name());
            }
            return Optional.empty();
        } catch (JsonMappingException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            return invalid(firstLine(cause));
        } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
            return invalid(firstLine(e));
        }
    }

    /**
     * Sets the name in a body that lacks it, so that operators need not repeat the name in the path.
     *
     * @param body the body
     * @param name the name
     * @return the same body, with the name added if it had none
     */
    static JsonNode withName(JsonNode body, String name) {
        if (body instanceof ObjectNode object && !object.has("name")) {
            object.put("name", name);
        }
        return body;
    }

    private static Optional<EditReply> invalid(String detail) {
        return Optional.of(new EditReply(EditOutcome.INVALID, null, detail));
    }

    private static String firstLine(Throwable cause) {
        return String.valueOf(cause.getMessage()).lines().findFirst().orElse("");
    }
}
