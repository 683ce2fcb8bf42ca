package org.cicadahead.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.protocol.DeleteResource;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.ResourceChange;
import org.cicadahead.wire.Codec;

/** Serves the requests on API keys of callers. Thread-safe. */
final class KeyRequests {
    private static final String KEY_PREFIX = "ck_";
    private static final int KEY_BYTES = 32;
    /**
     * The minimum number of hexadecimal digits in a digest prefix that names a key. 8 digits suffice, as the number of
     * keys never reaches 2^32.
     */
    private static final int MIN_PREFIX_DIGITS = 8;

    private final AdminBackend backend;
    private final ResourceRequests resources;
    private final SecureRandom random = new SecureRandom();

    KeyRequests(AdminBackend backend, ResourceRequests resources) {
        this.backend = backend;
        this.resources = resources;
    }

    /** Creates a key. Only its digest is stored, so that a resend gets the recorded digest but not the key. */
    AdminReply create(AdminRequest request) throws AdminException {
        JsonNode body = request.json();
        String organisation = body.path("organisation").asText();
        resources.find(ResourceKind.ORGANISATION, organisation);
        String key = generateKey();
        String digest = digest(key);
        ObjectNode resource = Codec.json()
                .createObjectNode()
                .put("digest", digest)
                .put("organisation", organisation)
                .put("label", body.path("label").asText(""));
        RequestId id = request.editRequestId();
        EditReply reply = resources.edit(new PutResource(ResourceKind.KEY, digest, resource, 0, id));
        ObjectNode answer = Codec.json()
                .createObjectNode()
                .put("digest", reply.current().name())
                .put("organisation", organisation)
                .put("revision", reply.current().revision());
        if (reply.current().name().equals(digest)) {
            answer.put("key", key);
        } else {
            answer.put("detail", "the key was shown in the first answer only; revoke it if that answer was lost");
        }
        return AdminReply.of(AdminReply.CREATED, answer);
    }

    /** Revokes a key. A precondition is optional, as a key never changes between its creation and its deletion. */
    AdminReply revoke(String prefix, AdminRequest request) throws AdminException {
        RequestId id = request.editRequestId();
        Optional<EditReply> recorded = backend.configuration(c -> c.recorded(id));
        ResourceChange key = recorded.isPresent() && recorded.get().outcome().accepted()
                ? recorded.get().current()
                : find(prefix);
        if (!key.name().startsWith(prefix) || key.kind() != ResourceKind.KEY) {
            throw new AdminException(AdminProblem.INVALID, "the request id was used for another edit");
        }
        if (key.body() == null) {
            return AdminReply.of(AdminReply.OK, key);
        }
        long expected = request.hasPrecondition() ? request.expectedRevision() : key.revision();
        EditReply reply = resources.edit(new DeleteResource(ResourceKind.KEY, key.name(), expected, id));
        return AdminReply.of(AdminReply.OK, reply.current());
    }

    private static String digest(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.US_ASCII)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java runtime must support SHA-256", e);
        }
    }

    private String generateKey() {
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private ResourceChange find(String prefix) throws AdminException {
        if (prefix.length() < MIN_PREFIX_DIGITS) {
            throw new AdminException(
                    AdminProblem.MALFORMED, "the digest prefix must have at least " + MIN_PREFIX_DIGITS + " digits");
        }
        List<ResourceChange> keys = backend.configuration(c -> c.list(ResourceKind.KEY).stream()
                .filter(k -> k.name().startsWith(prefix))
                .toList());
        if (keys.isEmpty()) {
            throw new AdminException(AdminProblem.NOT_FOUND, "no key has the digest prefix " + prefix);
        }
        if (keys.size() > 1) {
            throw new AdminException(AdminProblem.AMBIGUOUS, keys.size() + " keys have the digest prefix " + prefix);
        }
        return keys.get(0);
    }
}
